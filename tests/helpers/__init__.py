"""Helpers shared by several test modules."""
