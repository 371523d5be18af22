"""Sockets and timers round the core: one module for each counterpart."""
