"""A controller's state of a machine, from the heartbeats of its worker."""

from oakmux.core.model import Heartbeat

# Task and number of the attempt: ("job-1/0", 1).
Task = tuple[str, int]


class Machine:
    """The newest known state of a machine, received from its worker or from a peer.

    Times are in seconds of the controller's monotonic clock.
    """

    __slots__ = (
        "addr",
        "agent_epoch",
        "errors",
        "fencing_token",
        "first_heartbeat_at",
        "idle_since",
        "images",
        "last_heartbeat_at",
        "manager",
        "manager_term",
        "name",
        "notice_at",
        "sequence",
        "spot",
        "task_started_at",
        "tasks",
        "type",
        "unreachable_signs",
        "unreachable_since",
        "zone",
    )

    def __init__(self, heartbeat: Heartbeat, now: float) -> None:
        self.name = heartbeat.machine
        # Cached images with their sizes in GB, the most recently used last.
        self.images: dict[str, float] = {}
        self.errors: list[str] = []
        self.idle_since: float | None = now
        self.first_heartbeat_at = now
        # When each task began to run; the time of the latest heartbeat if it does not run yet.
        self.task_started_at: dict[Task, float] = {}
        # When the cloud reclaims a spot instance, if it has given notice.
        self.notice_at: float | None = None
        # The controller that the machine reports to, and the term of that controller.
        self.manager = ""
        self.manager_term = 0
        # Consecutive heartbeats which show that the machine does not receive this controller's
        # answers, and when it was declared unreachable.
        self.unreachable_signs = 0
        self.unreachable_since: float | None = None
        self.apply(heartbeat, now)

    def apply(self, heartbeat: Heartbeat, now: float) -> None:
        """Update the state from a newer heartbeat."""
        self.addr = heartbeat.addr
        self.type = heartbeat.type
        self.zone = heartbeat.zone
        self.spot = heartbeat.spot
        self.agent_epoch = heartbeat.agent_epoch
        self.sequence = heartbeat.sequence
        self.fencing_token = heartbeat.fencing_token
        self.notice_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        self.tasks: dict[Task, tuple[str, str, bool]] = heartbeat.tasks
        self.last_heartbeat_at = now

    def use_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Mark an image as used now; the cache evicts the least recently used ones."""
        self.images.pop(image, None)
        self.images[image] = size_gb
        total_gb = sum(self.images.values())
        for oldest in list(self.images):
            if total_gb <= cache_gb or oldest == image:
                break
            total_gb -= self.images.pop(oldest)

    @property
    def version(self) -> tuple[int, int]:
        """The version by which the machine's heartbeats are ordered."""
        return self.agent_epoch, self.sequence
