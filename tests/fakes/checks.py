"""Checks of the protocol rules, run at every event of a simulation."""

from oakmux.core.controller import Controller
from oakmux.settings import Team
from tests.fakes import deployment
from tests.fakes.tasks import TaskRuntime
from tests.fakes.worker import FakeWorker


class ProtocolChecks(TaskRuntime):
    """Checks each answer to a user and each task start against the rules as it happens."""

    def __init__(self, seed: int, labels: list[str], teams: tuple[Team, ...]) -> None:
        super().__init__(seed, labels)
        self.teams = {team.name: team for team in teams}
        self.cores: dict[str, Controller | None] = {}
        self.refusals: dict[str, int] = {}
        # The state last reported to a user: "accepted", "done" or "cancelled".
        self.reported_state: dict[str, str] = {}
        self.answered_at: dict[str, float] = {}
        self.cancelled_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.starts = 0
        self.start_log: list[tuple[float, str, int, str]] = []
        # Attempts started so far, by machine and agent epoch, and those that started again.
        self.started_attempts: set[tuple[str, int, str, int]] = set()
        self.repeated_starts: list[tuple[float, str, int, str]] = []
        # When a start command was last issued, by task and attempt.
        self.start_commanded_at: dict[tuple[str, int], float] = {}
        # Starts after the cancellation of their job was confirmed: task, and the seconds from the
        # confirmation to the command and to the start.
        self.late_starts: list[tuple[str, float, float]] = []

    def all_dependencies(self, job_id: str) -> set[str]:
        """Return the direct and indirect dependencies of a job."""
        found: set[str] = set()
        stack = [job_id]
        while stack:
            for name in self.specs[stack.pop()].waits_on:
                if name in self.specs and name not in found:
                    found.add(name)
                    stack.append(name)
        return found

    def check_answer(
        self, job_id: str, status: int, answer: tuple, previous: str | None, sent: float
    ) -> None:
        """Check an answer against the state reported to users when the request was sent."""
        if status in (400, 404, 422):
            assert previous is None, f"forgotten: {job_id}"
            self.refusals[job_id] = status
        if status not in (200, 201):
            return
        self.answered_at[job_id] = self.now
        assert job_id in self.specs, f"invented: {job_id}"
        state = answer[2]
        if previous in ("done", "cancelled"):
            assert state == previous, f"went_back: {job_id} from {previous} to {state}"
        if state == "done":
            for index in range(self.specs[job_id].tasks):
                assert f"{job_id}/{index}" in self.completed, f"not_done: {job_id}/{index}"
        if state in ("queued", "running"):
            # Stricter than the rule, which allows `cancel_s`: an answer may never be older.
            for name in self.all_dependencies(job_id):
                assert sent <= self.cancelled_at.get(name, sent), f"orphaned: {job_id} by {name}"
        if state == "cancelled":
            assert self.cancel_requested & {job_id, *self.all_dependencies(job_id)}, (
                f"went_back: {job_id} was never cancelled"
            )
            self.cancelled_at.setdefault(job_id, self.now)
        if self.reported_state.get(job_id) not in ("done", "cancelled"):
            new_state = state if state in ("done", "cancelled") else "accepted"
            if new_state != self.reported_state.get(job_id):
                self.reported_state[job_id] = new_state
                self.on_new_state(job_id)

    def on_new_state(self, job_id: str) -> None:
        """Called when an answer reports a new state of a job."""

    def check_cancelled(self) -> None:
        """Check that tasks leave their machines within `cancel_s` of the confirmed cancellation.

        This is rule `ran_cancelled`. The check runs twice a second and when a hung machine
        resumes. A machine that hangs beyond its lease can't resume its tasks.
        """
        if not self.cancelled_at:
            return
        for worker in self.workers.values():
            if worker.dead or (worker.hung and worker.lease_expired):
                continue
            worker.advance()
            for (task, _), row in worker.tasks.items():
                confirmed_at = self.cancelled_at.get(task.partition("/")[0])
                assert (
                    row[0] not in deployment.PLACED
                    or confirmed_at is None
                    or self.now - confirmed_at <= deployment.CANCEL_S
                ), f"ran_cancelled: {task}"

    def check_start_commands(self, label: str, orders: list[dict]) -> None:
        """Check that no controller issues a start of a job that it has recorded as cancelled."""
        core = self.cores[label]
        for order in orders:
            if order["verb"] == "launch":
                job_id = order["piece"].partition("/")[0]
                self.start_commanded_at[(order["piece"], order["try"])] = self.now
                assert core is None or not core.agents.cancellations.is_cancelled(job_id), (
                    f"start given though cancelled: {order['piece']}"
                )

    def placed_tasks(self) -> list[tuple[FakeWorker, str, int]]:
        """Return the tasks that count as placed on a machine.

        These include tasks that wait for their gang or save a checkpoint, and tasks of machines
        that hang or are unreachable.
        """
        found = []
        for worker in self.workers.values():
            if not worker.dead:
                worker.advance()
                found += [
                    (worker, task, attempt)
                    for (task, attempt), row in worker.tasks.items()
                    if row[0] in deployment.PLACED
                ]
        return found

    def running_tasks(self) -> list[tuple[FakeWorker, str, int]]:
        found = []
        for worker in self.workers.values():
            if not worker.dead:
                worker.advance()
                found += [
                    (worker, task, attempt)
                    for (task, attempt), row in worker.tasks.items()
                    if row[0] == "running"
                ]
        return found

    def on_start(self, worker: FakeWorker, key: tuple[str, int]) -> None:
        """Check the rules at the moment a start command is executed."""
        task, attempt = key
        job_id = task.partition("/")[0]
        started = (worker.name, worker.agent_epoch, task, attempt)
        if started in self.started_attempts:
            self.repeated_starts.append((self.now, task, attempt, worker.name))
        self.started_attempts.add(started)
        for name in self.specs[job_id].waits_on:
            missing = {f"{name}/{i}" for i in range(self.specs[name].tasks)} - self.completed
            assert not missing, f"too_early: {task} before {sorted(missing)[0]}"
        self.check_place(worker, task)
        confirmed_at = self.cancelled_at.get(job_id)
        assert confirmed_at is None or self.now - confirmed_at <= deployment.CANCEL_S, (
            f"ran_cancelled: {task}"
        )
        if confirmed_at is not None and confirmed_at < self.now:
            self.late_starts.append(
                (
                    task,
                    self.start_commanded_at.get(key, confirmed_at) - confirmed_at,
                    self.now - confirmed_at,
                )
            )
        self.starts += 1
        self.start_log.append((self.now, task, attempt, worker.name))

    def check_place(self, worker: FakeWorker, task: str) -> None:
        """Check the placement rules, at the start of a task and when its image is fetched."""
        job_id = task.partition("/")[0]
        job = self.specs[job_id]
        others = [row for row in self.placed_tasks() if row[:2] != (worker, task)]
        assert task not in [t for _, t, _ in others], f"ran_twice: {task}"
        team_specs = [self.specs[t.partition("/")[0]] for _, t, _ in others]
        team_specs = [spec for spec in team_specs if spec.team == job.team]
        limit = self.teams[job.team]
        for used, maximum in (
            (job.cpus + sum(s.cpus for s in team_specs), limit.cpus_max),
            (job.gpus + sum(s.gpus for s in team_specs), limit.gpus_max),
        ):
            assert not maximum or used <= maximum + 1e-6, f"quota: {job.team} {used}"
        zones = [w.zone for w, t, _ in others if t.partition("/")[0] == job_id]
        assert job.zone in (None, worker.zone), f"wrong_place: {task}"
        assert job.spot or not worker.spot, f"wrong_place: {task}"
        assert not job.one_zone or set(zones) <= {worker.zone}, f"wrong_place: {task}"
        assert not job.spread or zones.count(worker.zone) < (job.tasks + 1) // 2, (
            f"wrong_place: {task}"
        )
