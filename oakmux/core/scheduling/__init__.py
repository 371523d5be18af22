"""Placement of the jobs of the teams whose roles this controller holds."""
