"""Copies of start commands that were carried out and answered, arriving at the worker again."""

import os
from collections.abc import Callable

import pytest

from oakmux.core.peer_messages import MoveTask
from tests.fakes import LEASE_S, FakeWorker, Simulation, spec
from tests.helpers.clusters import machines_reporting_to
from tests.helpers.copies import Disruption, run_with_copied_commands
from tests.helpers.faults import partition_machines, reconnect

# Seeds of the random runs; a longer soak is started by hand with COPY_SEEDS=200.
SEEDS = range(1, 1 + int(os.environ.get("COPY_SEEDS", "4")))
JOB = "job-1"
Attempt = tuple[str, int]


@pytest.mark.parametrize("disruption", list(Disruption))
@pytest.mark.parametrize("seed", SEEDS)
def test_copied_start_commands_start_nothing_twice_under_random_faults(seed, disruption):
    sim = run_with_copied_commands(seed, disruption)
    assert sim.copies > 10
    assert sim.starts > 20
    assert sim.repeated_starts == []


def two_machines(single_terms: tuple[str, ...] = (), capacity: int = 12) -> Simulation:
    """Return a deployment of two machines, kept by a service, with room for other jobs."""
    sim = Simulation(1, single_terms=single_terms)
    sim.capacity = capacity
    sim.run(12)
    sim.submit("job-0", spec("service", min(2, capacity), "blue", spread=capacity > 1))
    sim.run(15)
    return sim


def start(sim: Simulation, kind: str = "array", tasks: int = 1) -> tuple[FakeWorker, Attempt]:
    """Start a job; return a machine and an attempt of the job that runs there."""
    sim.submit(JOB, spec(kind, tasks, estimate_s=2000.0))
    sim.run(3)
    return next(
        (worker, (task, attempt))
        for worker, task, attempt in sim.running_tasks()
        if task.startswith(JOB + "/")
    )


def manager_of(sim: Simulation, worker: FakeWorker) -> str:
    return next(label for label in sim.labels if worker.name in machines_reporting_to(sim, label))


# --- how the attempt ended before the copy arrived -----------------------------------------------


def fail(sim: Simulation, worker: FakeWorker, attempt: Attempt) -> None:
    """The task fails once, and starts elsewhere or again."""
    worker.tasks[attempt][:2] = ["exited", "error"]


def complete(sim: Simulation, worker: FakeWorker, attempt: Attempt) -> None:
    worker.tasks[attempt][:2] = ["exited", "done"]
    sim.completed.add(attempt[0])


def cancel(sim: Simulation, worker: FakeWorker, attempt: Attempt) -> None:
    sim.cancel(JOB)


def move(sim: Simulation, worker: FakeWorker, attempt: Attempt) -> None:
    """The task is stopped and starts elsewhere, or on the same machine as a new attempt."""
    for _ in range(30):
        if worker.tasks.get(attempt, ["exited"])[0] == "exited":
            break
        for core in sim.cores.values():
            if core is not None:
                core.agents.commands.move(MoveTask(worker.name, *attempt))
        sim.run(1)


def lose_lease(sim: Simulation, worker: FakeWorker, attempt: Attempt) -> None:
    partition_machines(sim, [worker.name], 2.5 * LEASE_S)


# --- what happened between the start and the copy ------------------------------------------------


def nothing(sim: Simulation, worker: FakeWorker) -> None:
    """Nothing."""


def restart(sim: Simulation, worker: FakeWorker) -> None:
    sim.crash(manager_of(sim, worker), 0.3)


def hand_over_and_back(sim: Simulation, worker: FakeWorker) -> None:
    manager = manager_of(sim, worker)
    other = next(label for label in sim.labels if label != manager)
    reconnect(sim, worker.name, other)
    sim.run(3)
    reconnect(sim, worker.name, manager)
    sim.run(1)


def hang(sim: Simulation, worker: FakeWorker) -> None:
    worker.hang(0.5 * LEASE_S)


def store_outage(sim: Simulation, worker: FakeWorker) -> None:
    sim.store.outage(5.0)


def store_outage_and_restart(sim: Simulation, worker: FakeWorker) -> None:
    store_outage(sim, worker)
    restart(sim, worker)


EVENTS = [nothing, restart, hand_over_and_back, hang, store_outage, store_outage_and_restart]


def check_copies_start_nothing(sim: Simulation, worker: FakeWorker, attempt: Attempt) -> None:
    """Deliver copies at once, seconds and minutes after the attempt was forgotten."""
    for _ in range(60):
        if attempt not in worker.tasks:
            break
        sim.repeat_answered_commands()
        sim.run(1)
    assert attempt not in worker.tasks
    assert not worker.dead
    for seconds in (0.0, 5.2, 30.0, 300.0):
        sim.run(seconds)
        sim.repeat_answered_commands()
        assert sim.repeated_starts == []


ENDS = {
    ("array", 1): [fail, complete, cancel, move, lose_lease],
    ("array", 3): [fail, complete, cancel, move, lose_lease],
    ("gang", 2): [fail, cancel, move, lose_lease],
    ("service", 1): [fail, cancel, move, lose_lease],
}


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize(
    ("kind", "tasks", "end"), [(*job, end) for job, ends in ENDS.items() for end in ends]
)
def test_a_copied_start_command_does_not_revive_a_forgotten_attempt(
    kind: str, tasks: int, end: Callable, event: Callable
):
    sim = two_machines()
    worker, attempt = start(sim, kind, tasks)
    event(sim, worker)
    sim.run(1)
    end(sim, worker, attempt)
    check_copies_start_nothing(sim, worker, attempt)


@pytest.mark.parametrize("event", EVENTS)
def test_a_copied_start_command_does_not_start_beside_a_new_attempt_on_its_machine(event):
    sim = two_machines(capacity=1)
    worker, attempt = start(sim, "service")
    event(sim, worker)
    sim.run(1)
    move(sim, worker, attempt)
    sim.run(20)
    current = {task: number for _, task, number in sim.running_tasks()}
    assert current[attempt[0]] > attempt[1]
    check_copies_start_nothing(sim, worker, attempt)


@pytest.mark.parametrize("starter_is_new", [True, False])
@pytest.mark.parametrize("end", [fail, cancel, move])
def test_a_copied_start_command_of_the_other_version_starts_nothing(end, starter_is_new):
    sim = two_machines(single_terms=() if starter_is_new else ("h0", "h1", "h2"))
    worker, attempt = start(sim)
    sim.single_terms = {"h0", "h1", "h2"} if starter_is_new else set()
    for label in sim.labels:
        sim.crash(label, 0.5)
        sim.run(8)
    end(sim, worker, attempt)
    check_copies_start_nothing_of_before(sim, worker, attempt)


def check_copies_start_nothing_of_before(
    sim: Simulation, worker: FakeWorker, attempt: Attempt
) -> None:
    """Deliver copies of the commands given before the versions changed."""
    before, sim.answered_commands = sim.answered_commands, []
    sim.run(30)
    assert attempt not in worker.tasks
    sim.answered_commands = before
    sim.repeat_answered_commands()
    assert sim.repeated_starts == []


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("disruption", list(Disruption))
def test_rules_hold_beside_controllers_of_the_version_before(seed, disruption):
    old = [("h0",), ("h0", "h1")][seed % 2]
    sim = run_with_copied_commands(seed, disruption, 0.0, single_terms=old)
    assert sim.starts > 20
    assert sim.repeated_starts == []
