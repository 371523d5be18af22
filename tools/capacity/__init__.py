"""Capacity model: measured cost series, their linear fits, and the tables of docs/CAPACITY.md."""
