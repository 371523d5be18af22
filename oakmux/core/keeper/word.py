"""How current we are: news of the state service, word of the peers, cancellations known.

The invariant (R ran_cancelled): whoever answers a worker 200 knows of *every* cancellation that
any user was told of up to `cancels_known_until`, and applies it to every task on that worker.
"""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.keeper.kept import Ward


class Word:
    """Whether we know enough to keep workers alive (R ran_cancelled) and to start tasks."""

    def __init__(self, context: Context, ward: Ward) -> None:
        self.context = context
        self.ward = ward
        self.peer_fresh: dict[str, float] = {}
        self.peer_heard: dict[str, float] = {}
        # Cancellations that peers told and our records lack, each with a time before which no user
        # can have been told of it.
        self.cancelled: dict[str, float] = {}
        # Up to which revision, and up to which time, peers' words without a gap have brought all
        # cancellations; and when each peer last told all that it had confirmed.
        self.reached = 0
        self.reached_at = -1e9
        self.told: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """The revision up to which we know of every cancellation: peers are asked from there."""
        return max(self.reached, self.context.replica.revision)

    def cancels_known_until(self) -> float:
        """Return the time up to which we know of every cancellation that was answered."""
        context = self.context
        known = max(context.store_seen_at, self.reached_at)
        members = context.settings.members
        if all(m.label in self.told for m in members):
            # Whatever any of them told a user until then, it has told us.
            known = max(known, min((self.told[m.label] for m in members), default=context.now))
        return known

    def patience_s(self) -> float:
        """Return the seconds for which leases renewed after a cancellation still end in time."""
        times_ = self.context.facts.workers
        return max(times_.cancel_s - times_.lease_s - constants.CANCEL_MARGIN_S, 0.0)

    def may_keep(self) -> bool:
        """Whether leases that we renew still end before a cancellation we can't know of."""
        return self.context.now - self.cancels_known_until() < self.patience_s()

    def state_fresh(self) -> bool:
        """Whether our own records are current."""
        return self.context.now - self.context.store_seen_at < constants.STATE_STALE_S

    def alone(self) -> bool:
        """Whether no peer has said a word of late, if there are any."""
        members = self.context.settings.members
        return bool(members) and all(
            self.context.now - self.peer_heard.get(m.label, -1e9) >= constants.ALONE_S
            for m in members
        )

    def is_cancelled(self, job_id: str) -> bool:
        """Whether a job is cancelled, by our records or by a peer's word."""
        job = self.context.replica.jobs.get(job_id)
        return job_id in self.cancelled or (job is not None and job.state == "cancelled")

    def unseen(self, seconds: float) -> bool:
        """Whether a job was cancelled that long ago after all that our records show: what was
        bound of it in between we don't know either."""
        return any(self.context.now - at >= seconds for at in self.cancelled.values())

    def answer(self, since: int) -> tuple[list[str], int]:
        """Return what a peer must know that knows all cancellations up to a revision: those after
        it, and the revision up to which that is all of them; -1 if we can't say."""
        if since < 0:  # of a version that does not say what it has
            return [
                job for _, job in self.context.replica.cancels[-constants.CANCELS_UNASKED :]
            ], -1
        found = self.context.replica.cancelled_since(since)
        return ([], -1) if found is None else (found, self.context.replica.revision)

    def peer_alive(
        self,
        label: str,
        incarnation: int,
        state_age: float,
        cancelled: list[str],
        asked: float,
        until: int = -1,
    ) -> None:
        """Take a peer's answer to a question asked at `asked`: it lives, and what was cancelled.

        The time of the question counts, so that an answer that was held up is not taken for new.
        The list begins where our knowledge ended when we asked, so with `until` there is no gap:
        not by a peer that just started either, since all that its predecessor confirmed stands in
        the records that it has loaded.
        """
        if incarnation:
            self.peer_heard[label] = asked
            self.peer_fresh[label] = max(self.peer_fresh.get(label, -1e9), asked - state_age)
        not_before = self.cancels_known_until()
        complete = bool(incarnation) and until >= 0
        for job_id in cancelled:
            job = self.context.replica.jobs.get(job_id)
            if job_id in self.cancelled or (job is not None and job.final):
                continue
            if len(self.cancelled) >= constants.CANCELS_KEPT:
                complete = False  # leases that we can't answer for end by themselves
                break
            self.cancelled[job_id] = not_before
            self.poke_job(job_id)
        if complete:
            self.reached = max(self.reached, until)
            self.reached_at = max(self.reached_at, asked - state_age)
            self.told[label] = max(self.told.get(label, -1e9), asked)

    def forget(self) -> None:
        """Drop what our own records say by now."""
        jobs = self.context.replica.jobs
        for job_id in [j for j in self.cancelled if j in jobs and jobs[j].final]:
            del self.cancelled[job_id]

    def poke_job(self, job_id: str) -> None:
        """Stop a job's tasks wherever our records say that they may be."""
        job = self.context.replica.jobs.get(job_id)
        if job is not None:
            self.ward.poke.update(b.machine for b in job.bindings())
