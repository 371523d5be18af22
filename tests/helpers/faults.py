"""Fault injection: partitions, crashes, and delayed, lost and repeated messages."""

import random
from collections.abc import Callable

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents import reachability
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat
from oakmux.settings import StoreLimits, UpcomingLimits
from tests.fakes import (
    CANCEL_S,
    LEASE_S,
    TEAMS,
    Simulation,
    spec,
)
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
    sim.run(5)
    for number in range(int(seconds / 5)):
        kind = rng.choice(["array", "array", "gang", "service"])
        tasks = rng.choice([1, 2, 3, 6]) if kind != "service" else rng.choice([1, 2])
        sim.submit(
            f"job-{number}",
            spec(
                kind,
                tasks,
                rng.choice(["red", "blue"]),
                one_zone=rng.random() < 0.3
                and kind != "service",  # a spread job in one zone never fits
                spread=kind == "service",
                spot=rng.random() < 0.3,
                estimate_s=rng.uniform(2, 12),
            ),
        )
        if rng.random() < 0.3:
            sim.after(rng.uniform(0, 20), lambda n=number: sim.cancel(f"job-{n}"))
        fault = rng.choice(
            [
                "none",
                "crash",
                "crash_all",
                "store_outage",
                "store_refusal",
                "store_link",
                "machine_link",
                "peer_link",
                "machine_death",
                "cloud_outage",
                "lost_inbound",
                "late_copies",
                "isolation",
                "quick_restart",
                "failing_job",
                "boot_times",
                "freeze",
                "late_writes",
                "slow_store",
                "refusal_then_outage",
                "hang",
                "mute",
                "lost_answers",
                "unanswered_slow_writes",
                "burst_before_outage",
                "announced_limits",
                "stale_heartbeats",
                "query_bursts",
                "cancel_running",
                "copied_requests",
                "copied_requests",
            ]
        )
        if fault == "crash":
            sim.crash(rng.choice(sim.labels), rng.uniform(1, 6))
        elif fault == "crash_all" and rng.random() < 0.5:
            for label in sim.labels:
                sim.crash(label, rng.uniform(1, 4))
        elif fault == "store_outage":
            sim.store.outage(rng.uniform(1, 8))
        elif fault == "store_refusal":
            sim.store.refused = {rng.choice(sim.labels)}
            sim.after(rng.uniform(2, 12), lambda: setattr(sim.store, "refused", set()))
        elif fault in ("store_link", "peer_link", "machine_link"):
            ends = {
                "store_link": [rng.choice(sim.labels), "state"],
                "peer_link": rng.sample(sim.labels, 2),
            }.get(fault)
            if ends is None and sim.workers:
                name = rng.choice(sorted(sim.workers))
                links = [frozenset((label, name)) for label in sim.labels]
            else:
                links = [frozenset(ends or ("x", "y"))]
            sim.cuts.update(links)
            sim.after(rng.uniform(2, 20), lambda p=links: sim.cuts.difference_update(p))
        elif fault == "machine_death" and sim.workers:
            sim.kill(rng.choice(sorted(sim.workers)))
        elif fault == "lost_inbound" and sim.workers:
            names = sorted(sim.workers)
            sim.drop_inbound(rng.sample(names, min(3, len(names))), rng.uniform(2, 30))
        elif fault == "copied_requests":
            share = rng.choice([0.0, 0.1, 0.3])
            sim.copy_shares = dict.fromkeys(RequestKind, share)
            sim.copy_delay_s = rng.choice([(0.5, 40.0), (30.0, 180.0)])
        elif fault == "late_copies":
            sim.late_copy_share = rng.choice([0.0, 0.1, 0.4])
        elif fault == "isolation":
            sim.isolate(rng.choice(sim.labels), rng.uniform(2, 30))
        elif fault == "quick_restart":  # one or all controllers, some of them twice
            for label in sim.labels if rng.random() < 0.2 else rng.sample(sim.labels, 1):
                sim.crash(label, rng.uniform(0.05, 0.5))
                if rng.random() < 0.5:
                    sim.after(
                        rng.uniform(0.3, 1.5),
                        lambda la=label: sim.crash(la, rng.uniform(0.05, 0.5)),
                    )
        elif fault == "failing_job":
            sim.failing_jobs.add(f"job-{number}")
            sim.after(rng.uniform(10, 60), lambda n=number: sim.cancel(f"job-{n}"))
        elif fault == "boot_times":
            sim.boot_s = rng.choice(
                [
                    lambda: 0.05,
                    lambda: sim.rng.uniform(3.0, 15.0),
                    lambda: sim.rng.choice([None, 2.0]),
                ]
            )
        elif fault == "freeze":
            label = rng.choice(sim.labels)
            if label not in sim.frozen and sim.cores[label] is not None:
                sim.freeze(label, rng.uniform(1, 15))
        elif fault == "late_writes":
            sim.late_write_share = rng.choice([0.0, 0.1, 0.4])
        elif fault == "slow_store":
            sim.store_delay_s = rng.uniform(0.2, 3.0)
            sim.after(rng.uniform(2, 12), lambda: setattr(sim, "store_delay_s", 0.0))
        elif fault in ("hang", "mute") and sim.workers:
            names = sorted(sim.workers)
            names = rng.sample(names, min(3, len(names)))
            if fault == "mute":
                sim.mute(names, rng.uniform(2, 30))
            for name in names if fault == "hang" else ():
                sim.workers[name].hang(rng.uniform(0.5, 2.5 * LEASE_S))
        elif fault == "lost_answers":
            sim.lost_answer_share = rng.choice([0.0, 0.1, 0.4])
        elif fault == "unanswered_slow_writes":
            lose_answers_of_slow_store(sim, rng, rng.uniform(5, 15))
        elif fault == "burst_before_outage":
            fill_before_outage(sim, rng, 1000 * (number + 1), rng.uniform(1, 8))
        elif fault == "announced_limits":
            sim.store.limits = sim.store.limits.strictest
        elif fault == "stale_heartbeats":
            sim.stale_heartbeat_share = rng.choice([0.0, 0.1, 0.4])
        elif fault == "query_bursts":
            sim.query_burst_share = rng.choice([0.0, 0.3, 1.0])
        elif fault == "cancel_running":  # running jobs are cancelled and their machines hang
            for worker, task, _ in rng.sample(
                sim.running_tasks(), min(3, len(sim.running_tasks()))
            ):
                sim.cancel(task.partition("/")[0])
                sim.after(rng.uniform(0, 0.3), lambda w=worker: w.hang(rng.uniform(1, 15)))
            if rng.random() < 0.5:
                sim.crash(rng.choice(sim.labels), rng.uniform(0.05, 4))
        elif fault == "refusal_then_outage":
            # The store refuses one controller, others cancel jobs, then it is out for all.
            sim.store.refused = {rng.choice(sim.labels)}
            for _ in range(3):
                sim.cancel(f"job-{rng.randrange(number + 1)}")
            sim.after(
                rng.uniform(0.2, 3), lambda: sim.store.outage(rng.uniform(0.5, 2) * CANCEL_S)
            )
            sim.after(4.0, lambda: setattr(sim.store, "refused", set()))
        elif fault == "cloud_outage":
            sim.cloud_down = True
            sim.after(rng.uniform(2, 20), lambda: setattr(sim, "cloud_down", False))
        for _ in range(3):
            sim.query(f"job-{rng.randrange(number + 1)}")
            sim.run(5 / 3)
    sim.loss_rate = sim.duplicate_rate = sim.slow_rate = sim.late_copy_share = (
        sim.late_write_share
    ) = sim.store_delay_s = 0.0
    sim.copy_shares = {}
    sim.lost_answer_share = sim.stale_heartbeat_share = 0.0
    sim.muted.clear()
    sim.cuts.clear()
    sim.one_way.clear()
    sim.boot_s = lambda: 2.0
    sim.store.refused, sim.cloud_down = set(), False
    assert sim.store.too_large == 0
    return sim


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


