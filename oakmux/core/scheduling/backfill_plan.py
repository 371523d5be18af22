"""Plans a backfill reservation: which machines to keep for a gang so that all are free soonest.

Without a reservation, a gang of many tasks finds enough capacity only by chance: younger gangs
take the capacity freed on one machine before the next machine is free, and capacity held for the
gang would be idle. A reservation names the machines in advance:

- Work that can't be preempted for the gang is placed there only if it ends in time.
- Arrays are still placed there, since they are preempted when all machines are ready.

So no capacity is idle, no task that ends in time is moved, and a dropped plan leaves nothing half
done.
"""

import heapq
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from oakmux import constants
from oakmux.core.resources import NO_RESOURCES, Resources, task_capacity


class CandidateTask(NamedTuple):
    """A task on a machine, and when its resources become available.

    `ready_s`: seconds until then; infinite if never. `lost_s`: seconds of work that are lost.
    """

    resources: Resources
    ready_s: float
    lost_s: float


class BackfillCandidate(NamedTuple):
    """A machine that may become part of a backfill reservation."""

    name: str
    zone: str
    free: Resources
    tasks: tuple[CandidateTask, ...]


class BackfillPlan(NamedTuple):
    """The number of tasks that each machine is reserved for.

    All machines are ready in `ready_s` seconds, at the loss of `lost_s` seconds of work. `zone` is
    None if the gang may use several zones.
    """

    zone: str | None
    machines: dict[str, int]
    ready_s: float
    lost_s: float


class TaskSlot(NamedTuple):
    """Capacity for one more task on a machine: ready in `ready_s` at the loss of `lost_s`."""

    ready_s: float
    lost_s: float
    machine: str


class PlanRank(NamedTuple):
    """Sort key of plans; the smallest is chosen. Keeping previous machines lowers `ready_s`."""

    ready_s: float
    lost_s: float


class SlotRank(NamedTuple):
    """Sort key of the slots that are ready in time; the smallest is chosen first."""

    new_machine: bool
    lost_s: float
    ready_s: float
    machine: str


def tasks_that_fit(need: Resources, free: Resources) -> int:
    """Return how many tasks fit into free resources.

    If a task needs no resources, the count is the number of tasks that a record can hold.
    """
    if need == NO_RESOURCES:
        return constants.BLOCK_TASKS
    return task_capacity(free, need)


def task_slots(need: Resources, candidate: BackfillCandidate, max_slots: int) -> list[TaskSlot]:
    """Return up to `max_slots` slots on a machine, the soonest first.

    Running tasks end or are preempted in the order in which their resources become available.
    Tasks whose resources turn out not to be needed stay.
    """
    free = candidate.free
    slot_count = tasks_that_fit(need, free)
    slots = [TaskSlot(0.0, 0.0, candidate.name)] * min(slot_count, max_slots)
    ended: list[CandidateTask] = []
    for task in sorted(candidate.tasks, key=lambda task: (task.ready_s, task.lost_s)):
        if len(slots) >= max_slots or task.ready_s == math.inf:
            break
        ended.append(task)
        free_after = _released(free, ended)
        count = tasks_that_fit(need, free_after)
        if count > slot_count:
            needed = _needed_tasks(need, ended, free_after, count)
            free = _released(free, needed)
            ended = [task for task in ended if task not in needed]
            ready_s = max(task.ready_s for task in needed)
            lost_s = sum(task.lost_s for task in needed)
            slots.append(TaskSlot(ready_s, lost_s, candidate.name))
            slots += [TaskSlot(ready_s, 0.0, candidate.name)] * (count - slot_count - 1)
            slot_count = count
    return slots[:max_slots]


