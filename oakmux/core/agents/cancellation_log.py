"""Which cancellations this controller knows, and up to what time its knowledge is complete.

The invariant (R ran_cancelled): a controller that renews a worker's lease knows *every*
cancellation that any user was told of up to `cancels_known_until`, and has applied it to every
task on that worker.

A cancellation must end a job's tasks within `cancel_s`. A worker whose lease is not renewed kills
its tasks `lease_s` later. So a lease may be renewed by a controller whose knowledge is up to
`cancel_s - lease_s` old (less a margin): even if a cancellation took place right after the last
one that it knows of, the lease ends in time. That age is `staleness_bound_s`.

Knowledge comes from the store, or, while the store is out, from peers: each tells the
cancellations after the revision that it is asked for, so that there is no gap.
"""

from oakmux import constants
from oakmux.core.agents.tracked_workers import WorkerTable
from oakmux.core.context import Context
from oakmux.core.messages import PeerAnswered


class CancellationLog:
    """Tells whether we know enough to renew leases (R ran_cancelled) and to start tasks."""

    def __init__(self, context: Context, workers: WorkerTable) -> None:
        self.context = context
        self.workers = workers
        # When each peer last had an answer of the store, and last answered us (s).
        self.peer_store_seen_at: dict[str, float] = {}
        self.peer_seen_at: dict[str, float] = {}
        # Cancelled jobs that peers named and our records don't show as cancelled yet, each with a
        # time before which no user can have been told of the cancellation.
        self.cancelled: dict[str, float] = {}
        # Revision and time up to which the answers of peers, without a gap, contain all
        # cancellations; and the time up to which each peer named all that it told users.
        self.replicated_revision = 0
        self.replicated_at = constants.NEVER
        self.peer_complete_until: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """The revision up to which all cancellations are known; peers are asked from there."""
        return max(self.replicated_revision, self.context.replica.revision)

    def cancels_known_until(self) -> float:
        """Return the time up to which all cancellations that users were told of are known."""
        context = self.context
        known = max(context.store_seen_at, self.replicated_at)
        members = context.settings.peers
        if all(m.controller_id in self.peer_complete_until for m in members):
            # Each of them has named all cancellations that it told users of until then.
            known = max(
                known,
                min(
                    (self.peer_complete_until[m.controller_id] for m in members),
                    default=context.now,
                ),
            )
        return known

    def staleness_bound_s(self) -> float:
        """Return the age (s) that our knowledge may have for us to renew leases; see above."""
        worker_times = self.context.facts.workers
        return max(
            worker_times.cancel_s - worker_times.lease_s - constants.CANCELLATION_MARGIN_S, 0.0
        )

    def may_renew_leases(self) -> bool:
        """Whether a lease renewed now ends in time for any cancellation that we may not know."""
        return self.context.now - self.cancels_known_until() < self.staleness_bound_s()

    def store_fresh(self) -> bool:
        """Whether the store answered recently enough for our records to count as current."""
        return self.context.now - self.context.store_seen_at < constants.STORE_STALE_S

    def isolated(self) -> bool:
        """Whether there are peers and none of them has answered lately."""
        members = self.context.settings.peers
        return bool(members) and all(
            self.context.now - self.peer_seen_at.get(m.controller_id, constants.NEVER)
            >= constants.ISOLATION_S
            for m in members
        )

    def is_cancelled(self, job_id: str) -> bool:
        """Whether a job is cancelled, by our records or by the answer of a peer."""
        job = self.context.replica.jobs.get(job_id)
        return job_id in self.cancelled or (job is not None and job.state == "cancelled")

    def has_unrecorded_older_than(self, seconds: float) -> bool:
        """Whether a cancellation that our records lack may be that old.

        Bindings of the job made in the meantime are then missing in our records too.
        """
        return any(self.context.now - at >= seconds for at in self.cancelled.values())

    def list_for_peer(self, after_revision: int) -> tuple[list[str], int]:
        """Answer a peer that knows all cancellations up to a revision.

        Returns:
            The jobs cancelled after it, and the revision up to which these are complete; -1 if
            they may be incomplete.
        """
        if after_revision < 0:  # an earlier version, which does not say up to where it knows them
            return [
                job
                for _, job in self.context.replica.cancellations.by_revision[
                    -constants.CANCELLATIONS_SENT_UNASKED :
                ]
            ], -1
        job_ids = self.context.replica.cancellations.cancelled_after(after_revision)
        return ([], -1) if job_ids is None else (job_ids, self.context.replica.revision)

    def peer_answered(self, answer: PeerAnswered) -> None:
        """Take a peer's answer: it lives, and what was cancelled.

        The list begins at the revision up to which we knew all of them at the request, so there is
        no gap if the peer gives a revision up to which it is complete. That holds for a peer that
        has just started too: what its former incarnation told users is in the records it loaded.

        Args:
            label: the peer.
            incarnation: its incarnation, or 0 if it has none yet.
            state_age: seconds since the store last answered the peer.
            cancelled: ids of cancelled jobs.
            asked: when the request was sent (s); an answer that was delayed is that old.
            until: the revision up to which the list is complete, or -1.
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
                complete = False  # leases that we can't renew safely will expire
                break
            self.cancelled[job_id] = not_before
            self.reconcile_job(job_id)
        if complete:
            self.replicated_revision = max(self.replicated_revision, complete_revision)
            self.replicated_at = max(self.replicated_at, store_seen_at)
            self.peer_complete_until[peer] = max(
                self.peer_complete_until.get(peer, constants.NEVER), asked_at
            )

    def drop_recorded(self) -> None:
        """Drop cancellations that our own records show by now."""
        jobs = self.context.replica.jobs
        for job_id in [j for j in self.cancelled if j in jobs and jobs[j].final]:
            del self.cancelled[job_id]

    def reconcile_job(self, job_id: str) -> None:
        """Reconcile all machines to which tasks of a job are bound."""
        job = self.context.replica.jobs.get(job_id)
        if job is not None:
            self.workers.to_reconcile.update(b.machine for b in job.bindings())
