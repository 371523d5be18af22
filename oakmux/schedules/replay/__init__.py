"""A year of firings, replayed against a slow oracle, with controllers that die."""
