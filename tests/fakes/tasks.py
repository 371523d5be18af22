"""How tasks run on the machines: a gang starts and completes together."""

from oakmux.core.model import JobSpec
from tests.fakes.cloud import FakeCloud


class TaskRuntime(FakeCloud):
    """The course of tasks across machines."""

    def __init__(self, seed: int, labels: list[str]) -> None:
        super().__init__(seed, labels)
        self.specs: dict[str, JobSpec] = {}
        self.broken: set[str] = set()  # jobs that fail on every machine
        self.completed: set[str] = set()
        self.fetches = False  # whether images take their time, 1 GB a second

    def run_s(self, task: str) -> float:
        job = self.specs[task.partition("/")[0]]
        return 1e9 if job.kind == "service" else job.estimate_s

    def start_waiting_tasks(self, key: tuple[str, int], row: list, job: JobSpec) -> None:
        """Start a task that has its image; those of a gang together, or none after a while."""
        rows = [
            r
            for w in self.workers.values()
            if not w.dead and not w.hung
            for (task, attempt), r in w.tasks.items()
            if task.partition("/")[0] == key[0].partition("/")[0]
            and attempt == key[1]
            and r[0] in ("waiting", "running")
        ]
        if job.kind != "gang" or len(rows) == job.tasks:
            for one in rows if job.kind == "gang" else [row]:
                one[0], one[2] = "running", self.now + self.run_s(key[0])
        elif row[2] <= self.now:
            row[:2] = ["exited", "alone"]

    def finish(self, key: tuple[str, int], row: list, sick: bool) -> None:
        """End a task; a gang's tasks complete together or not at all."""
        job_id = key[0].partition("/")[0]
        job = self.specs[job_id]
        rows = [row]
        if job.kind == "gang":
            rows = [
                r
                for w in self.workers.values()
                if not w.dead and not w.hung
                for (task, attempt), r in w.tasks.items()
                if task.startswith(job_id + "/") and attempt == key[1] and r[0] == "running"
            ]
        whole = len(rows) == (job.tasks if job.kind == "gang" else 1)
        why = "error" if sick or job_id in self.broken else "done" if whole else "peers"
        for one in rows if why == "done" else [row]:
            one[:2] = ["exited", why]
        if why == "done":
            self.completed.update(
                f"{job_id}/{i}"
                for i in range(job.tasks)
                if job.kind == "gang" or f"{job_id}/{i}" == key[0]
            )
