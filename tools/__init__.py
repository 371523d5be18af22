"""Tools for those who work on oakmux; no controller loads them."""
