"""Stand-ins for the state service, the cloud, the workers and the users of a small deployment."""
