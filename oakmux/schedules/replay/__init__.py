"""Replay of a year of firings while controllers crash, checked against a slow oracle."""
