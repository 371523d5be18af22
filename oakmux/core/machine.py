"""What a controller knows of a machine from the heartbeats of its worker."""

from oakmux.core.model import Heartbeat

# A task and the attempt at it: ("job-1/0", 1).
Task = tuple[str, int]


class Machine:
    """The newest state of a machine that any controller was told and that has reached us.

    Times are those of the controller's monotonic clock, in seconds.
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
        # Images in its cache with their sizes in GB, the one used last at the end.
        self.images: dict[str, float] = {}
        self.errors: list[str] = []
        self.idle_since: float | None = now
        self.first_heartbeat_at = now
        self.task_started_at: dict[Task, float] = {}
        # When the cloud takes a spot instance back, if it has said so.
        self.notice_at: float | None = None
        # The controller that it reports to, and the term of that controller.
        self.manager = ""
        self.manager_term = 0
        # Heartbeats in a row that show it does not receive our answers, and since when that is
        # taken for certain.
        self.unreachable_signs = 0
        self.unreachable_since: float | None = None
        self.apply(heartbeat, now)

    def apply(self, heartbeat: Heartbeat, now: float) -> None:
        """Take over a newer heartbeat."""
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
        """Note that an image is used now; the cache drops those used longest ago."""
        self.images.pop(image, None)
        self.images[image] = size_gb
        total_gb = sum(self.images.values())
        for oldest in list(self.images):
            if total_gb <= cache_gb or oldest == image:
                break
            total_gb -= self.images.pop(oldest)

    @property
    def version(self) -> tuple[int, int]:
        """What orders the heartbeats of a machine."""
        return self.agent_epoch, self.sequence
