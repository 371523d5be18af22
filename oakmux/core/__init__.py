"""The core: all decisions, without input or output."""
