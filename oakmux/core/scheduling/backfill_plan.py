"""Which machines to open for a gang that finds no room: chosen so that all are free soonest.

A gang of many tasks once waited until chance left it room: what ended on one machine was taken by
younger gangs before the next machine was free, and holding free room for it let that stand idle.
An opening names the machines in advance. Nothing that could not be stopped for the gang goes there
any more; arrays still may, since they give way at the moment when all is ready. So nothing stands
idle, nothing is moved that ends in time, and a plan that is dropped leaves nothing half done.
"""

import heapq
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from oakmux import constants

Resources = tuple[float, float, float]
"""CPUs, GPUs, memory (GB)."""


class Held(NamedTuple):
    """A task that is on a machine: what it takes, in how many seconds its room can be had, and the
    seconds of work that are lost thereby. Infinite: never."""

    resources: Resources
    ready_s: float
    lost_s: float


class BackfillCandidate(NamedTuple):
    """A machine as far as an opening is concerned."""

    name: str
    zone: str
    free: Resources
    held: tuple[Held, ...]


class BackfillPlan(NamedTuple):
    """Machines to open, with the tasks that each is for; when all are ready, and what is lost."""

    zone: str | None
    machines: dict[str, int]
    ready_s: float
    lost_s: float


class SlotOffer(NamedTuple):
    """Room for one task more on a machine: when it is ready, what is lost for it."""

    ready_s: float
    lost_s: float
    name: str


def fits(need: Resources, free: Resources) -> int:
    """Return how many tasks fit into free room; as many as there may be if they need nothing."""
    counts = [
        math.floor((have + constants.EPSILON) / want)
        for want, have in zip(need, free, strict=True)
        if want > 0
    ]
    return max(0, min(counts, default=constants.CHUNK_TASKS))


def parts(need: Resources, site: BackfillCandidate, most: int) -> list[SlotOffer]:
    """Return the room for one task after another on a machine, the soonest first: what ends or can
    be stopped goes in that order, and what was not needed for the room stays."""
    rows: list[SlotOffer] = []
    gone: list[Held] = []
    free = site.free
    found = fits(need, free)
    rows += [SlotOffer(0.0, 0.0, site.name)] * min(found, most)
    for held in sorted(site.held, key=lambda held: (held.ready_s, held.lost_s)):
        if len(rows) >= most or held.ready_s == math.inf:
            break
        gone.append(held)
        count = fits(need, _plus(free, gone))
        if count > found:
            needed = _needed(need, gone, _plus(free, gone), count)
            free = _plus(free, needed)
            gone = [held for held in gone if held not in needed]
            rows.append(
                SlotOffer(
                    max(held.ready_s for held in needed),
                    sum(held.lost_s for held in needed),
                    site.name,
                )
            )
            rows += [SlotOffer(rows[-1].ready_s, 0.0, site.name)] * (count - found - 1)
            found = count
    return rows[:most]


def _needed(need: Resources, gone: list[Held], free: Resources, count: int) -> list[Held]:
    """Spare what the room does not need, the dearest first."""
    needed = list(gone)
    for held in sorted(gone, key=lambda held: (-held.ready_s, -held.lost_s)):
        less = (
            free[0] - held.resources[0],
            free[1] - held.resources[1],
            free[2] - held.resources[2],
        )
        if len(needed) > 1 and fits(need, less) >= count:
            needed.remove(held)
            free = less
    return needed


def _plus(free: Resources, held: Iterable[Held]) -> Resources:
    for one in held:
        free = (free[0] + one.resources[0], free[1] + one.resources[1], free[2] + one.resources[2])
    return free


def choose(
    need: Resources,
    tasks: int,
    sites: Iterable[BackfillCandidate],
    one_zone: bool,
    kept: Mapping[str, int] | None = None,
) -> BackfillPlan | None:
    """Return the machines to open for all tasks of a gang, or None if there never is room.

    The zone (or the whole fleet) whose room is ready first is taken; in it, of all room that is
    ready by then, what costs least. `kept` is what was chosen before: it stays unless other room
    is ready sooner by OPENING_MARGIN_S, so that the plan does not go back and forth.
    """
    groups: dict[str | None, list[SlotOffer]] = {}
    was = kept or {}
    for site in sites:
        groups.setdefault(site.zone if one_zone else None, []).extend(parts(need, site, tasks))
    best: tuple[float, float, BackfillPlan] | None = None
    for zone, rows in groups.items():
        if len(rows) < tasks:
            continue
        by = heapq.nsmallest(tasks, (row.ready_s for row in rows))[-1]
        chosen = _cheapest(rows, tasks, by, was)
        machines: dict[str, int] = {}
        for row in chosen:
            machines[row.name] = machines.get(row.name, 0) + 1
        lost = sum(row.lost_s for row in chosen)
        ready = max(row.ready_s for row in chosen)
        staying = sum(min(count, was.get(name, 0)) for name, count in machines.items())
        rank = ready - constants.OPENING_MARGIN_S * staying / tasks
        if best is None or (rank, lost) < best[:2]:
            best = rank, lost, BackfillPlan(zone, machines, ready, lost)
    return None if best is None else best[2]


def _cheapest(
    rows: list[SlotOffer], tasks: int, by: float, kept: Mapping[str, int]
) -> list[SlotOffer]:
    """Take the cheapest room that is ready in time, of each machine what comes first there."""
    by += min(by, constants.OPENING_MARGIN_S)
    waiting: dict[str, list[SlotOffer]] = {}
    for row in reversed(rows):
        if row.ready_s <= by:
            waiting.setdefault(row.name, []).append(row)

    def key(row: SlotOffer) -> tuple[bool, float, float, str]:
        return row.name not in kept, row.lost_s, row.ready_s, row.name

    heap = [(key(line[-1]), line) for line in waiting.values()]
    heapq.heapify(heap)
    chosen: list[SlotOffer] = []
    while heap and len(chosen) < tasks:
        _, line = heap[0]
        chosen.append(line.pop())
        if line:
            heapq.heapreplace(heap, (key(line[-1]), line))
        else:
            heapq.heappop(heap)
    return chosen
