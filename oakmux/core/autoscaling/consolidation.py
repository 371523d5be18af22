"""Moves services off nearly empty machines, so that the machines can be returned."""

from typing import NamedTuple

from oakmux import constants
from oakmux.core.autoscaling.slot_pool import Slot
from oakmux.core.context import Context
from oakmux.core.machine import Machine, Task
from oakmux.core.model import JobSpec
from oakmux.core.peer_messages import MoveTask
from oakmux.core.resources import Resources, fits_resources, subtract
from oakmux.core.scheduling.placement import zone_allowed
from oakmux.core.state.records import Binding, Job
from oakmux.logs import event


class _Move(NamedTuple):
    """Tasks to move off a machine, and the free share that makes the machine a candidate."""

    free_share: float
    machine: str
    tasks: list[Task]


class Consolidation:
    """Moves the services of one machine at a time."""

    def __init__(self, context: Context) -> None:
        self.context = context
        # Machines whose services are being moved, and when each move times out.
        self.moving_until: dict[str, float] = {}

    def is_moving(self, name: str) -> bool:
        """Whether the services of a machine are being moved and the move has not timed out."""
        return self.moving_until.get(name, 0.0) >= self.context.now

    def forget(self, name: str) -> None:
        """Drop the move of a machine that is used again."""
        self.moving_until.pop(name, None)

    def run(self, slots: list[Slot]) -> None:
        """Move the services off the emptiest machine whose tasks all fit elsewhere."""
        context = self.context
        if any(
            until > context.now and name in context.machines
            for name, until in self.moving_until.items()
        ):
            return
        self.moving_until = {
            name: until for name, until in self.moving_until.items() if name in context.draining
        }
        move = self._best_move([slot for slot in slots if slot.name in context.machines])
        if move is None:
            return
        context.drain(move.machine)
        self.moving_until[move.machine] = context.now + constants.MOVE_TIMEOUT_S
        event("services_moved", machine=move.machine, tasks=len(move.tasks))
        manager = context.machines[move.machine].manager
        for task, attempt in move.tasks:
            context.send(manager, MoveTask(move.machine, task, attempt))

    def _best_move(self, slots: list[Slot]) -> _Move | None:
        best: _Move | None = None
        for slot in slots:
            if not self._is_candidate(slot):
                continue
            free_share = self._free_share(slot)
            if free_share < constants.MOVE_FREE_SHARE or (
                best is not None and free_share <= best.free_share
            ):
                continue
            targets = [other for other in slots if other is not slot]
            tasks = self._movable_tasks(self.context.machines[slot.name], targets)
            if tasks:
                best = _Move(free_share, slot.name, tasks)
        return best

    def _is_candidate(self, slot: Slot) -> bool:
        context = self.context
        machine = context.machines[slot.name]
        return (
            machine.idle_since is None
            and not slot.needed
            and slot.name not in context.draining
            and context.now - machine.first_heartbeat_at >= constants.IDLE_KEEP_S
        )

    def _free_share(self, slot: Slot) -> float:
        """Return the free share of a machine's GPUs, or of its CPUs if it has no GPUs."""
        machine_type = self.context.types[slot.kind.type]
        if machine_type.gpus:
            return slot.free.gpus / machine_type.gpus
        return slot.free.cpus / machine_type.cpus

    def _movable_tasks(self, machine: Machine, targets: list[Slot]) -> list[Task] | None:
        """Return the tasks of a machine, or None unless all of them can be moved now."""
        replica = self.context.replica
        free = {slot.name: slot.free for slot in targets}
        # Zones of each job's tasks after the moves planned so far; several of its tasks may move.
        zones_by_job: dict[str, list[str]] = {}
        tasks: list[Task] = []
        for (job_id, index), binding in replica.bindings.by_machine.get(machine.name, {}).items():
            job = replica.jobs.get(job_id)
            task = (f"{job_id}/{index}", binding.attempt)
            spec = self._movable_spec(job, machine, task)
            if job is None or spec is None:
                return None
            zones = zones_by_job.setdefault(job_id, [other.zone for other in job.bindings()])
            target = self._move_target(spec, binding, targets, free, zones)
            if target is None:
                return None
            free[target.name] = subtract(free[target.name], spec)
            zones.append(target.kind.zone)
            tasks.append(task)
        return tasks

    def _movable_spec(self, job: Job | None, machine: Machine, task: Task) -> JobSpec | None:
        """Return the spec of a task's job if it is a service that has run for IDLE_KEEP_S."""
        if job is None or job.spec is None or job.spec.kind != "service":
            return None
        if machine.tasks.get(task, ("",))[0] != "running":
            return None
        now = self.context.now
        stable = now - machine.task_started_at.get(task, now) >= constants.IDLE_KEEP_S
        return job.spec if stable else None

    def _move_target(
        self,
        spec: JobSpec,
        binding: Binding,
        targets: list[Slot],
        free: dict[str, Resources],
        zones: list[str],
    ) -> Slot | None:
        """Return a machine in use that has the image and free capacity for the task."""
        zones.remove(binding.zone)
        for slot in targets:
            machine = self.context.machines[slot.name]
            if (
                machine.idle_since is None
                and spec.image in machine.images
                and fits_resources(free[slot.name], spec)
                and self.context.is_eligible(spec, machine)
                and zone_allowed(spec, zones, slot.kind.zone)
            ):
                return slot
        return None
