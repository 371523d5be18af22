"""Index of cancelled jobs by the revision at which they were cancelled."""

import bisect

from oakmux import constants


class CancellationIndex:
    """Cancelled jobs in revision order; the oldest are dropped."""

    def __init__(self) -> None:
        self.by_revision: list[tuple[int, str]] = []
        # The latest revision among the dropped cancellations.
        self.floor = 0

    def add(self, revision: int, job_id: str) -> None:
        """Add a job that was cancelled at a revision."""
        if revision <= self.floor:
            return
        bisect.insort(self.by_revision, (revision, job_id))
        if len(self.by_revision) > 2 * constants.CANCELLATIONS_KEPT:
            self.floor = self.by_revision[constants.CANCELLATIONS_KEPT - 1][0]
            self.by_revision = self.by_revision[constants.CANCELLATIONS_KEPT :]

    def cancelled_after(self, revision: int) -> list[str] | None:
        """Return the jobs known to be cancelled after a revision; None if it is below the floor.

        A controller's own cancellations are included once the store answers their write, all
        others up to the revision of its replica.
        """
        if revision < self.floor:
            return None
        first = bisect.bisect_right(self.by_revision, revision, key=lambda entry: entry[0])
        return [job_id for _, job_id in self.by_revision[first:]]
