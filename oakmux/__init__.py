"""oakmux: a cluster scheduler that samples machines in batches and binds late."""

__version__ = "0.8.0"
