"""Leader election by lease: terms, the controller's lease, and the roles that it holds."""
