"""A task's status as reported by a worker: its state and, once it has exited, the reason."""

from typing import Final, NamedTuple

# States of a task on its machine, in the order in which a task passes through them.
STARTING: Final = "starting"  # the start command was sent; not reported yet
FETCHING: Final = "fetching"  # the machine fetches the image
WAITING: Final = "waiting"  # a gang's task waits for the gang's other tasks
RUNNING: Final = "running"
SAVING: Final = "saving"  # the task writes a checkpoint before it stops
EXITED: Final = "exited"
REFUSED: Final = "refused"  # bound, but its controller will never send the start command

# Reasons of an exit on which decisions depend; other reasons are only logged.
DONE: Final = "done"
ERROR: Final = "error"
LOST: Final = "lost"  # its machine or agent epoch ended, or its start can no longer take effect


class TaskStatus(NamedTuple):
    """The status of one attempt at a task, as reported by a worker or added by its controller."""

    state: str
    reason: str
    """Why the task exited; empty until then."""
    saved: bool
    """Whether the task wrote a checkpoint when it stopped."""
