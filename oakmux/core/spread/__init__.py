"""Load spread over the fleet: who waits, who gives way, what is moved. Decisions only."""
