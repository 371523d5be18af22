"""Gangs: room for all tasks at once or for none, and an end for all when one is lost."""

import math

from oakmux import constants
from oakmux.core.index import Drawn, Index
from oakmux.core.jobs import Job
from oakmux.core.keeper.room import times
from oakmux.core.owner.copies import Copies
from oakmux.core.owner.places import best, make_room, reserve
from oakmux.core.owner.state import Open
from oakmux.core.world import World
from oakmux.wire import JobSpec


class Gangs:
    """Samples for gangs; one of them at a time may hold a part of the room that it needs."""

    def __init__(self, world: World, index: Index, open_jobs: dict[str, Open]) -> None:
        self.world = world
        self.index = index
        self.open = open_jobs
        self.gathering = ""

    def end_turn(self, job: Job) -> None:
        """Let another gang hold room."""
        if self.gathering == job.id:
            self.gathering = ""

    def sample(self, job: Job, spec: JobSpec, state: Open) -> None:
        """Reserve room for all tasks of a gang, in one zone where it asks for that.

        Where a zone has room for all, the one that holds the image most often is taken; else one
        where stopping work of less right makes room for all. If there is none, one gang of ours at
        a time, the oldest, holds the room that there is until more comes: several would each hold
        a part of what the others need.
        """
        world = self.world
        groups: list[tuple[float, int, list[Drawn], list[str]]] = []
        all_zones = world.facts.zones
        for zones in ([[zone] for zone in all_zones] if spec.one_zone else [all_zones]):
            rows = self.index.draw(spec, zones, state.avoid, spec.tasks)
            counts = [(times(row.free, spec), row.held) for row in rows]
            groups.append((sum(count for count, held in counts if held) + world.rng.random(),
                           sum(count for count, _ in counts), rows, zones))
        enough = [group for group in groups if group[1] >= spec.tasks]
        if enough:
            _, _, rows, _ = max(enough, key=lambda group: min(group[0], spec.tasks))
            reserve(world, job, best(world, job, spec, rows, spec.tasks))
            return
        groups.sort(key=lambda group: -group[1])
        if world.now >= max(state.next_wide, state.preempt_at):
            state.next_wide = world.now + constants.WIDE_S
            for _, there, rows, zones in groups:
                fitting = self.index.fitting(spec, zones) - self.index.numbers(
                    row.machine for row in rows)
                if make_room(world, self.index, job, spec, state, fitting, spec.tasks - there,
                             math.inf):
                    reserve(world, job, best(world, job, spec, rows, there))
                    return
        waiting = self.open.get(self.gathering)
        if waiting is None or waiting.next_sample == math.inf:
            self.gathering = job.id
        if self.gathering == job.id:
            _, there, rows, _ = groups[0]
            reserve(world, job, best(world, job, spec, rows, there))


def stop_rest(copies: Copies, job: Job, spec: JobSpec, attempt: int) -> None:
    """Stop what is left of a gang's attempt that lost a task."""
    for index in range(spec.tasks):
        number = index // copies.per_chunk
        binding = copies.chunk(job, number).bound.get(index)
        if binding is not None and binding.attempt == attempt and not binding.stop:
            copies.edit(job, number).bound[index] = binding._replace(stop=True)