def record_heartbeat(
    context: Context, machine: Machine, manager: str, agent_epoch: int = 1, fencing_token: int = 0
) -> None:
    """Apply the next heartbeat of a machine, as sent to controller `manager`."""
    heartbeat = Heartbeat(
        machine.name,
        "a:1",
        "big",
        "a",
        False,
        agent_epoch,
        machine.sequence + 1,
        fencing_token,
        None,
        {},
    )
    reachability.assess_heartbeat(context, machine, heartbeat, manager, fencing_token == 5)
    machine.apply(heartbeat, context.now)
    machine.manager = manager


class QuickRestart(Simulation):
    """Restarts controllers at the n-th operation that any controller sends to the store."""

    def __init__(
        self, at: int, crashes: int, restart_s: float, served: bool, count: int = 3
    ) -> None:
        self.at, self.crashes, self.restart_s, self.served, self.calls = (
            at,
            crashes,
            restart_s,
            served,
            0,
        )
        self.armed = False
        super().__init__(7, count)

    def carry_out(self, label: str, incarnation: int, effect: messages.Effect) -> None:
        if self.armed and isinstance(effect, messages.StoreOperation):
            self.calls += 1
            if self.calls == self.at:
                if self.served:  # executed, but the answer reaches no live sender
                    super().carry_out(label, incarnation, effect)
                others = [other for other in self.labels if other != label]
                for crashed in [label, *others][: self.crashes]:
                    self.crash(crashed, self.restart_s)
                if not self.served:  # executed late, after the sender has restarted
                    self.after(self.restart_s + 0.3, lambda: self.store.serve(label, effect))
                return
        super().carry_out(label, incarnation, effect)


