"""How current we are: news of the state service, word of the peers, cancellations known.

The invariant (R ran_cancelled): whoever answers a worker 200 knows of *every* cancellation that
any user was told of up to `cancels_known_until`, and applies it to every task on that worker.
"""

from oakmux import constants
from oakmux.core.agents.tracked_workers import WorkerTable
from oakmux.core.context import Context


class CancellationLog:
    """Whether we know enough to keep workers alive (R ran_cancelled) and to start tasks."""

    def __init__(self, context: Context, workers: WorkerTable) -> None:
        self.context = context
        self.workers = workers
        self.peer_store_seen_at: dict[str, float] = {}
        self.peer_seen_at: dict[str, float] = {}
        # Cancellations that peers told and our records lack, each with a time before which no user
        # can have been told of it.
        self.cancelled: dict[str, float] = {}
        # Up to which revision, and up to which time, peers' words without a gap have brought all
        # cancellations; and when each peer last told all that it had confirmed.
        self.replicated_revision = 0
        self.replicated_at = -1e9
        self.acknowledged_at: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """The revision up to which we know of every cancellation: peers are asked from there."""
        return max(self.replicated_revision, self.context.replica.revision)

    def cancels_known_until(self) -> float:
        """Return the time up to which we know of every cancellation that was answered."""
        context = self.context
        known = max(context.store_seen_at, self.replicated_at)
        members = context.settings.peers
        if all(m.controller_id in self.acknowledged_at for m in members):
            # Whatever any of them told a user until then, it has told us.
            known = max(
                known,
                min((self.acknowledged_at[m.controller_id] for m in members), default=context.now),
            )
        return known

    def staleness_bound_s(self) -> float:
        """Return the seconds for which leases renewed after a cancellation still end in time."""
        worker_times = self.context.facts.workers
        return max(
            worker_times.cancel_s - worker_times.lease_s - constants.CANCELLATION_MARGIN_S, 0.0
        )

    def may_renew_leases(self) -> bool:
        """Whether leases that we renew still end before a cancellation we can't know of."""
        return self.context.now - self.cancels_known_until() < self.staleness_bound_s()

    def store_fresh(self) -> bool:
        """Whether our own records are current."""
        return self.context.now - self.context.store_seen_at < constants.STORE_STALE_S

    def isolated(self) -> bool:
        """Whether no peer has said a word of late, if there are any."""
        members = self.context.settings.peers
        return bool(members) and all(
            self.context.now - self.peer_seen_at.get(m.controller_id, -1e9)
            >= constants.ISOLATION_S
            for m in members
        )

    def is_cancelled(self, job_id: str) -> bool:
        """Whether a job is cancelled, by our records or by a peer's word."""
        job = self.context.replica.jobs.get(job_id)
        return job_id in self.cancelled or (job is not None and job.state == "cancelled")

    def cancelled_unseen_for(self, seconds: float) -> bool:
        """Whether a job was cancelled that long ago after all that our records show: what was
        bound of it in between we don't know either."""
        return any(self.context.now - at >= seconds for at in self.cancelled.values())

    def answer(self, since: int) -> tuple[list[str], int]:
        """Return what a peer must know that knows all cancellations up to a revision: those after
        it, and the revision up to which that is all of them; -1 if we can't say."""
        if since < 0:  # of a version that does not say what it has
            return [
                job
                for _, job in self.context.replica.cancellations.by_revision[
                    -constants.CANCELLATIONS_SENT_UNASKED :
                ]
            ], -1
        found = self.context.replica.cancellations.since(since)
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
            self.peer_seen_at[label] = asked
            self.peer_store_seen_at[label] = max(
                self.peer_store_seen_at.get(label, -1e9), asked - state_age
            )
        not_before = self.cancels_known_until()
        complete = bool(incarnation) and until >= 0
        for job_id in cancelled:
            job = self.context.replica.jobs.get(job_id)
            if job_id in self.cancelled or (job is not None and job.final):
                continue
            if len(self.cancelled) >= constants.CANCELLATIONS_KEPT:
                complete = False  # leases that we can't answer for end by themselves
                break
            self.cancelled[job_id] = not_before
            self.reconcile_job(job_id)
        if complete:
            self.replicated_revision = max(self.replicated_revision, until)
            self.replicated_at = max(self.replicated_at, asked - state_age)
            self.acknowledged_at[label] = max(self.acknowledged_at.get(label, -1e9), asked)

    def forget(self) -> None:
        """Drop what our own records say by now."""
        jobs = self.context.replica.jobs
        for job_id in [j for j in self.cancelled if j in jobs and jobs[j].final]:
            del self.cancelled[job_id]

    def reconcile_job(self, job_id: str) -> None:
        """Stop a job's tasks wherever our records say that they may be."""
        job = self.context.replica.jobs.get(job_id)
        if job is not None:
            self.workers.to_reconcile.update(b.machine for b in job.bindings())
