"""Workers that heartbeat to this controller: their state, their queues and their commands."""
