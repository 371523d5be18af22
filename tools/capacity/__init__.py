"""What each role costs as the service grows: measured series, their fits, and docs/CAPACITY.md."""
