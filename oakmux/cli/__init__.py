"""The command line for operators and users."""

from oakmux.cli.app import main

__all__ = ["main"]
