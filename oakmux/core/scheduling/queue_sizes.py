"""The jobs of one pending queue by what a task takes, to find those that need less than others."""

from typing import Any, NamedTuple

from sortedcontainers import SortedDict, SortedList

from oakmux.core.model import JobSpec


class TaskSize(NamedTuple):
    """The CPUs and memory of a task; the jobs of one queue need the same number of GPUs."""

    cpus: float
    memory_gb: float

    def needs_less_than(self, other: "TaskSize") -> bool:
        """Whether a task may fit where one of another size does not."""
        return self.cpus < other.cpus or self.memory_gb < other.memory_gb


def size_of(spec: JobSpec) -> TaskSize:
    """Return the size of a job's tasks."""
    return TaskSize(spec.cpus, spec.memory_gb)


class QueueSizes:
    """The positions of a queue's jobs by size, and the sizes that need least.

    If no job of the least sizes fits, no job of the queue does: each of the others needs at least
    as much as one of them. There are few, however many jobs wait, unless the jobs that need fewer
    CPUs need more memory.
    """

    def __init__(self) -> None:
        self.by_size: SortedDict = SortedDict()
        # None after a change of the sizes.
        self._least: list[TaskSize] | None = None
        self._next_least = 0

    def add(self, size: TaskSize, position: Any) -> None:
        """Add a job at a position of the queue."""
        positions = self.by_size.get(size)
        if positions is None:
            positions = self.by_size[size] = SortedList()
            self._least = None
        positions.add(position)

    def discard(self, size: TaskSize, position: Any) -> None:
        """Remove a job."""
        positions = self.by_size[size]
        positions.remove(position)
        if not positions:
            del self.by_size[size]
            self._least = None

    def least(self) -> list[TaskSize]:
        """Return the sizes for which no other size needs less CPUs and memory, by CPUs."""
        if self._least is None:
            self._least = []
            for size in self.by_size:
                if not self._least or size.memory_gb < self._least[-1].memory_gb:
                    self._least.append(size)
        return self._least

    def next_least(self, count: int) -> list[TaskSize]:
        """Return up to `count` of the least sizes; later calls go on with the others in turn."""
        least = self.least()
        if len(least) <= count:
            return list(least)
        start = self._next_least % len(least)
        self._next_least = start + count
        return (least + least)[start : start + count]

    def first(self, size: TaskSize) -> Any:
        """Return the position of the first job of an existing size."""
        return self.by_size[size][0]
