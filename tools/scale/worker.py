"""One hollow worker without I/O: lease, agent epoch, fencing token, orders and tasks."""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from tools.scale.config import RunConfig
from tools.scale.jobs import Job, Kind, parse_job, task_cpus

# States in which a task uses CPUs of its machine.
ACTIVE_STATES = ("pulling", "waiting", "running")
# States in which a task counts as on its machine: from the end of the image fetch to its exit.
PLACED_STATES = ("waiting", "running")


class TaskKey(NamedTuple):
    """The id of a task and the number of its attempt."""

    task: str
    attempt: int

    @property
    def job_id(self) -> str:
        """The id of the task's job."""
        return self.task.partition("/")[0]


class Task:
    """A task on a worker: its state, the cause of its exit, and when the state ends (s)."""

    __slots__ = ("job", "state", "cause", "until")

    def __init__(self, job: Job, state: str, until: float) -> None:
        self.job = job
        self.state = state
        self.cause: str | None = None
        self.until = until


# Called with the event, the task, the worker and a cause. Events: "on" (image fetched), "run"
# (gang started), "off" (task left the machine).
Observer = Callable[[str, TaskKey, "HollowWorker", str], None]


class HollowWorker:
    """A machine's worker; the caller must call `advance` before any other method."""

    def __init__(
        self, config: RunConfig, name: str, address: str, zone: str, now: float, observe: Observer
    ) -> None:
        self.config = config
        self.name = name
        self.address = address
        self.zone = zone
        self.observe = observe
        self.agent_epoch = 1
        self.sequence = 0
        self.fencing_token = 0
        self.lease_renewed_at = now
        self.tasks: dict[TaskKey, Task] = {}
        self.images: set[str] = set()
        self.dirty = False

    # --- time ---

    def advance(self, now: float) -> None:
        """Update the lease and all tasks to the current time."""
        if now - self.lease_renewed_at > self.config.times.lease_s:
            self.end_session(now)
        for key, task in list(self.tasks.items()):
            if task.state == "pulling" and task.until <= now:
                self._image_fetched(key, task, now)
            if task.state == "waiting" and task.until <= now:
                self.exit(key, "incomplete")
            elif task.state == "running" and task.until <= now and task.job.kind != Kind.GANG:
                self.exit(key, "done")

    def end_session(self, now: float) -> None:
        """End the session of an expired lease: kill all tasks, begin a new agent epoch."""
        self.clear("lease")
        self.agent_epoch += 1
        self.lease_renewed_at = now
        self.dirty = True

    def clear(self, cause: str) -> None:
        """Drop all tasks; those on the machine are observed as "off" with the cause."""
        for key, task in list(self.tasks.items()):
            if task.state in PLACED_STATES:
                self.observe("off", key, self, cause)
        self.tasks.clear()

    def _image_fetched(self, key: TaskKey, task: Task, now: float) -> None:
        self.images.add(f"image-{task.job.team % 8}")
        self.dirty = True
        if task.job.coscheduled:
            task.state, task.until = "waiting", now + self.config.times.gang_wait_s
        else:
            run_s = math.inf if task.job.kind == Kind.SERVICE else task.job.run_s
            task.state, task.until = "running", now + run_s
        self.observe("on", key, self, "")

    def start_gang_task(self, key: TaskKey) -> None:
        """Run a gang's task, since all tasks of the gang are ready."""
        task = self.tasks.get(key)
        if task is not None and task.state == "waiting":
            task.state = "running"
            self.dirty = True
            self.observe("run", key, self, "")

    def exit(self, key: TaskKey, cause: str) -> None:
        """End a task with a cause, if it has not ended."""
        task = self.tasks.get(key)
        if task is None or task.state not in ACTIVE_STATES:
            return
        placed = task.state in PLACED_STATES
        task.state, task.cause = "ended", cause
        self.dirty = True
        if placed:
            self.observe("off", key, self, cause)

    # --- messages ---

    def report(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        self.dirty = False
        pieces = []
        for key, task in self.tasks.items():
            piece: dict[str, Any] = {"piece": key.task, "try": key.attempt, "status": task.state}
            if task.cause is not None:
                piece["cause"] = task.cause
            pieces.append(piece)
        return {
            "box": self.name,
            "addr": self.address,
            "flavour": "hollow",
            "site": self.zone,
            "loaner": False,
            "tenure": self.agent_epoch,
            "tick": self.sequence,
            "baton": self.fencing_token,
            "warning_s": None,
            "pieces": pieces,
        }

    def apply_answer(
        self, sent_at: float, agent_epoch: int, body: dict[str, Any], now: float
    ) -> None:
        """Apply a 200 answer to the heartbeat sent at `sent_at`.

        An answer with a lower token or of another agent epoch is dropped.
        """
        fencing_token = body.get("baton")
        if (
            agent_epoch != self.agent_epoch
            or not isinstance(fencing_token, int)
            or fencing_token < self.fencing_token
        ):
            return
        self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
        self.apply_orders(fencing_token, body.get("orders") or [], now)

    def apply_direct_orders(self, body: dict[str, Any], now: float) -> int:
        """Apply direct orders; return the HTTP status: 200, 400 (malformed) or 409 (stale)."""
        if not isinstance(body.get("baton"), int) or not isinstance(body.get("tenure"), int):
            return 400
        if body["baton"] < self.fencing_token or body["tenure"] != self.agent_epoch:
            return 409
        self.apply_orders(body["baton"], body.get("orders") or [], now)
        return 200

    def apply_orders(self, fencing_token: int, orders: list[dict[str, Any]], now: float) -> None:
        """Adopt a higher fencing token and execute the orders in sequence."""
        if fencing_token > self.fencing_token:
            self.fencing_token = fencing_token
            self.dirty = True
        for order in orders:
            key = TaskKey(order["piece"], order["try"])
            if order["verb"] == "launch":
                self._launch(key, now)
            elif order["verb"] == "halt":
                self.exit(key, "halted")
            elif order["verb"] == "forget":
                task = self.tasks.get(key)
                if task is not None and task.state == "ended":
                    del self.tasks[key]

    def _launch(self, key: TaskKey, now: float) -> None:
        if key in self.tasks:
            return
        job = parse_job(key.job_id)
        self.dirty = True
        fetch_s = (
            0.0 if f"image-{job.team % 8}" in self.images else self.config.traffic.slow_fetch_s
        )
        task = self.tasks[key] = Task(job, "pulling", now + fetch_s)
        refusal = self._refusal(key, job)
        if refusal is not None:
            task.state, task.cause = "ended", refusal

    def _refusal(self, key: TaskKey, job: Job) -> str | None:
        """Return the reason to refuse a launch; None to accept it."""
        used_cpus = 0.0
        for other, task in self.tasks.items():
            if other != key and task.state in ACTIVE_STATES:
                if other.task == key.task:
                    return "in_use"
                used_cpus += task_cpus(self.config, task.job)
        if used_cpus + task_cpus(self.config, job) > self.config.machines.cpus + 1e-6:
            return "no_room"
        return None
