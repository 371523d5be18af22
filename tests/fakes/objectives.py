"""Checks of what users can expect after faults end: jobs start, finish and are answered."""

from oakmux.core.model import JobSpec
from tests.fakes import deployment
from tests.fakes.users import FakeUsers
from tests.fakes.worker import FakeWorker

PlacedTask = tuple[FakeWorker, str]


def is_eligible(worker: FakeWorker, job: JobSpec, zones: list[str]) -> bool:
    """Whether a job, with tasks in these zones, may use a machine."""
    return (
        worker.up
        and not worker.dead
        and not worker.hung
        and job.zone in (None, worker.zone)
        and (job.spot or not worker.spot)
        and (not job.one_zone or set(zones) <= {worker.zone})
    )


def count_fitting(job: JobSpec, specs: list[JobSpec]) -> int:
    """Return how many tasks of a job fit beside tasks of these jobs on one machine."""
    free = (
        deployment.TYPE.cpus - sum(s.cpus for s in specs),
        deployment.TYPE.gpus - sum(s.gpus for s in specs),
        deployment.TYPE.memory_gb - sum(s.memory_gb for s in specs),
    )
    needs = (job.cpus, job.gpus, job.memory_gb)
    return min(int(have / need) for have, need in zip(free, needs, strict=True) if need)


class Objectives(FakeUsers):
    """Evaluates a whole run by the answers that users got."""

    def startable_jobs(self, seconds: float = 90.0) -> set[str]:
        """Return the jobs that could have started during the whole period, without faults."""
        found = set(self.specs)
        end = self.now + seconds
        while self.now < end and found:
            found = {job_id for job_id in found if self.could_start(job_id)}
            self.run(2.5)
        return found

    def could_start(self, job_id: str) -> bool:
        """Whether an accepted job lacks tasks for which there is capacity within all rules.

        A gang needs capacity for all its tasks at once, any other job for its next task.
        """
        job = self.specs[job_id]
        if (
            self.reported_state.get(job_id) != "accepted"
            or job_id in self.failing_jobs
            or any(
                self.reported_state.get(name) != "done" for name in self.all_dependencies(job_id)
            )
        ):
            return False
        unfinished = self.unfinished_tasks()
        own = {task for _, task in unfinished if task.startswith(job_id + "/")}
        if own >= self.missing_tasks(job_id) or (job.kind == "gang" and own):
            return False
        count = job.tasks if job.kind == "gang" else 1
        if not self.is_within_quota(job, count, unfinished):
            return False
        return self.count_startable(job_id, unfinished) >= count

    def unfinished_tasks(self) -> list[PlacedTask]:
        """Return the tasks on machines that are up, from their start until they exit."""
        return [
            (worker, key[0])
            for worker in self.workers.values()
            if worker.up and not worker.dead
            for key, row in worker.tasks.items()
            if row[0] != "exited"
        ]

    def missing_tasks(self, job_id: str) -> set[str]:
        """Return the tasks of a job that are not completed."""
        return {f"{job_id}/{i}" for i in range(self.specs[job_id].tasks)} - self.completed

    def spec_of(self, task: str) -> JobSpec:
        return self.specs[task.partition("/")[0]]

    def is_within_quota(self, job: JobSpec, count: int, unfinished: list[PlacedTask]) -> bool:
        """Whether `count` more tasks of a job stay within its team's quota."""
        team = self.teams[job.team]
        specs = [self.spec_of(task) for _, task in unfinished]
        cpus = count * job.cpus + sum(s.cpus for s in specs if s.team == job.team)
        gpus = count * job.gpus + sum(s.gpus for s in specs if s.team == job.team)
        within_cpus = not team.cpus_max or cpus <= team.cpus_max
        within_gpus = not team.gpus_max or gpus <= team.gpus_max
        return within_cpus and within_gpus

    def count_startable(self, job_id: str, unfinished: list[PlacedTask]) -> int:
        """Return how many tasks of a job fit on the machines within its placement constraints."""
        job = self.specs[job_id]
        zones = [worker.zone for worker, task in unfinished if task.startswith(job_id + "/")]
        by_zone: dict[str, int] = {}
        for worker in self.workers.values():
            if is_eligible(worker, job, zones):
                specs = [self.spec_of(task) for other, task in unfinished if other is worker]
                by_zone[worker.zone] = by_zone.get(worker.zone, 0) + count_fitting(job, specs)
        if job.spread:
            limit = (job.tasks + 1) // 2
            by_zone = {zone: min(fit, limit - zones.count(zone)) for zone, fit in by_zone.items()}
        return max(by_zone.values(), default=0) if job.one_zone else sum(by_zone.values())

    def unanswered_jobs(self, seconds: float = 90.0) -> set[str]:
        """Query every accepted job repeatedly; return those without any answer for 75 s."""
        found: set[str] = set()
        query_start, end = self.now, self.now + seconds
        while self.now < end:
            for job_id in self.reported_state:
                self.query(job_id)
            self.run(5)
            found |= {
                job_id
                for job_id in self.reported_state
                if self.now - max(query_start, self.answered_at.get(job_id, 0.0)) >= 75
            }
        return found

    def begun_at(self, job_id: str) -> float | None:
        """Return when a job began: an array with its first task, any other job with its last."""
        first: dict[str, float] = {}
        for at, task, _, _ in self.start_log:
            if task.startswith(job_id + "/"):
                first.setdefault(task, at)
        job = self.specs[job_id]
        if len(first) < (1 if job.kind == "array" else job.tasks):
            return None
        return min(first.values()) if job.kind == "array" else max(first.values())

    def underserved(self, begin_s: float = 240.0) -> list[str]:
        """Return the groups of jobs that were served too little within `begin_s`.

        A job is served if it began in time. Classes, teams and the largest jobs of each class
        need half of their jobs served; all of the largest jobs must begin in time.
        """
        groups: dict[str, list[str]] = {}
        jobs = {
            j: s
            for j, s in self.specs.items()
            if j in self.reported_state
            and j not in self.failing_jobs
            and self.reported_state[j] != "cancelled"
            and self.submitted[j] <= self.now - begin_s
        }
        for job_id, job in jobs.items():
            groups.setdefault(f"class {job.job_class}", []).append(job_id)
            groups.setdefault(f"team {job.team}", []).append(job_id)
            if job.tasks == max(s.tasks for s in jobs.values() if s.job_class == job.job_class):
                groups.setdefault(f"largest {job.job_class}", []).append(job_id)
        violations = []
        for name, ids in sorted(groups.items()):
            started_in_time = [
                j
                for j in ids
                if (at := self.begun_at(j)) is not None and at - self.submitted[j] <= begin_s
            ]
            if 2 * len(started_in_time) < len(ids):
                violations.append(f"{name}: {len(started_in_time)} of {len(ids)}")
            elif name.startswith("largest") and len(started_in_time) < len(ids):
                violations.append(f"{name}: late {sorted(set(ids) - set(started_in_time))[0]}")
        return violations

    def unfinished_jobs(self, seconds: float) -> set[str]:
        """Cancel services, run, query all jobs; return those not reported done or cancelled."""
        for job_id, job in self.specs.items():
            if job.kind == "service":
                self.cancel(job_id)
        self.run(seconds)
        for job_id in self.specs:
            self.query(job_id)
        self.run(8)
        return {j for j in self.specs if self.reported_state.get(j) not in ("done", "cancelled")}
