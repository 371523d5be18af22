"""The cancellations known to this controller, and the time up to which they are complete.

Invariant (rule `ran_cancelled`): a controller that renews a worker's lease has received *every*
cancellation confirmed to any user up to `cancels_known_until`, and has applied it to every task on
that worker.

A cancellation must end a job's tasks within `cancel_s`. A worker whose lease is not renewed kills
its tasks `lease_s` later. A controller may therefore renew a lease while its data is at most
`cancel_s - lease_s` old (less a margin): even if a job is cancelled right after the last known
cancellation, the lease ends in time. That maximum age is `staleness_bound_s`.

Cancellations are read from the store or, during a store outage, from peers. A peer lists the
cancellations after the revision named in the request, so that there is no gap.
"""

from oakmux import constants
from oakmux.core.agents.tracked_workers import WorkerTable
from oakmux.core.context import Context
from oakmux.core.messages import PeerAnswered
from oakmux.logs import event


class CancellationLog:
    """Decides whether leases may be renewed (rule `ran_cancelled`) and tasks started."""

    def __init__(self, context: Context, workers: WorkerTable) -> None:
        self.context = context
        self.workers = workers
        # When each peer last got an answer from the store, and last answered this controller (s).
        self.peer_store_seen_at: dict[str, float] = {}
        self.peer_seen_at: dict[str, float] = {}
        # Jobs that peers report as cancelled and the local records don't show as cancelled yet,
        # each with a time before which the cancellation can't have been confirmed to a user.
        self.cancelled: dict[str, float] = {}
        # Revision and time up to which the peers' answers contain all cancellations without a gap.
        self.replicated_revision = 0
        self.replicated_at = constants.NEVER
        # Time up to which each peer has listed all cancellations that it confirmed to users.
        self.peer_complete_until: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """The revision up to which all cancellations are known; requests to peers start there."""
        return max(self.replicated_revision, self.context.replica.revision)

    def cancels_known_until(self) -> float:
        """Return the time up to which all cancellations confirmed to users are known."""
        context = self.context
        known = max(context.store_seen_at, self.replicated_at)
        members = context.settings.peers
        if all(m.controller_id in self.peer_complete_until for m in members):
            # Until then, each peer has listed all cancellations that it confirmed to users.
            known = max(
                known,
                min(
                    (self.peer_complete_until[m.controller_id] for m in members),
                    default=context.now,
                ),
            )
        return known

    def staleness_bound_s(self) -> float:
        """Return the maximum age (s) of the known cancellations at which leases may be renewed."""
        worker_times = self.context.facts.workers
        return max(
            worker_times.cancel_s - worker_times.lease_s - constants.CANCELLATION_MARGIN_S, 0.0
        )

    def may_renew_leases(self) -> bool:
        """Whether a lease renewed now ends in time for any cancellation not known here yet."""
        return self.context.now - self.cancels_known_until() < self.staleness_bound_s()

    def store_fresh(self) -> bool:
        """Whether the store answered recently enough for the local records to count as current."""
        return self.context.now - self.context.store_seen_at < constants.STORE_STALE_S

    def isolated(self) -> bool:
        """Whether there are peers and none has answered within ISOLATION_S."""
        members = self.context.settings.peers
        return bool(members) and all(
            self.context.now - self.peer_seen_at.get(m.controller_id, constants.NEVER)
            >= constants.ISOLATION_S
            for m in members
        )

    def is_cancelled(self, job_id: str) -> bool:
        """Whether a job is cancelled according to the local records or a peer's answer."""
        job = self.context.replica.jobs.get(job_id)
        return job_id in self.cancelled or (job is not None and job.state == "cancelled")

    def has_unrecorded_older_than(self, seconds: float) -> bool:
        """Whether a cancellation missing from the local records may be at least this old.

        Bindings of the job made since then are missing from the records too.
        """
        return any(self.context.now - at >= seconds for at in self.cancelled.values())

    def list_for_peer(self, after_revision: int) -> tuple[list[str], int]:
        """List cancellations for a peer that has all of them up to `after_revision`.

        Returns:
            The jobs cancelled after that revision, and the revision up to which the list is
            complete, or -1 if it may be incomplete.
        """
        if after_revision < 0:  # sent by an earlier version, which does not name its revision
            return [
                job
                for _, job in self.context.replica.cancellations.by_revision[
                    -constants.CANCELLATIONS_SENT_UNASKED :
                ]
            ], -1
        job_ids = self.context.replica.cancellations.cancelled_after(after_revision)
        return ([], -1) if job_ids is None else (job_ids, self.context.replica.revision)

    def peer_answered(self, answer: PeerAnswered) -> None:
        """Record that a peer is alive, and the cancellations that its answer lists.

        The list starts at the revision up to which this controller had all cancellations when it
        sent the request. There is no gap if the peer names a revision up to which the list is
        complete. This also holds for a peer that has just started: the records it loaded contain
        what its former incarnation confirmed to users.

        Args:
            answer: the peer's answer. Its `incarnation` is 0 if the peer has none yet,
                `store_age_s` counts from the store's last answer to the peer, `asked_at` is when
                the request was sent (a delayed answer is that old), and `until` is the revision
                up to which the list is complete, or -1.
        """
        peer, asked_at, complete_revision = (
            answer.controller_id,
            answer.requested_at,
            answer.complete_revision,
        )
        store_seen_at = asked_at - answer.store_age_s
        if answer.incarnation:
            self.peer_seen_at[peer] = asked_at
            self.peer_store_seen_at[peer] = max(
                self.peer_store_seen_at.get(peer, constants.NEVER), store_seen_at
            )
        not_before = self.cancels_known_until()
        complete = bool(answer.incarnation) and complete_revision >= 0
        for job_id in answer.cancelled:
            job = self.context.replica.jobs.get(job_id)
            if job_id in self.cancelled or (job is not None and job.final):
                continue
            if len(self.cancelled) >= constants.CANCELLATIONS_KEPT:
                complete = False  # leases that can't be renewed safely expire
                break
            self.cancelled[job_id] = not_before
            event(
                "cancellation_reported",
                job=job_id,
                peer=peer,
                known_revision=self.context.replica.revision,
            )
            self.reconcile_job(job_id)
        if complete:
            self.replicated_revision = max(self.replicated_revision, complete_revision)
            self.replicated_at = max(self.replicated_at, store_seen_at)
            self.peer_complete_until[peer] = max(
                self.peer_complete_until.get(peer, constants.NEVER), asked_at
            )

    def drop_recorded(self) -> None:
        """Drop cancellations that the local records contain by now."""
        jobs = self.context.replica.jobs
        for job_id in [j for j in self.cancelled if j in jobs and jobs[j].final]:
            del self.cancelled[job_id]

    def reconcile_job(self, job_id: str) -> None:
        """Schedule reconciliation of all machines to which tasks of a job are bound."""
        job = self.context.replica.jobs.get(job_id)
        if job is not None:
            self.workers.to_reconcile.update(b.machine for b in job.bindings())
