"""What an owner remembers of an unfinished job, without the records."""


class Open:
    """What an owner remembers of an unfinished job; nothing here outlives it."""

    __slots__ = (
        "next_sample",
        "offers",
        "cursor",
        "failures",
        "retry_at",
        "avoid",
        "quiet_until",
        "preempt_at",
        "next_wide",
        "patient_until",
        "asked",
        "gather_until",
        "opening",
        "next_open",
    )

    def __init__(self) -> None:
        self.next_sample = 0.0
        self.offers: list[tuple] = []
        self.cursor = 0
        self.failures = 0
        self.retry_at = 0.0
        self.avoid: set[str] = set()
        self.quiet_until = 0.0
        self.preempt_at = 0.0
        self.next_wide = 0.0
        self.patient_until: float | None = None
        # Of a gang: machines asked for room, until when an answer may come and for how many
        # tasks; and when it lets go of what it has gathered.
        self.asked: dict[str, tuple[float, int]] = {}
        self.gather_until = 0.0
        # Machines that are being opened for it, with the tasks that each is for.
        self.opening: dict[str, int] = {}
        self.next_open = 0.0
