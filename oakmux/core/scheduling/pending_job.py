"""What an owner remembers of an unfinished job, without the records."""


class PendingJob:
    """What an owner remembers of an unfinished job; nothing here outlives it."""

    __slots__ = (
        "next_sample_at",
        "offers",
        "next_task",
        "failures",
        "retry_at",
        "excluded_machines",
        "backoff_until",
        "preempt_at",
        "next_wide_sample_at",
        "image_wait_until",
        "requested",
        "hold_until",
        "backfill_machines",
        "next_backfill_at",
    )

    def __init__(self) -> None:
        self.next_sample_at = 0.0
        self.offers: list[tuple] = []
        self.next_task = 0
        self.failures = 0
        self.retry_at = 0.0
        self.excluded_machines: set[str] = set()
        self.backoff_until = 0.0
        self.preempt_at = 0.0
        self.next_wide_sample_at = 0.0
        self.image_wait_until: float | None = None
        # Of a gang: machines asked for room, until when an answer may come and for how many
        # tasks; and when it lets go of what it has gathered.
        self.requested: dict[str, tuple[float, int]] = {}
        self.hold_until = 0.0
        # Machines that are being opened for it, with the tasks that each is for.
        self.backfill_machines: dict[str, int] = {}
        self.next_backfill_at = 0.0
