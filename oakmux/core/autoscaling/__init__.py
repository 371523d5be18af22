"""Scales the fleet out and in: rentals, returns, and the inventory of instances."""
