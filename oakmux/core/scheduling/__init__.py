"""Placing the jobs of the teams that this controller owns."""
