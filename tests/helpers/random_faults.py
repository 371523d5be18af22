"""Runs of random jobs under random faults."""

import random
from collections.abc import Callable
from typing import Any

from oakmux.settings import StoreLimits, UpcomingLimits
from tests.fakes import CANCEL_S, LEASE_S, TEAMS, Simulation, spec
from tests.fakes.network import RequestKind
from tests.helpers.clusters import MIXED_QUOTAS

# Limits of the store that random runs draw from.
STORE_LIMITS = [
    StoreLimits(1000, 1000, 8, 12),
    StoreLimits(1000, 1000, 8, 48),
    StoreLimits(80, 20, 8, 12),
    StoreLimits(1000, 60, 8, 4),
    StoreLimits(1000, 1000, 8, 12, UpcomingLimits(value_kb=2.0, txn_ops=4)),
    StoreLimits(1000, 60, 8, 48, UpcomingLimits(write_rps=20.0, value_kb=2.0, txn_ops=2)),
]

# Seconds between two faults, and seconds without faults before the first.
FAULT_INTERVAL_S, SETTLE_S = 5.0, 5.0

# Jobs behind cancelled ones have numbers of their own.
FIRST_JOB_BEHIND = 1_000_000

Fault = Callable[[Simulation, random.Random, int], None]
"""Begins a fault; the number is that of the job just submitted."""


def _no_fault(_sim: Simulation, _rng: random.Random, _number: int) -> None:
    """Let everything work."""


# --- controllers ---


