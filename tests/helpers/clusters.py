"""Simulations in a known state, and queries about their state."""

from oakmux.core import messages
from oakmux.settings import Team
from tests.fakes import Simulation, spec

# The CPU limit is reached first for one team, the GPU limit first for the other.
MIXED_QUOTAS = (
    Team("red", cpus_max=6, gpus=4, gpus_max=8),
    Team("blue", cpus_max=20, gpus=2, gpus_max=6),
)


def idle_cluster(seconds: float = 12.0, seed: int = 1) -> Simulation:
    """Return a deployment that has settled."""
    sim = Simulation(seed)
    sim.run(seconds)
    return sim


def wait_for_state(sim: Simulation, job_id: str, seconds: float) -> str:
    """Query a job and return the state reported to its user after `seconds`."""
    sim.query(job_id)
    sim.run(seconds)
    return sim.reported_state[job_id]


def running_machines(sim: Simulation) -> list[str]:
    """Return the machines that are up."""
    return sorted(w.name for w in sim.workers.values() if w.up and not w.dead)


def busy_cluster(
    count: int = 3, seed: int = 1, run_s: float = 60.0, zone: str | None = None
) -> Simulation:
    """Return a deployment of two or more machines that all run array tasks."""
    sim = Simulation(seed, count)
    sim.run(12)
    for number, team in enumerate(("red", "blue")):
        sim.submit(f"job-{number}", spec("array", 8, team, estimate_s=run_s, zone=zone))
    sim.run(12)
    assert len(running_machines(sim)) >= 2
    assert len(sim.running_tasks()) >= 12
    return sim


def busiest_controller(sim: Simulation) -> str:
    """Return the controller that most machines report to."""
    return max(
        (label for label, core in sim.cores.items() if core is not None),
        key=lambda label: len(machines_reporting_to(sim, label)),
    )


def machines_reporting_to(sim: Simulation, label: str) -> list[str]:
    """Return the machines that report to a controller."""
    return [
        name
        for name in running_machines(sim)
        if sim.labels[sim.workers[name].controller_index] == label
    ]


def machines_running(sim: Simulation, job_id: str) -> list[str]:
    """Return the machines that run tasks of a job."""
    return [
        worker.name for worker, task, _ in sim.running_tasks() if task.startswith(job_id + "/")
    ]


def cancel_through(sim: Simulation, label: str, job_id: str) -> None:
    """Cancel a job through one controller and check that it confirms."""
    sim.cancel_requested.add(job_id)
    answers = sim.send_request(label, messages.CancelJob, job_id)
    sim.run(0.06)
    assert [status for status, _ in answers] == [200]


def move_workers_to(sim: Simulation, label: str) -> None:
    """Make all machines send their heartbeats to one controller."""
    for worker in sim.workers.values():
        worker.controller_index = sim.labels.index(label)
    sim.run(3)
    assert machines_reporting_to(sim, label) == running_machines(sim)


def check_recovered(sim: Simulation, seconds: float = 150.0) -> None:
    """End all faults and check that every job is answered and finishes."""
    sim.cuts.clear()
    sim.one_way.clear()
    sim.stalled_watches.clear()
    sim.store.refused = set()
    sim.late_write_share = sim.store_delay_s = sim.late_copy_share = 0.0
    assert sim.unanswered_jobs() == set()
    assert sim.unfinished_jobs(seconds) == set()


def role_holder(sim: Simulation, role: str) -> str:
    """Return the controller that holds a role."""
    return next(
        (
            label
            for label, core in sim.cores.items()
            if core is not None and role in core.context.held_roles
        ),
        sim.labels[0],
    )


# A service and an array of four tasks each fill the quotas of two teams; the third has none.
FILLED_QUOTAS = (Team("red", gpus=4, gpus_max=8), Team("blue", gpus=4, gpus_max=8), Team("green"))


def teams_at_quota(count: int, seed: int = 1, run_s: float = 300.0) -> Simulation:
    """Return a deployment in which a service and an array fill the quota of each of two teams."""
    sim = Simulation(seed, count, teams=FILLED_QUOTAS)
    sim.run(12)
    for number, team in enumerate(("red", "blue")):
        sim.submit(f"job-{number}", spec("service", 4, team, priority=3))
        sim.submit(f"job-{number + 2}", spec("array", 4, team, estimate_s=run_s))
    sim.run(14)
    assert len(sim.running_tasks()) == 16
    return sim
