"""What the parts of a controller share: settings, records, machines, time, chance, effects."""

import random
from collections.abc import Callable
from typing import Any, Protocol

from oakmux import constants
from oakmux.core.machine import Machine
from oakmux.core.messages import Answer, Effect, SendToPeer
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.objectives import Objectives
from oakmux.core.peer_messages import AnnounceBackfill, PeerMessage
from oakmux.core.scheduling.failure_attribution import FailureAttribution
from oakmux.core.state.records import Job
from oakmux.core.state.replica import Replica
from oakmux.settings import Facts, Settings, Team


class Backfill(Protocol):
    """Machines that are reserved for large gangs, and what may use them until then."""

    # The job that each reserved machine is for.
    by_machine: dict[str, str]

    def announced(self, message: AnnounceBackfill) -> None:
        """Take an owner's announcement."""

    def blocks_job(self, machine: str, job: Job, spec: JobSpec) -> bool:
        """Whether a reservation keeps a job off a machine."""

    def is_reserved(self, machine: str) -> bool:
        """Whether a machine is reserved for a gang."""

    def reserved_before(self, job: Job) -> set[str]:
        """Return the machines that are reserved for jobs before this one."""


class Context:
    """Shared by the parts of one controller; owned by Controller.step.

    `now` is a monotonic clock in seconds; `wall` is the time of day at its zero, in milliseconds
    since 1970.
    """

    def __init__(self, settings: Settings, rng: random.Random, wall_start_ms: int) -> None:
        self.settings = settings
        self.facts = settings.facts
        self.controller_id = settings.controller_id
        self.rng = rng
        self.now = 0.0
        self.wall_start_ms = wall_start_ms
        self.replica = Replica()
        self.failures = FailureAttribution(self.replica)
        self.types: dict[str, MachineType] = {}
        self.teams: dict[str, Team] = {team.name: team for team in settings.facts.teams}
        self.objectives = Objectives(settings.facts.objectives)
        self.array_share_gpus = _array_share_gpus(settings.facts)
        self.machines: dict[str, Machine] = {}
        # Machines that are certainly gone, the newest last: late copies of their heartbeats may
        # come even after their record was deleted.
        self.terminated: dict[str, None] = {}
        # When the process last went on after it was suspended: what it was told before is old.
        self.resumed_at = constants.NEVER
        # When the store was last reached again after an outage, in which nothing could start.
        self.store_recovered_at = constants.NEVER
        # The time up to which the records are known to be current.
        self.store_seen_at = constants.NEVER
        # When machines were last said to be draining.
        self.draining: dict[str, float] = {}
        # Machines found unusable, to be looked at again when they are heard of.
        self.unresponsive: set[str] = set()
        self.changed_workers: set[str] = set()
        self.term = 0
        self.incarnation = 0
        # Roles that we hold, with the mod revisions of their keys.
        self.held_roles: dict[str, int] = {}
        # Roles of optional subsystems, and a prefix of job ids that they keep for themselves.
        self.extra_roles: list[str] = []
        self.reserved_job_prefix = ""
        # Set by the controller, which joins the parts.
        self.backfill: Backfill
        self.effects: list[Effect] = []
        self.inbox: list[PeerMessage] = []
        self.operations: dict[int, Callable[..., None]] = {}
        self._last_operation = 0

    # --- effects ---

    def emit(self, effect: Effect) -> None:
        """Add an effect to those that the current step returns."""
        self.effects.append(effect)

    def answer(self, request: Any, status: int, body: tuple[Any, ...]) -> None:
        """Answer a request."""
        self.effects.append(Answer(request, status, body))

    def send(self, controller_id: str, message: PeerMessage) -> None:
        """Send a message to a controller; one to ourselves is delivered within the same step."""
        if controller_id == self.controller_id:
            self.inbox.append(message)
        else:
            self.effects.append(SendToPeer(controller_id, message))

    def call(self, callback: Callable[..., None], operation: type[Effect], *args: Any) -> None:
        """Start an operation; `callback` gets its status and result when it is done.

        `args` are the operation's fields after its number.
        """
        self._last_operation += 1
        self.operations[self._last_operation] = callback
        self.effects.append(operation(self._last_operation, *args))

    # --- time ---

    @property
    def wall_clock_ms(self) -> int:
        """The time of day in milliseconds, by which jobs' ages are recorded."""
        return self.wall_start_ms + int(self.now * 1000)

    def note_store_answer(self, requested_at: float) -> None:
        """Note that the store answered a request for all changes that was sent at a time."""
        if self.now - self.store_seen_at >= constants.STORE_STALE_S:
            self.store_recovered_at = self.now
        self.store_seen_at = max(self.store_seen_at, requested_at)

    # --- machines ---

    def drain(self, name: str) -> None:
        """Put nothing new on a machine; to be repeated, since the notice expires."""
        if name not in self.draining:
            self.replica.changes.touch(name)
        self.draining[name] = self.now

    def undrain(self, name: str) -> None:
        """Use a machine again."""
        if self.draining.pop(name, None) is not None:
            self.replica.changes.touch(name)

    def note_heartbeat(self, machine: Machine) -> None:
        """Note that a machine sent a heartbeat just now, to us or to a peer."""
        machine.last_heartbeat_at = self.now
        if machine.name in self.unresponsive:
            self.unresponsive.discard(machine.name)
            self.replica.changes.touch(machine.name)

    def mark_terminated(self, name: str) -> None:
        """Forget a machine that is certainly gone; its name is never used again."""
        self.machines.pop(name, None)
        self.draining.pop(name, None)
        self.unresponsive.discard(name)
        self.replica.changes.touch(name)
        self.terminated[name] = None
        while len(self.terminated) > constants.MAX_CACHE_ENTRIES:
            del self.terminated[next(iter(self.terminated))]

    # --- machine types ---

    def types_changed(self) -> None:
        """Compute anew what is free on machines: the catalogue changed."""
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
        """Return the nominal seconds in which a machine fetches the job's image."""
        return spec.image_gb / (self.types[type_name].fetch_gb_per_s or 1.0)

    def is_eligible(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a task of the job may run on this machine if it is empty."""
        return (
            self.fits_type(spec, machine.type)
            and (spec.zone is None or spec.zone == machine.zone)
            and (spec.spot or not machine.spot)
        )


def _array_share_gpus(facts: Facts) -> float:
    """Return the GPUs that one array is assumed to get, to judge how long its work takes."""
    gpus = sum(team.gpus or team.gpus_max for team in facts.teams)
    return max(1.0, constants.ARRAY_SHARE * gpus)
