"""Scaling the fleet out and in: rentals, returns, and which instances exist."""
