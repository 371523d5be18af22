"""What changed in a replica, until those that derive something from it have seen it."""

from oakmux.core.resources import Resources


class ChangeTracker:
    """Jobs and machines whose records changed, and values derived from them that are outdated."""

    def __init__(self) -> None:
        # Jobs and machines that the controller has not processed since they changed.
        self.jobs: set[str] = set()
        self.machines: set[str] = set()
        # Jobs whose last dependency completed, until the controller has processed them.
        self.released_jobs: list[str] = []
        # Free resources of machines, by name; dropped when their tasks or bindings change.
        self.free_resources: dict[str, Resources] = {}
        # Machines whose place in the index may have changed since it was refreshed.
        self.stale_machines: set[str] = set()

    def touch(self, machine: str) -> None:
        """Note that the tasks on a machine changed, or whether it may be used."""
        self.free_resources.pop(machine, None)
        self.stale_machines.add(machine)
