"""A year of turns, replayed against a slow oracle, with controllers that die."""
