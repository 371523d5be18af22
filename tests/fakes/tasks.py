"""Execution of tasks on the machines; a gang starts and completes together."""

from oakmux.core.model import JobSpec
from tests.fakes.cloud import FakeCloud

FAILING_RUN_S = 0.5


class TaskRuntime(FakeCloud):
    """The state changes of tasks across machines."""

    def __init__(self, seed: int, labels: list[str]) -> None:
        super().__init__(seed, labels)
        self.specs: dict[str, JobSpec] = {}
        self.failing_jobs: set[str] = set()  # jobs that fail on every machine
        # By task: how many of its next starts fail, each after FAILING_RUN_S.
        self.failing_starts: dict[str, int] = {}
        self.failing_attempts: set[tuple[str, int]] = set()
        self.completed: set[str] = set()
        self.simulate_fetches = False  # whether image fetches take time: 1 s per GB

    def run_s(self, task: str) -> float:
        job = self.specs[task.partition("/")[0]]
        return 1e9 if job.kind == "service" else job.estimate_s

    def start_run_s(self, key: tuple[str, int]) -> float:
        """Return how long an attempt at a task runs until it completes or fails."""
        task = key[0]
        if key not in self.failing_attempts and self.failing_starts.get(task, 0):
            self.failing_starts[task] -= 1
            self.failing_attempts.add(key)
        return FAILING_RUN_S if key in self.failing_attempts else self.run_s(task)

    def start_waiting_tasks(self, key: tuple[str, int], row: list, job: JobSpec) -> None:
        """Start a task that has its image.

        The tasks of a gang start together; a task whose gang stays incomplete exits as `alone`.
        """
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
            for entry in rows if job.kind == "gang" else [row]:
                entry[0], entry[2] = "running", self.now + self.start_run_s(key)
        elif row[2] <= self.now:
            row[:2] = ["exited", "alone"]

    def finish(self, key: tuple[str, int], row: list, fails_tasks: bool) -> None:
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
        complete = len(rows) == (job.tasks if job.kind == "gang" else 1)
        reason = (
            "error"
            if fails_tasks or job_id in self.failing_jobs or key in self.failing_attempts
            else "done"
            if complete
            else "peers"
        )
        for entry in rows if reason == "done" else [row]:
            entry[:2] = ["exited", reason]
        if reason == "done":
            self.completed.update(
                f"{job_id}/{i}"
                for i in range(job.tasks)
                if job.kind == "gang" or f"{job_id}/{i}" == key[0]
            )
