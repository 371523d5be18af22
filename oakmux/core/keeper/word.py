"""How current we are: news of the state service, word of the peers, cancellations known."""

from oakmux import constants
from oakmux.core.keeper.kept import Ward
from oakmux.core.world import World


class Word:
    """Whether we know enough to keep workers alive (R ran_cancelled) and to start tasks."""

    def __init__(self, world: World, ward: Ward) -> None:
        self.world = world
        self.ward = ward
        self.peer_fresh: dict[str, float] = {}
        self.peer_life: dict[str, int] = {}
        self.peer_heard: dict[str, float] = {}
        self.mesh_broken = False
        self.cancelled: dict[str, float] = {}

    def cancels_known_until(self) -> float:
        """Return the time up to which we know of every cancellation that was answered."""
        world = self.world
        known = max([world.state_heard, *self.peer_fresh.values()])
        members = world.settings.members
        if not self.mesh_broken and all(m.label in self.peer_heard for m in members):
            known = max(known, min((self.peer_heard[m.label] for m in members),
                                   default=world.now))
        return known

    def may_keep(self) -> bool:
        """Whether leases that we renew still end before a cancellation we can't know of."""
        times_ = self.world.facts.workers
        patience = times_.cancel_s - times_.lease_s - constants.CANCEL_MARGIN_S
        return self.world.now - self.cancels_known_until() < max(patience, 0.0)

    def state_fresh(self) -> bool:
        """Whether our own records are current."""
        return self.world.now - self.world.state_heard < constants.STATE_STALE_S

    def alone(self) -> bool:
        """Whether no peer has said a word of late, if there are any."""
        members = self.world.settings.members
        return bool(members) and all(
            self.world.now - self.peer_heard.get(m.label, -1e9) >= constants.ALONE_S
            for m in members)

    def peer_alive(self, label: str, life: int, state_age: float, cancelled: list[str],
                   asked: float) -> None:
        """Take a peer's answer to a question asked at `asked`: it lives, and what was cancelled.

        The time of the question counts, so that an answer that was held up is not taken for new.
        """
        now = self.world.now
        if self.peer_life.get(label, life) != life and not self.state_fresh():
            # A peer that restarted may have answered a cancellation and died before telling us.
            self.mesh_broken = True
        self.peer_life[label] = life
        if life:
            self.peer_heard[label] = asked
            self.peer_fresh[label] = max(self.peer_fresh.get(label, -1e9), asked - state_age)
        for job_id in cancelled:
            if job_id not in self.cancelled:
                self.cancelled[job_id] = now
                self._poke_job(job_id)

    def note_cancelled(self, job_id: str) -> None:
        """Remember a cancellation, to stop its tasks and to tell peers."""
        self.cancelled.setdefault(job_id, self.world.now)
        self._poke_job(job_id)

    def _poke_job(self, job_id: str) -> None:
        job = self.world.replica.jobs.get(job_id)
        if job is not None:
            self.ward.poke.update(b.machine for b in job.bindings())
