"""What a worker reports of a task: its state and, once it has exited, the reason."""

from typing import Final, NamedTuple

# States of a task on its machine, in the order in which a task passes through them.
STARTING: Final = "starting"  # commanded, not reported yet
FETCHING: Final = "fetching"  # the machine fetches the image
WAITING: Final = "waiting"  # a gang's task waits for the others
RUNNING: Final = "running"
SAVING: Final = "saving"  # writes a checkpoint before it stops
EXITED: Final = "exited"
REFUSED: Final = "refused"  # bound, but its controller will never command the start

# Reasons for which a task is over that decisions depend on; others are only logged.
DONE: Final = "done"
ERROR: Final = "error"
LOST: Final = "lost"  # its machine or agent epoch ended, or its start can't take effect any more


class TaskStatus(NamedTuple):
    """The status of one attempt at a task, as reported by a worker or added by its controller."""

    state: str
    reason: str
    """Why the task exited; empty before."""
    saved: bool
    """Whether it wrote a checkpoint when it stopped."""
