"""Changes of a replica that the code which derives state from it has not processed yet."""

from oakmux.core.resources import Resources


class ChangeTracker:
    """Jobs and machines whose records changed, and values derived from them that are outdated."""

    def __init__(self) -> None:
        # Jobs and machines that changed since the controller last processed them.
        self.jobs: set[str] = set()
        self.machines: set[str] = set()
        # Jobs whose last dependency completed, until the controller has processed them.
        self.released_jobs: list[str] = []
        # Cached free resources of machines, by name; dropped when their tasks or bindings change.
        self.free_resources: dict[str, Resources] = {}
        # Machines whose position in the machine index may have changed since its last refresh.
        self.stale_machines: set[str] = set()

    def touch(self, machine: str) -> None:
        """Mark a machine whose tasks or availability changed."""
        self.free_resources.pop(machine, None)
        self.stale_machines.add(machine)
