"""Index of the recorded bindings by machine."""

from oakmux.core.state.changes import ChangeTracker
from oakmux.core.state.records import Binding, TaskBlock


class BindingIndex:
    """All recorded bindings by machine, then by task (job and index of the task in it)."""

    def __init__(self, changes: ChangeTracker) -> None:
        self.changes = changes
        self.by_machine: dict[str, dict[tuple[str, int], Binding]] = {}

    def add_block(self, job_id: str, block: TaskBlock) -> None:
        """Add the bindings of a job's task block."""
        for index, binding in block.bindings.items():
            self.by_machine.setdefault(binding.machine, {})[(job_id, index)] = binding
            self._changed(binding.machine)

    def remove_block(self, job_id: str, block: TaskBlock) -> None:
        """Remove the bindings of a job's task block."""
        for index, binding in block.bindings.items():
            on_machine = self.by_machine.get(binding.machine)
            if on_machine and on_machine.get((job_id, index)) == binding:
                del on_machine[(job_id, index)]
                if not on_machine:
                    del self.by_machine[binding.machine]
                self._changed(binding.machine)

    def _changed(self, machine: str) -> None:
        self.changes.machines.add(machine)
        self.changes.touch(machine)
