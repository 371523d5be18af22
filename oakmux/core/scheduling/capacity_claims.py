"""Room that jobs of ours have asked for and that is not answered yet."""

from collections.abc import Mapping
from typing import NamedTuple

from oakmux import constants
from oakmux.core.context import Context, Machine
from oakmux.core.model import JobSpec
from oakmux.core.resources import Resources, subtract


class Claim(NamedTuple):
    """Room for so many tasks of a job, until a time (s)."""

    until: float
    tasks: int
    spec: JobSpec


class CapacityClaims:
    """What an owner's jobs have asked for counts as taken for its other jobs, until the task is
    bound there by the records or the job may ask elsewhere. Without that, all jobs that are
    sampled in a tick ask for the same few machines, and most of them in vain."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.by_machine: dict[str, dict[str, Claim]] = {}

    def ask(self, job_id: str, spec: JobSpec, chosen: Mapping[str, int], wanted: int) -> None:
        """Note that a job, which needs room for `wanted` tasks, asked for it on machines."""
        until = self.context.now + constants.RESAMPLE_S
        if len(self.by_machine) > 2 * len(self.context.machines):  # of machines that are gone
            self.by_machine = {
                name: claims
                for name, claims in self.by_machine.items()
                if name in self.context.machines
            }
        for name, tasks in chosen.items():
            count = min(tasks, wanted)
            wanted -= count
            if count:
                self.by_machine.setdefault(name, {})[job_id] = Claim(until, count, spec)

    def left(self, job_id: str, machine: Machine, free: Resources) -> Resources:
        """Return the room on a machine that other jobs of ours have not asked for."""
        claims = self.by_machine.get(machine.name)
        if not claims:
            return free
        bound = {other for other, _ in self.context.replica.by_machine.get(machine.name, ())}
        for other, claim in list(claims.items()):
            if claim.until <= self.context.now or other in bound:
                del claims[other]
            elif other != job_id:
                free = subtract(free, claim.spec, claim.tasks)
        return free
