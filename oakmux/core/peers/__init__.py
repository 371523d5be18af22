"""The link to the other controllers: messages, and the replication of machines' state."""
