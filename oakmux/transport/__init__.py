"""Sockets and timers round the core."""
