"""Communication with the other controllers: messages and replication of machines' state."""
