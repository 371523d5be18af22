"""Capacity that pending jobs have requested and that has not been granted yet."""

from collections.abc import Mapping
from typing import NamedTuple

from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_RESOURCES, Resources, subtract
from oakmux.core.state.records import Job


class Claim(NamedTuple):
    """Capacity for a number of tasks of a job, claimed until a local time (s)."""

    until: float
    tasks: int
    spec: JobSpec


class CapacityClaims:
    """Hides capacity that one job of the shard has requested from the shard's other jobs.

    Without claims all jobs sampled in one tick request the same few machines, most of them in
    vain. Two gangs that see the same capacity as free each get a part of it and both start over;
    in a full fleet this goes on for minutes.

    With `until_bound` a claim also ends once the records show a task of the job bound on the
    machine.
    """

    def __init__(self, context: Context, *, until_bound: bool) -> None:
        self.context = context
        self.until_bound = until_bound
        self.by_machine: dict[str, dict[str, Claim]] = {}

    def add(
        self,
        job_id: str,
        spec: JobSpec,
        tasks_by_machine: Mapping[str, int],
        until: float,
        wanted: int | None = None,
    ) -> None:
        """Claim capacity on machines for tasks of a job.

        A job may request capacity for more tasks than `wanted`, to have a choice; only the first
        `wanted` are claimed. If `wanted` is None, all are claimed.
        """
        self._prune()
        for name, tasks in tasks_by_machine.items():
            count = tasks
            if wanted is not None:
                count = min(tasks, wanted)
                wanted -= count
            if count:
                self.by_machine.setdefault(name, {})[job_id] = Claim(until, count, spec)

    def _prune(self) -> None:
        """Drop claims on removed machines once twice as many machines have claims as exist."""
        machines = self.context.machines
        if len(self.by_machine) > 2 * len(machines):
            self.by_machine = {
                name: claims for name, claims in self.by_machine.items() if name in machines
            }

    def release(self, job_id: str, machine_name: str) -> None:
        """End a job's claim on a machine, if it has one."""
        claims = self.by_machine.get(machine_name, {})
        claims.pop(job_id, None)
        if not claims:
            self.by_machine.pop(machine_name, None)

    def remaining(self, job_id: str, machine: Machine, free: Resources) -> Resources:
        """Return the part of a machine's free resources that other jobs' claims leave."""
        claims = self.by_machine.get(machine.name)
        if not claims:
            return free
        bound: set[str] = set()
        if self.until_bound:
            bindings = self.context.replica.bindings.by_machine.get(machine.name, ())
            bound = {other for other, _ in bindings}
        for other, claim in list(claims.items()):
            if claim.until <= self.context.now or other in bound:
                del claims[other]
            elif other != job_id:
                free = subtract(free, claim.spec, claim.tasks)
        return free

    def available(self, job: Job, spec: JobSpec, machine: Machine, free: Resources) -> Resources:
        """Return a machine's resources that backfill reservations and other claims leave a job."""
        backfill = self.context.backfill
        if backfill.by_machine and backfill.blocks_job(machine.name, job, spec):
            return NO_RESOURCES
        return self.remaining(job.id, machine, free)