def _needed_tasks(
    need: Resources, ended: list[CandidateTask], free: Resources, count: int
) -> list[CandidateTask]:
    """Return the tasks that must end so that `count` tasks fit; the costliest are spared first.

    `free` holds the free resources once all of `ended` have ended.
    """
    needed = list(ended)
    for task in sorted(ended, key=lambda task: (-task.ready_s, -task.lost_s)):
        free_without = Resources(
            free.cpus - task.resources.cpus,
            free.gpus - task.resources.gpus,
            free.memory_gb - task.resources.memory_gb,
        )
        if len(needed) > 1 and tasks_that_fit(need, free_without) >= count:
            needed.remove(task)
            free = free_without
    return needed


def _released(free: Resources, tasks: Iterable[CandidateTask]) -> Resources:
    """Return the free resources once tasks have ended."""
    cpus, gpus, memory_gb = free.cpus, free.gpus, free.memory_gb
    for task in tasks:
        cpus += task.resources.cpus
        gpus += task.resources.gpus
        memory_gb += task.resources.memory_gb
    return Resources(cpus, gpus, memory_gb)


def choose_plan(
    need: Resources,
    tasks: int,
    candidates: Iterable[BackfillCandidate],
    one_zone: bool,
    previous: Mapping[str, int] | None = None,
) -> BackfillPlan | None:
    """Return the machines to reserve for all tasks of a gang, or None if they never suffice.

    The plan uses the zone (or all zones together) that has capacity for all tasks soonest, and
    there the cheapest of the capacity that is ready by then. The `previous` plan's machines are
    kept unless others are ready sooner by BACKFILL_MARGIN_S, so that plans don't alternate.
    """
    previous = previous or {}
    groups: dict[str | None, list[TaskSlot]] = {}
    for candidate in candidates:
        zone = candidate.zone if one_zone else None
        groups.setdefault(zone, []).extend(task_slots(need, candidate, tasks))
    plans = [
        _plan_in_zone(zone, slots, tasks, previous)
        for zone, slots in groups.items()
        if len(slots) >= tasks
    ]
    return min(plans, key=lambda plan: _plan_rank(plan, tasks, previous), default=None)


def _plan_in_zone(
    zone: str | None, slots: list[TaskSlot], tasks: int, previous: Mapping[str, int]
) -> BackfillPlan:
    ready_s = heapq.nsmallest(tasks, (slot.ready_s for slot in slots))[-1]
    chosen = _cheapest_slots(slots, tasks, ready_s, previous)
    machines: dict[str, int] = {}
    for slot in chosen:
        machines[slot.machine] = machines.get(slot.machine, 0) + 1
    return BackfillPlan(
        zone,
        machines,
        max(slot.ready_s for slot in chosen),
        sum(slot.lost_s for slot in chosen),
    )


def _plan_rank(plan: BackfillPlan, tasks: int, previous: Mapping[str, int]) -> PlanRank:
    kept = sum(min(count, previous.get(name, 0)) for name, count in plan.machines.items())
    return PlanRank(plan.ready_s - constants.BACKFILL_MARGIN_S * kept / tasks, plan.lost_s)


def _cheapest_slots(
    slots: list[TaskSlot], tasks: int, ready_s: float, previous: Mapping[str, int]
) -> list[TaskSlot]:
    """Choose the cheapest slots that are ready in time; slots of one machine keep their order."""
    deadline_s = ready_s + min(ready_s, constants.BACKFILL_MARGIN_S)
    by_machine: dict[str, list[TaskSlot]] = {}  # in reverse: a machine's next slot is last
    for slot in reversed(slots):
        if slot.ready_s <= deadline_s:
            by_machine.setdefault(slot.machine, []).append(slot)

    def rank(slot: TaskSlot) -> SlotRank:
        return SlotRank(slot.machine not in previous, slot.lost_s, slot.ready_s, slot.machine)

    heap = [(rank(remaining[-1]), remaining) for remaining in by_machine.values()]
    heapq.heapify(heap)
    chosen: list[TaskSlot] = []
    while heap and len(chosen) < tasks:
        _, remaining = heap[0]
        chosen.append(remaining.pop())
        if remaining:
            heapq.heapreplace(heap, (rank(remaining[-1]), remaining))
        else:
            heapq.heappop(heap)
    return chosen
