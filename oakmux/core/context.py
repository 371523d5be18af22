"""What the parts of the core share: settings, records, machines, time, chance and effects."""

import logging
import random
from typing import TYPE_CHECKING, Any

from oakmux import constants
from oakmux.core.model import Heartbeat, JobSpec, MachineType
from oakmux.core.scheduling.failure_attribution import FailureAttribution
from oakmux.core.state.replica import Replica
from oakmux.settings import Settings, Team

if TYPE_CHECKING:  # it is about a world
    from oakmux.core.scheduling.backfill_reservations import BackfillReservations

log = logging.getLogger("oakmux.core")

Task = tuple[str, int]


class Machine:
    """The newest that any controller has heard of a machine."""

    __slots__ = (
        "name",
        "addr",
        "type",
        "zone",
        "spot",
        "agent_epoch",
        "sequence",
        "fencing_token",
        "notice_at",
        "tasks",
        "manager",
        "manager_term",
        "last_heartbeat_at",
        "images",
        "errors",
        "idle_since",
        "first_heartbeat_at",
        "since",
        "unreachable_signs",
        "unreachable_since",
    )

    def __init__(self, heartbeat: Heartbeat, now: float) -> None:
        self.name = heartbeat.machine
        self.images: dict[str, float] = {}
        self.errors: list[str] = []
        self.idle_since: float | None = now
        self.first_heartbeat_at = now
        self.since: dict[Task, float] = {}
        self.notice_at: float | None = None
        self.manager = ""
        self.manager_term = 0
        # Signs in a row that it does not hear us, and since when that is taken for certain.
        self.unreachable_signs = 0
        self.unreachable_since: float | None = None
        self.take(heartbeat, now)

    def take(self, heartbeat: Heartbeat, now: float) -> None:
        """Take over a newer report."""
        self.addr = heartbeat.addr
        self.type = heartbeat.type
        self.zone = heartbeat.zone
        self.spot = heartbeat.spot
        self.agent_epoch = heartbeat.agent_epoch
        self.sequence = heartbeat.sequence
        self.fencing_token = heartbeat.fencing_token
        self.notice_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        self.tasks: dict[Task, tuple[str, str, bool]] = heartbeat.tasks
        self.last_heartbeat_at = now

    def hold(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Remember that an image is used now; the machine keeps those used last."""
        self.images.pop(image, None)
        self.images[image] = size_gb
        total = sum(self.images.values())
        for old in list(self.images):
            if total <= cache_gb or old == image:
                break
            total -= self.images.pop(old)

    @property
    def version(self) -> tuple[int, int]:
        """Return what orders the reports of a machine."""
        return self.agent_epoch, self.sequence


class Context:
    """Shared by the parts of one controller; owned by Controller.step."""

    def __init__(self, settings: Settings, rng: random.Random, wall: int) -> None:
        self.settings = settings
        self.facts = settings.facts
        self.label = settings.controller_id
        self.rng = rng
        self.now = 0.0
        self.wall = wall
        self.replica = Replica()
        self.failures = FailureAttribution(self.replica)
        self.types: dict[str, MachineType] = {}
        self.teams: dict[str, Team] = {team.name: team for team in settings.facts.teams}
        self.start_objectives: dict[str, list[float]] = {}
        self.finish_objectives: dict[str, float] = {}
        # The GPUs that one array is taken to have to itself when its size makes it younger.
        self.array_share_gpus = max(
            1.0,
            constants.ARRAY_SHARE
            * sum(team.gpus or team.gpus_max for team in settings.facts.teams),
        )
        for aim in settings.facts.objectives:
            if aim.kind == "wait" and aim.job_class and aim.within_s is not None:
                self.start_objectives.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.kind == "finished" and aim.job_class and aim.within_s is not None:
                self.finish_objectives[aim.job_class] = max(
                    aim.within_s, self.finish_objectives.get(aim.job_class, 0.0)
                )
        self.guarantee_objective_s = min(
            (
                aim.within_s
                for aim in settings.facts.objectives
                if aim.kind == "guarantee" and aim.within_s is not None
            ),
            default=None,
        )
        self.machines: dict[str, Machine] = {}
        # Machines that are certainly gone, the newest last: copies of their reports may come late,
        # also after their record was cleaned up.
        self.terminated: dict[str, None] = {}
        # When this process last went on after it had stood still: what it had heard before is old.
        self.resumed_at = constants.NEVER
        # When the state service was last back after we had lost it: nothing could start meanwhile.
        self.store_recovered_at = constants.NEVER
        self.draining: dict[str, float] = {}
        # Machines that were found unusable, to be looked at again when they are heard.
        self.unresponsive: set[str] = set()
        self.effects: list[tuple] = []
        self.inbox: list[tuple] = []
        self.term = 0
        self.incarnation = 0
        self.held_roles: dict[str, int] = {}
        self.store_seen_at = constants.NEVER
        self.changed_workers: set[str] = set()
        # Roles beside teams and fleet, and how ids begin that jobs of users can't have, for
        # subsystems that are switched on.
        self.extra_roles: list[str] = []
        self.reserved = ""
        # Machines that wait for gangs; set by the controller, which joins the parts.
        self.backfill: BackfillReservations
        self._op = 0
        self.ops: dict[int, Any] = {}

    def emit(self, *effect: Any) -> None:
        """Add an effect; a message to ourselves is delivered within the same step."""
        if effect[0] == "send" and effect[1] == self.label:
            self.inbox.append(effect[2])
        else:
            self.effects.append(effect)

    def call(self, then: Any, *effect: Any) -> None:
        """Add an effect whose outcome is handed to `then`."""
        self._op += 1
        self.ops[self._op] = then
        self.effects.append((effect[0], self._op, *effect[1:]))

    @property
    def wall_clock_ms(self) -> int:
        """The time of day in milliseconds, by which jobs' ages are recorded."""
        return self.wall + int(self.now * 1000)

    def note_store_answer(self, asked: float) -> None:
        """The state service answered a question about all records, asked at a time."""
        if self.now - self.store_seen_at >= constants.STORE_STALE_S:
            self.store_recovered_at = self.now
        self.store_seen_at = max(self.store_seen_at, asked)

    def drain(self, name: str) -> None:
        """Put nothing new on a machine; said anew, the time of it counts from now."""
        if name not in self.draining:  # a notice is repeated once a second
            self.replica.changes.touch(name)
        self.draining[name] = self.now

    def undrain(self, name: str) -> None:
        """Use a machine again."""
        if self.draining.pop(name, None) is not None:
            self.replica.changes.touch(name)

    def note_heartbeat(self, machine: Machine) -> None:
        """A machine was heard just now, by us or by a peer that said so."""
        machine.last_heartbeat_at = self.now
        if machine.name in self.unresponsive:
            self.unresponsive.discard(machine.name)
            self.replica.changes.touch(machine.name)

    def mark_terminated(self, name: str) -> None:
        """A machine is certainly gone, and its name never comes again: forget what is on it."""
        self.machines.pop(name, None)
        self.draining.pop(name, None)
        self.unresponsive.discard(name)
        self.replica.changes.touch(name)
        self.terminated[name] = None
        while len(self.terminated) > constants.MAX_REMEMBERED:
            del self.terminated[next(iter(self.terminated))]

    def types_changed(self) -> None:
        """The catalogue changed: what is free on a machine counts anew."""
        self.replica.changes.free_resources.clear()
        self.replica.changes.stale_machines.update(self.machines)

    def fits_type(self, spec: JobSpec, type_name: str) -> bool:
        """Whether a task of the job fits an empty machine of an allowed type."""
        kind = self.types.get(type_name)
        return (
            kind is not None
            and (spec.types is None or type_name in spec.types)
            and spec.cpus <= kind.cpus
            and spec.gpus <= kind.gpus
            and spec.memory_gb <= kind.memory_gb
        )

    def fetch_s(self, spec: JobSpec, type_name: str) -> float:
        """Return the seconds that a machine without the job's image needs for it, nominally."""
        return spec.image_gb / (self.types[type_name].fetch_gb_per_s or 1.0)

    def fits(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether the job allows this machine, room and other tasks apart."""
        return (
            self.fits_type(spec, machine.type)
            and (spec.zone is None or spec.zone == machine.zone)
            and (spec.spot or not machine.spot)
        )


def event(name: str, **fields: Any) -> None:
    """Log one event at info as key=value."""
    if log.isEnabledFor(logging.INFO):
        log.info("event=%s %s", name, " ".join(f"{k}={v}" for k, v in fields.items()))
