"""What users may expect once faults are over: jobs start, finish and are answered."""

from tests.fakes import deployment
from tests.fakes.users import FakeUsers


class Objectives(FakeUsers):
    """Judges a whole run by what users saw."""

    def startable_jobs(self, seconds: float = 90.0) -> set[str]:
        """Return the jobs that wait all the while though a machine has room for them and their
        team is under its limit; asked once all troubles are over."""
        found = set(self.specs)
        end = self.now + seconds
        while self.now < end and found:
            found = {job_id for job_id in found if self.could_start(job_id)}
            self.run(2.5)
        return found

    def could_start(self, job_id: str) -> bool:
        """Whether an accepted job lacks tasks for which there is room within all rules. A gang
        and a service's or array's next task are judged alike: by all that must start at once."""
        job = self.specs[job_id]
        if (
            self.told.get(job_id) != "accepted"
            or job_id in self.broken
            or any(self.told.get(name) != "done" for name in self.needs(job_id))
        ):
            return False
        there = [
            (w, key[0], row)
            for w in self.workers.values()
            if w.up and not w.dead
            for key, row in w.tasks.items()
            if row[0] != "exited"
        ]
        mine = {task for _, task, _ in there if task.startswith(job_id + "/")}
        left = [
            i
            for i in range(job.tasks)
            if (task := f"{job_id}/{i}") not in mine and task not in self.completed
        ]
        if not left or (job.kind == "gang" and mine):
            return False
        count = job.tasks if job.kind == "gang" else 1
        specs = [self.specs[task.partition("/")[0]] for _, task, _ in there]
        team, cpus, gpus = self.teams[job.team], count * job.cpus, count * job.gpus
        cpus += sum(s.cpus for s in specs if s.team == job.team)
        gpus += sum(s.gpus for s in specs if s.team == job.team)
        if (team.cpus_max and cpus > team.cpus_max) or (team.gpus_max and gpus > team.gpus_max):
            return False
        zones = [w.zone for w, task, _ in there if task.startswith(job_id + "/")]
        free_resources: dict[str, int] = {}
        for worker in self.workers.values():
            on = [self.specs[t.partition("/")[0]] for w, t, _ in there if w is worker]
            if (
                worker.up
                and not worker.dead
                and not worker.hung
                and job.zone in (None, worker.zone)
                and (job.spot or not worker.spot)
                and (not job.one_zone or set(zones) <= {worker.zone})
            ):
                free = (
                    deployment.TYPE.cpus - sum(s.cpus for s in on),
                    deployment.TYPE.gpus - sum(s.gpus for s in on),
                    deployment.TYPE.memory_gb - sum(s.memory_gb for s in on),
                )
                fit = min(
                    int(have / need)
                    for have, need in zip(free, (job.cpus, job.gpus, job.memory_gb), strict=True)
                    if need
                )
                free_resources[worker.zone] = free_resources.get(worker.zone, 0) + fit
        if job.spread:
            most = (job.tasks + 1) // 2
            free_resources = {
                zone: min(fit, most - zones.count(zone)) for zone, fit in free_resources.items()
            }
        return (
            max(free_resources.values(), default=0)
            if job.one_zone
            else sum(free_resources.values())
        ) >= count

    def unresponsive(self, seconds: float = 90.0) -> set[str]:
        """Ask for every job ever accepted, and return those about which no question was answered
        for 75 s."""
        found: set[str] = set()
        begun, end = self.now, self.now + seconds
        while self.now < end:
            for job_id in self.told:
                self.query(job_id)
            self.run(5)
            found |= {
                job_id
                for job_id in self.told
                if self.now - max(begun, self.answered.get(job_id, 0.0)) >= 75
            }
        return found

    def begun_at(self, job_id: str) -> float | None:
        """Return when a job began: an array with one task, else with all, one after the other."""
        first: dict[str, float] = {}
        for at, task, _, _ in self.start_log:
            if task.startswith(job_id + "/"):
                first.setdefault(task, at)
        job = self.specs[job_id]
        if len(first) < (1 if job.kind == "array" else job.tasks):
            return None
        return min(first.values()) if job.kind == "array" else max(first.values())

    def underserved(self, begin_s: float = 240.0) -> list[str]:
        """Return which classes, teams and classes' largest jobs had less than half served, and
        which of the largest did not begin in time. Served is what began in time."""
        groups: dict[str, list[str]] = {}
        jobs = {
            j: s
            for j, s in self.specs.items()
            if j in self.told
            and j not in self.broken
            and self.told[j] != "cancelled"
            and self.submitted[j] <= self.now - begin_s
        }
        for job_id, job in jobs.items():
            groups.setdefault(f"class {job.job_class}", []).append(job_id)
            groups.setdefault(f"team {job.team}", []).append(job_id)
            if job.tasks == max(s.tasks for s in jobs.values() if s.job_class == job.job_class):
                groups.setdefault(f"largest {job.job_class}", []).append(job_id)
        bad = []
        for name, ids in sorted(groups.items()):
            begun = [
                j
                for j in ids
                if (at := self.begun_at(j)) is not None and at - self.submitted[j] <= begin_s
            ]
            if 2 * len(begun) < len(ids):
                bad.append(f"{name}: {len(begun)} of {len(ids)}")
            elif name.startswith("largest") and len(begun) < len(ids):
                bad.append(f"{name}: late {sorted(set(ids) - set(begun))[0]}")
        return bad

    def unfinished(self, seconds: float) -> set[str]:
        """Cancel services, go on, ask for every job; return those not told done or cancelled."""
        for job_id, job in self.specs.items():
            if job.kind == "service":
                self.cancel(job_id)
        self.run(seconds)
        for job_id in self.specs:
            self.query(job_id)
        self.run(8)
        return {j for j in self.specs if self.told.get(j) not in ("done", "cancelled")}