def reconnect(sim: Simulation, name: str, label: str) -> None:
    """Reset a machine's connection, so that it reports to the given controller."""
    worker = sim.workers[name]
    worker.heartbeat_turn += 1
    worker.controller_index = sim.labels.index(label)
    worker.heartbeat()


def partition_machines(sim: Simulation, names: list[str], seconds: float) -> None:
    """Partition machines from all controllers for `seconds`; messages are delayed."""
    links = {frozenset((label, name)) for label in sim.labels for name in names}
    sim.cuts |= links
    sim.after(seconds, lambda: sim.cuts.difference_update(links))


class DelayedCommands(Simulation):
    """Delays direct worker commands of one kind by `seconds` while armed."""

    def __init__(self, seed: int, verb: str, seconds: float, count: int = 3) -> None:
        self.verb, self.seconds, self.armed = verb, seconds, False
        self.delayed_at: list[float] = []
        super().__init__(seed, count)

    def carry_out(self, label: str, incarnation: int, effect: messages.Effect) -> None:
        if (
            self.armed
            and isinstance(effect, messages.SendWorkerCommands)
            and any(order["verb"] == self.verb for order in effect.commands)
        ):
            self.delayed_at.append(self.now)
            worker = self.workers[effect.addr]

            def arrive() -> None:
                if not worker.dead:
                    worker.receive_commands(
                        effect.fencing_token, effect.agent_epoch, effect.commands
                    )

            self.after(self.seconds, arrive)
            self.after(
                constants.COMMAND_TIMEOUT_S,
                lambda: (
                    self.incarnations[label] == incarnation
                    and self.command(label, messages.OperationDone(effect.operation, "lost", None))
                ),
            )
            return
        super().carry_out(label, incarnation, effect)


class RepeatedTransactions(Simulation):
    """Records every writing transaction, so that tests can repeat it."""

    def __init__(self, seed: int, count: int = 3) -> None:
        self.sent: list[tuple[str, messages.Transaction]] = []
        super().__init__(seed, count)

    def send_to_store(
        self, label: str, effect: messages.StoreOperation, done: Callable[[tuple], None]
    ) -> None:
        if isinstance(effect, messages.Transaction) and effect.writes:
            self.sent.append((label, effect))
        super().send_to_store(label, effect, done)


def record_kinds(writes: list) -> set[str]:
    """Return the kinds of records that a transaction changes."""
    return {write[0].split("/")[1] for write in writes}


def inject_fault(sim: Simulation, fault: str, names: list[str], seconds: float) -> None:
    """Make machines unreachable by the named kind of fault."""
    if fault == "hang":
        for name in names:
            sim.workers[name].hang(seconds)
    elif fault == "mute":
        sim.mute(names, seconds)
    elif fault == "deaf":
        sim.drop_inbound(names, seconds)
    else:
        partition_machines(sim, names, seconds)
