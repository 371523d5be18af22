"""Development tools; no controller imports them."""