def _crash(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.crash(rng.choice(sim.labels), rng.uniform(1, 6))


def _crash_all(sim: Simulation, rng: random.Random, _number: int) -> None:
    if rng.random() < 0.5:
        for label in sim.labels:
            sim.crash(label, rng.uniform(1, 4))


def _quick_restart(sim: Simulation, rng: random.Random, _number: int) -> None:
    """Restart one or all controllers within half a second, some of them twice."""
    for label in sim.labels if rng.random() < 0.2 else rng.sample(sim.labels, 1):
        sim.crash(label, rng.uniform(0.05, 0.5))
        if rng.random() < 0.5:
            sim.after(
                rng.uniform(0.3, 1.5),
                lambda label=label: sim.crash(label, rng.uniform(0.05, 0.5)),
            )


def _freeze(sim: Simulation, rng: random.Random, _number: int) -> None:
    label = rng.choice(sim.labels)
    if label not in sim.frozen and sim.cores[label] is not None:
        sim.freeze(label, rng.uniform(1, 15))


def _isolation(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.isolate(rng.choice(sim.labels), rng.uniform(2, 30))


# --- the store and the cloud ---


def _store_outage(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.store.outage(rng.uniform(1, 8))


def _store_refusal(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.store.refused = {rng.choice(sim.labels)}
    sim.after(rng.uniform(2, 12), lambda: setattr(sim.store, "refused", set()))


def _refusal_then_outage(sim: Simulation, rng: random.Random, number: int) -> None:
    """Let the store refuse one controller, others cancel jobs, then take it out for all.

    The watch of the refused controller pauses between its tries, so that its records are behind
    for a while when the store is back; users then submit jobs behind the cancelled ones.
    """
    label = rng.choice(sim.labels)
    sim.store.refused = {label}
    for _ in range(3):
        sim.cancel(f"job-{rng.randrange(number + 1)}")
    begins_s, lasts_s = rng.uniform(0.2, 3), rng.uniform(0.5, 2) * CANCEL_S
    sim.after(begins_s, lambda: sim.store.outage(lasts_s))
    sim.after(4.0, lambda: setattr(sim.store, "refused", set()))
    _stall_watch(sim, label, begins_s + lasts_s + rng.uniform(0.0, 2.0))
    submit_behind_cancelled(sim, rng, 100 * number, begins_s + lasts_s, 3.0)


def _stall_watch(sim: Simulation, label: str, seconds: float) -> None:
    """Let a controller's records lag behind the store, which still answers it."""
    sim.stalled_watches.add(label)
    sim.after(seconds, lambda: sim.stalled_watches.discard(label))


def _lagging_records(sim: Simulation, rng: random.Random, number: int) -> None:
    """Let one controller's records lag, others cancel jobs, and submit jobs behind these."""
    _stall_watch(sim, rng.choice(sim.labels), rng.uniform(0.3, 6.0))
    for _ in range(2):
        sim.cancel(f"job-{rng.randrange(number + 1)}")
    submit_behind_cancelled(sim, rng, 100 * number, 0.1, 6.0)


def _late_writes(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.late_write_share = rng.choice([0.0, 0.1, 0.4])


def _lost_answers(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.lost_answer_share = rng.choice([0.0, 0.1, 0.4])


def _slow_store(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.store_delay_s = rng.uniform(0.2, 3.0)
    sim.after(rng.uniform(2, 12), lambda: setattr(sim, "store_delay_s", 0.0))


def _unanswered_slow_writes(sim: Simulation, rng: random.Random, _number: int) -> None:
    lose_answers_of_slow_store(sim, rng, rng.uniform(5, 15))


def _burst_before_outage(sim: Simulation, rng: random.Random, number: int) -> None:
    fill_before_outage(sim, rng, 1000 * (number + 1), rng.uniform(1, 8))


def _announced_limits(sim: Simulation, _rng: random.Random, _number: int) -> None:
    """Let the announced limits of the store come into force."""
    sim.store.limits = sim.store.limits.strictest


def _cloud_outage(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.cloud_down = True
    sim.after(rng.uniform(2, 20), lambda: setattr(sim, "cloud_down", False))


def _boot_times(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.boot_s = rng.choice(
        [
            lambda: 0.05,
            lambda: sim.rng.uniform(3.0, 15.0),
            lambda: sim.rng.choice([None, 2.0]),
        ]
    )


# --- links and messages ---


def _cut(sim: Simulation, rng: random.Random, links: list[frozenset[str]]) -> None:
    """Cut links for a while; their messages are delayed."""
    sim.cuts.update(links)
    sim.after(rng.uniform(2, 20), lambda: sim.cuts.difference_update(links))


def _store_link(sim: Simulation, rng: random.Random, _number: int) -> None:
    _cut(sim, rng, [frozenset((rng.choice(sim.labels), "state"))])


def _peer_link(sim: Simulation, rng: random.Random, _number: int) -> None:
    _cut(sim, rng, [frozenset(rng.sample(sim.labels, 2))])


def _machine_link(sim: Simulation, rng: random.Random, _number: int) -> None:
    for name in _some_machines(sim, rng, 1):
        _cut(sim, rng, [frozenset((label, name)) for label in sim.labels])


def _copied_requests(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.copy_shares = dict.fromkeys(RequestKind, rng.choice([0.0, 0.1, 0.3]))
    sim.copy_delay_s = rng.choice([(0.5, 40.0), (30.0, 180.0)])


def _late_copies(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.late_copy_share = rng.choice([0.0, 0.1, 0.4])


def _stale_heartbeats(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.stale_heartbeat_share = rng.choice([0.0, 0.1, 0.4])


# --- machines ---


def _some_machines(sim: Simulation, rng: random.Random, count: int) -> list[str]:
    """Return the names of `count` machines, or of all if there are fewer."""
    names = sorted(sim.workers)
    return rng.sample(names, min(count, len(names)))


def _machine_death(sim: Simulation, rng: random.Random, _number: int) -> None:
    for name in _some_machines(sim, rng, 1):
        sim.kill(name)


def _lost_inbound(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.drop_inbound(_some_machines(sim, rng, 3), rng.uniform(2, 30))


def _mute(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.mute(_some_machines(sim, rng, 3), rng.uniform(2, 30))


def _hang(sim: Simulation, rng: random.Random, _number: int) -> None:
    for name in _some_machines(sim, rng, 3):
        sim.workers[name].hang(rng.uniform(0.5, 2.5 * LEASE_S))


# --- users ---


def _failing_job(sim: Simulation, rng: random.Random, number: int) -> None:
    """Let the job just submitted fail on every machine until its user cancels it."""
    sim.failing_jobs.add(f"job-{number}")
    sim.after(rng.uniform(10, 60), lambda: sim.cancel(f"job-{number}"))


def _query_bursts(sim: Simulation, rng: random.Random, _number: int) -> None:
    sim.query_burst_share = rng.choice([0.0, 0.3, 1.0])


def _cancel_running(sim: Simulation, rng: random.Random, _number: int) -> None:
    """Cancel running jobs whose machines hang soon after."""
    running = sim.running_tasks()
    for worker, task, _ in rng.sample(running, min(3, len(running))):
        sim.cancel(task.partition("/")[0])
        sim.after(rng.uniform(0, 0.3), lambda w=worker: w.hang(rng.uniform(1, 15)))
    if rng.random() < 0.5:
        sim.crash(rng.choice(sim.labels), rng.uniform(0.05, 4))


# A fault that stands twice is drawn twice as often.
FAULTS: list[Fault] = [
    _no_fault,
    _crash,
    _crash_all,
    _store_outage,
    _store_refusal,
    _store_link,
    _machine_link,
    _peer_link,
    _machine_death,
    _cloud_outage,
    _lost_inbound,
    _late_copies,
    _isolation,
    _quick_restart,
    _failing_job,
    _boot_times,
    _freeze,
    _late_writes,
    _slow_store,
    _refusal_then_outage,
    _lagging_records,
    _hang,
    _mute,
    _lost_answers,
    _unanswered_slow_writes,
    _burst_before_outage,
    _announced_limits,
    _stale_heartbeats,
    _query_bursts,
    _cancel_running,
    _copied_requests,
    _copied_requests,
]


def run_with_random_faults(
    seed: int,
    seconds: float = 150.0,
    verify_counts: bool = False,
    count: int = 3,
    store_limits: StoreLimits | None = None,
) -> Simulation:
    """Submit random jobs under random faults, then end the faults.

    The limits of the store are drawn as well; those that are announced come into force in some
    runs. No transaction may exceed them.
    """
    teams = MIXED_QUOTAS if seed % 2 else TEAMS
    limits = store_limits or random.Random(seed).choice(STORE_LIMITS)
    sim = Simulation(seed, count, teams=teams, store_limits=limits)
    sim.verify_counts = verify_counts
    sim.loss_rate, sim.duplicate_rate, sim.slow_rate = 0.01, 0.01, 0.005
    rng = random.Random(seed)
    sim.run(SETTLE_S)
    for number in range(int(seconds / FAULT_INTERVAL_S)):
        sim.submit(f"job-{number}", _random_job(sim, rng))
        if rng.random() < 0.3:
            sim.after(rng.uniform(0, 20), lambda n=number: sim.cancel(f"job-{n}"))
        rng.choice(FAULTS)(sim, rng, number)
        for _ in range(3):
            sim.query(f"job-{rng.randrange(number + 1)}")
            sim.run(FAULT_INTERVAL_S / 3)
    _end_faults(sim)
    assert sim.store.too_large == 0
    return sim


def _random_job(sim: Simulation, rng: random.Random) -> Any:
    kind = rng.choice(["array", "array", "gang", "service"])
    return spec(
        kind,
        rng.choice([1, 2, 3, 6]) if kind != "service" else rng.choice([1, 2]),
        rng.choice(["red", "blue"]),
        # A spread job in one zone never fits.
        one_zone=rng.random() < 0.3 and kind != "service",
        spread=kind == "service",
        spot=rng.random() < 0.3,
        estimate_s=rng.uniform(2, 12),
        waits_on=_random_dependencies(sim, rng) if rng.random() < 0.3 else (),
    )


def _random_dependencies(sim: Simulation, rng: random.Random) -> tuple[str, ...]:
    """Return one or two accepted jobs in any state; services are never named."""
    names = sorted(name for name in sim.reported_state if sim.specs[name].kind != "service")
    return tuple(rng.sample(names, min(len(names), rng.randint(1, 2))))


def _end_faults(sim: Simulation) -> None:
    sim.loss_rate = sim.duplicate_rate = sim.slow_rate = sim.late_copy_share = 0.0
    sim.late_write_share = sim.store_delay_s = 0.0
    sim.lost_answer_share = sim.stale_heartbeat_share = 0.0
    sim.copy_shares = {}
    sim.muted.clear()
    sim.stalled_watches.clear()
    sim.cuts.clear()
    sim.one_way.clear()
    sim.boot_s = lambda: 2.0
    sim.store.refused, sim.cloud_down = set(), False


def submit_behind_cancelled(
    sim: Simulation, rng: random.Random, first_number: int, begins_s: float, lasts_s: float
) -> None:
    """Submit small jobs that wait on cancelled ones, directly or through others.

    The fakes check that none is called queued once its user was told of the cancellation.
    """

    def submit(number: int) -> None:
        cancelled = {name for name, state in sim.reported_state.items() if state == "cancelled"}
        behind = sorted(
            name
            for name in sim.reported_state
            if sim.specs[name].kind != "service"
            and cancelled & {name, *sim.all_dependencies(name)}
        )
        if behind:
            needs = {"cpus": 0.05, "gpus": 0.0, "memory_gb": 0.05}
            job = spec("array", 1, "red", waits_on=(rng.choice(behind),), **needs)
            sim.submit(f"job-{number}", job)

    for number in range(20):
        sim.after(
            begins_s + rng.uniform(0.0, lasts_s),
            lambda number=FIRST_JOB_BEHIND + first_number + number: submit(number),
        )


def lose_answers_of_slow_store(sim: Simulation, rng: random.Random, seconds: float) -> None:
    """Let the store be slow, lose answers and carry out transactions late for a while."""
    sim.store_delay_s = rng.uniform(0.2, 1.0)
    sim.lost_answer_share = rng.choice([0.1, 0.3])
    sim.late_write_share = rng.choice([0.0, 0.1, 0.3])

    def end() -> None:
        sim.store_delay_s = sim.lost_answer_share = sim.late_write_share = 0.0

    sim.after(seconds, end)


def fill_before_outage(
    sim: Simulation, rng: random.Random, first_job: int, seconds: float
) -> None:
    """Submit many small jobs and a few larger ones, and take the store out as they are bound."""
    needs = {"cpus": 0.05, "gpus": 0.0, "memory_gb": 0.05}
    small, large = rng.randint(20, 60), rng.randint(1, 3)
    for number in range(first_job, first_job + small + large):
        tasks = rng.choice([1, 1, 1, 2, 16]) if number < first_job + small else 20
        team = rng.choice(["red", "red", "blue"])
        job = spec("array", tasks, team, estimate_s=rng.uniform(1, 6), **needs)
        sim.after(rng.uniform(0.0, 0.5), lambda n=number, job=job: sim.submit(f"job-{n}", job))
    sim.after(rng.uniform(0.5, 0.9), lambda: sim.store.outage(seconds))
    sim.run(1.0)


def run_with_unanswered_writes(seed: int, seconds: float = 120.0) -> Simulation:
    """Submit and cancel jobs of 1 to 40 tasks while answers of a slow store get lost."""
    sim = Simulation(seed, 3, teams=MIXED_QUOTAS if seed % 2 else TEAMS)
    rng = random.Random(seed)
    sim.run(10)
    for number in range(int(seconds)):
        kind = rng.choice(["array", "array", "array", "gang", "service"])
        tasks = rng.choice([1, 2, 3, 5, 9] if kind != "array" else [1, 2, 3, 5, 12, 20])
        team, run_s = rng.choice(["red", "blue"]), rng.uniform(0.3, 4)
        needs = {"cpus": 0.5, "gpus": 0.0, "memory_gb": 0.2} if tasks > 8 else {}
        sim.submit(f"job-{number}", spec(kind, tasks, team, estimate_s=run_s, **needs))
        if kind == "service" or rng.random() < 0.2:
            sim.after(rng.uniform(0, 20), lambda n=number: sim.cancel(f"job-{n}"))
        if number % 10 == 0:
            lose_answers_of_slow_store(sim, rng, rng.uniform(4, 9))
        sim.run(1)
    sim.run(20)
    return sim
