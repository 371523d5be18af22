"""Sockets and timers around the core: one module for each counterpart."""
