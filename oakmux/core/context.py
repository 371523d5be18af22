"""State shared by a controller's components: settings, records, machines, clock, rng, effects."""

import random
from collections.abc import Callable
from typing import Any, Protocol

from oakmux import constants
from oakmux.core.failure_attribution import FailureAttribution
from oakmux.core.machine import Machine
from oakmux.core.messages import Answer, Effect, SendToPeer
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.objectives import Objectives
from oakmux.core.peer_messages import AnnounceBackfill, PeerMessage
from oakmux.core.state.records import Job
from oakmux.core.state.replica import Replica
from oakmux.settings import Facts, Settings, Team


class Backfill(Protocol):
    """Reservations of machines for large gangs, and which jobs may use the machines until then."""

    # Job id by reserved machine.
    by_machine: dict[str, str]

    def announced(self, message: AnnounceBackfill) -> None:
        """Record a reservation that a team's owner announced."""

    def blocks_job(self, machine: str, job: Job, spec: JobSpec) -> bool:
        """Whether a reservation keeps a job off a machine."""

    def is_reserved(self, machine: str) -> bool:
        """Whether a machine is reserved for a gang."""

    def reserved_before(self, job: Job) -> set[str]:
        """Return the machines that are reserved for jobs before this one."""


class Context:
    """State shared by the components of one controller; owned by `Controller.step`.

    `now` is a monotonic clock in seconds. `wall_start_ms` is the time of day at its zero, in
    milliseconds since 1970.
    """

    def __init__(self, settings: Settings, rng: random.Random, wall_start_ms: int) -> None:
        self.settings = settings
        self.facts = settings.facts
        self.controller_id = settings.controller_id
        self.rng = rng
        self.now = 0.0
        self.wall_start_ms = wall_start_ms
        self.replica = Replica()
        self.types: dict[str, MachineType] = {}
        # Whether the cloud has named the types to this process; until then they are those of the
        # records, which may be behind.
        self.types_current = False
        self.teams: dict[str, Team] = {team.name: team for team in settings.facts.teams}
        self.objectives = Objectives(settings.facts.objectives)
        self.array_share_gpus = _array_share_gpus(settings.facts)
        self.machines: dict[str, Machine] = {}
        self.failures = FailureAttribution(self.replica, self.machines, lambda: self.now)
        # Machines that are certainly terminated, the newest last. Delayed copies of their
        # heartbeats may arrive even after their record is deleted.
        self.terminated: dict[str, None] = {}
        # When the process last resumed after a suspension; what it received before is outdated.
        self.resumed_at = constants.NEVER
        # When the last store outage ended; no task can start during an outage.
        self.store_recovered_at = constants.NEVER
        # Time up to which the records contain all changes.
        self.store_seen_at = constants.NEVER
        # Time of the latest drain notice, by machine.
        self.draining: dict[str, float] = {}
        # Machines found unusable; their next heartbeat makes them candidates again.
        self.unresponsive: set[str] = set()
        self.changed_workers: set[str] = set()
        # The first term of the range that this controller allocated last, and when it did.
        self.term = 0
        self.term_allocated_at = 0.0
        self.incarnation = 0
        # Roles that this controller holds, with the mod revisions of their keys.
        self.held_roles: dict[str, int] = {}
        # Roles of optional subsystems, and the prefix of job ids that is reserved for them.
        self.extra_roles: list[str] = []
        self.reserved_job_prefix = ""
        # Set by Controller.
        self.backfill: Backfill
        self.effects: list[Effect] = []
        self.inbox: list[PeerMessage] = []
        self.operations: dict[int, Callable[..., None]] = {}
        self._last_operation = 0

    # --- terms ---

    @staticmethod
    def range_end(first_term: int) -> int:
        """Return the last term of the range that begins with a term."""
        return first_term + constants.TERMS_PER_RANGE - 1

    @property
    def last_term(self) -> int:
        """The last term of the range that this controller allocated last, or 0 without one."""
        return self.range_end(self.term) if self.term else 0

    def owns_term(self, fencing_token: int) -> bool:
        """Whether a worker's fencing token is a term of the range allocated last."""
        return 0 < self.term <= fencing_token <= self.last_term

    # --- effects ---

    def emit(self, effect: Effect) -> None:
        """Add an effect to those that the current step returns."""
        self.effects.append(effect)

    def answer(self, request: Any, status: int, body: tuple[Any, ...]) -> None:
        """Answer a request with an HTTP status and a tagged body."""
        self.effects.append(Answer(request, status, body))

    def send(self, controller_id: str, message: PeerMessage) -> None:
        """Send a message to a controller; one to itself is delivered within the same step."""
        if controller_id == self.controller_id:
            self.inbox.append(message)
        else:
            self.effects.append(SendToPeer(controller_id, message))

    def call(self, callback: Callable[..., None], operation: type[Effect], *args: Any) -> None:
        """Start an operation; `callback` is called with its status and result when it ends.

        `args` are the fields of the operation after its number.
        """
        self._last_operation += 1
        self.operations[self._last_operation] = callback
        self.effects.append(operation(self._last_operation, *args))

    # --- time ---

    @property
    def wall_clock_ms(self) -> int:
        """The time of day in milliseconds since 1970, in which submission times are recorded."""
        return self.wall_start_ms + int(self.now * 1000)

    def note_store_answer(self, requested_at: float) -> None:
        """Note that the store answered a request for all changes sent at `requested_at`."""
        if self.now - self.store_seen_at >= constants.STORE_STALE_S:
            self.store_recovered_at = self.now
        self.store_seen_at = max(self.store_seen_at, requested_at)

    # --- machines ---

    def drain(self, name: str) -> None:
        """Place no new tasks on a machine; the caller repeats this, since the notice expires."""
        if name not in self.draining:
            self.replica.changes.touch(name)
        self.draining[name] = self.now

    def undrain(self, name: str) -> None:
        """Allow new tasks on a machine again."""
        if self.draining.pop(name, None) is not None:
            self.replica.changes.touch(name)

    def note_heartbeat(self, machine: Machine) -> None:
        """Note that a machine just sent a heartbeat, to this controller or to a peer."""
        machine.last_heartbeat_at = self.now
        if machine.name in self.unresponsive:
            self.unresponsive.discard(machine.name)
            self.replica.changes.touch(machine.name)

    def mark_terminated(self, name: str) -> None:
        """Remove a machine that is certainly terminated; its name is never reused."""
        self.machines.pop(name, None)
        self.draining.pop(name, None)
        self.unresponsive.discard(name)
        self.replica.changes.touch(name)
        self.terminated[name] = None
        while len(self.terminated) > constants.MAX_CACHE_ENTRIES:
            del self.terminated[next(iter(self.terminated))]

    # --- machine types ---

    def types_changed(self) -> None:
        """Recompute the free resources of all machines after a change of the catalogue."""
        self.replica.changes.free_resources.clear()
        self.replica.changes.stale_machines.update(self.machines)

    def fits_type(self, spec: JobSpec, type_name: str) -> bool:
        """Whether a task of the job fits an empty machine of an allowed type."""
        machine_type = self.types.get(type_name)
        return (
            machine_type is not None
            and (spec.types is None or type_name in spec.types)
            and spec.cpus <= machine_type.cpus
            and spec.gpus <= machine_type.gpus
            and spec.memory_gb <= machine_type.memory_gb
        )

    def fetch_s(self, spec: JobSpec, type_name: str) -> float:
        """Return the nominal seconds in which a machine of the type fetches the job's image."""
        return spec.image_gb / (self.types[type_name].fetch_gb_per_s or 1.0)

    def is_eligible(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a task of the job may run on this machine if it is empty."""
        return (
            self.fits_type(spec, machine.type)
            and (spec.zone is None or spec.zone == machine.zone)
            and (spec.spot or not machine.spot)
        )


def _array_share_gpus(facts: Facts) -> float:
    """Return the GPUs that one array is assumed to get, to estimate how long its work takes."""
    gpus = sum(team.gpus or team.gpus_max for team in facts.teams)
    return max(1.0, constants.ARRAY_SHARE * gpus)
