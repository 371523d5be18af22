"""Faults to inject: partitions, delayed, lost and repeated messages, crashes."""

import random
from collections.abc import Callable

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents import reachability
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat
from tests.fakes import (
    CANCEL_S,
    LEASE_S,
    TEAMS,
    Simulation,
    spec,
)
from tests.helpers.clusters import TIGHT


def run_with_random_faults(
    seed: int, seconds: float = 150.0, recount: bool = False, count: int = 3
) -> Simulation:
    """Submit random jobs under random faults, then end all faults."""
    sim = Simulation(seed, count, teams=TIGHT if seed % 2 else TEAMS)
    sim.recount = recount
    sim.loss, sim.twice, sim.slow = 0.01, 0.01, 0.005
    dice = random.Random(seed)
    sim.run(5)
    for number in range(int(seconds / 5)):
        kind = dice.choice(["array", "array", "gang", "service"])
        tasks = dice.choice([1, 2, 3, 6]) if kind != "service" else dice.choice([1, 2])
        sim.submit(
            f"job-{number}",
            spec(
                kind,
                tasks,
                dice.choice(["red", "blue"]),
                one_zone=dice.random() < 0.3 and kind != "service",  # spread in one zone: never
                spread=kind == "service",
                spot=dice.random() < 0.3,
                estimate_s=dice.uniform(2, 12),
            ),
        )
        if dice.random() < 0.3:
            sim.after(dice.uniform(0, 20), lambda n=number: sim.cancel(f"job-{n}"))
        trouble = dice.choice(
            [
                "none",
                "crash",
                "all",
                "state",
                "refused",
                "cut",
                "machine",
                "peers",
                "die",
                "cloud",
                "deaf",
                "copies",
                "alone",
                "blink",
                "broken",
                "boots",
                "freeze",
                "late",
                "slow",
                "gap",
                "hang",
                "mute",
                "answers",
                "next",
                "close",
                "now",
            ]
        )
        if trouble == "crash":
            sim.crash(dice.choice(sim.labels), dice.uniform(1, 6))
        elif trouble == "all" and dice.random() < 0.5:
            for label in sim.labels:
                sim.crash(label, dice.uniform(1, 4))
        elif trouble == "state":
            sim.state.outage(dice.uniform(1, 8))
        elif trouble == "refused":
            sim.state.refused = {dice.choice(sim.labels)}
            sim.after(dice.uniform(2, 12), lambda: setattr(sim.state, "refused", set()))
        elif trouble in ("cut", "peers", "machine"):
            ends = {
                "cut": [dice.choice(sim.labels), "state"],
                "peers": dice.sample(sim.labels, 2),
            }.get(trouble)
            if ends is None and sim.workers:
                name = dice.choice(sorted(sim.workers))
                pairs = [frozenset((label, name)) for label in sim.labels]
            else:
                pairs = [frozenset(ends or ("x", "y"))]
            sim.cuts.update(pairs)
            sim.after(dice.uniform(2, 20), lambda p=pairs: sim.cuts.difference_update(p))
        elif trouble == "die" and sim.workers:
            sim.kill(dice.choice(sorted(sim.workers)))
        elif trouble == "deaf" and sim.workers:
            names = sorted(sim.workers)
            sim.drop_inbound(dice.sample(names, min(3, len(names))), dice.uniform(2, 30))
        elif trouble == "copies":
            sim.late_copy_share = dice.choice([0.0, 0.1, 0.4])
        elif trouble == "alone":
            sim.isolate(dice.choice(sim.labels), dice.uniform(2, 30))
        elif trouble == "blink":  # back at once, one or all, maybe twice in a row
            for label in sim.labels if dice.random() < 0.2 else dice.sample(sim.labels, 1):
                sim.crash(label, dice.uniform(0.05, 0.5))
                if dice.random() < 0.5:
                    sim.after(
                        dice.uniform(0.3, 1.5),
                        lambda la=label: sim.crash(la, dice.uniform(0.05, 0.5)),
                    )
        elif trouble == "broken":
            sim.broken.add(f"job-{number}")
            sim.after(dice.uniform(10, 60), lambda n=number: sim.cancel(f"job-{n}"))
        elif trouble == "boots":
            sim.boot_s = dice.choice(
                [
                    lambda: 0.05,
                    lambda: sim.rng.uniform(3.0, 15.0),
                    lambda: sim.rng.choice([None, 2.0]),
                ]
            )
        elif trouble == "freeze":
            label = dice.choice(sim.labels)
            if label not in sim.frozen and sim.cores[label] is not None:
                sim.freeze(label, dice.uniform(1, 15))
        elif trouble == "late":
            sim.late_writes = dice.choice([0.0, 0.1, 0.4])
        elif trouble == "slow":
            sim.state_slow = dice.uniform(0.2, 3.0)
            sim.after(dice.uniform(2, 12), lambda: setattr(sim, "state_slow", 0.0))
        elif trouble in ("hang", "mute") and sim.workers:
            names = sorted(sim.workers)
            names = dice.sample(names, min(3, len(names)))
            if trouble == "mute":
                sim.mute(names, dice.uniform(2, 30))
            for name in names if trouble == "hang" else ():
                sim.workers[name].hang(dice.uniform(0.5, 2.5 * LEASE_S))
        elif trouble == "answers":
            sim.lost_answers = dice.choice([0.0, 0.1, 0.4])
        elif trouble == "next":
            sim.stale_heartbeat_share = dice.choice([0.0, 0.1, 0.4])
        elif trouble == "close":
            sim.close = dice.choice([0.0, 0.3, 1.0])
        elif trouble == "now":  # what runs is called off, and its machines hang
            for worker, task, _ in dice.sample(sim.live(), min(3, len(sim.live()))):
                sim.cancel(task.partition("/")[0])
                sim.after(dice.uniform(0, 0.3), lambda w=worker: w.hang(dice.uniform(1, 15)))
            if dice.random() < 0.5:
                sim.crash(dice.choice(sim.labels), dice.uniform(0.05, 4))
        elif trouble == "gap":  # one refused, cancelled by another, then out for all
            sim.state.refused = {dice.choice(sim.labels)}
            for _ in range(3):
                sim.cancel(f"job-{dice.randrange(number + 1)}")
            sim.after(
                dice.uniform(0.2, 3), lambda: sim.state.outage(dice.uniform(0.5, 2) * CANCEL_S)
            )
            sim.after(4.0, lambda: setattr(sim.state, "refused", set()))
        elif trouble == "cloud":
            sim.cloud_down = True
            sim.after(dice.uniform(2, 20), lambda: setattr(sim, "cloud_down", False))
        for _ in range(3):
            sim.query(f"job-{dice.randrange(number + 1)}")
            sim.run(5 / 3)
    sim.loss = sim.twice = sim.slow = sim.late_copy_share = sim.late_writes = sim.state_slow = 0.0
    sim.lost_answers = sim.stale_heartbeat_share = 0.0
    sim.muted.clear()
    sim.cuts.clear()
    sim.one_way.clear()
    sim.boot_s = lambda: 2.0
    sim.state.refused, sim.cloud_down = set(), False
    return sim


def moved(
    context: Context, machine: Machine, manager: str, agent_epoch: int = 1, fencing_token: int = 0
) -> None:
    """Record the next heartbeat of a machine as a controller's view of it."""
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
    reachability.assess_heartbeat(context, machine, heartbeat, manager, 5)
    machine.apply(heartbeat, context.now)
    machine.manager = manager


class QuickRestart(Simulation):
    """Restarts controllers at the n-th operation that any of them sends to the store."""

    def __init__(self, at: int, who: int, back: float, served: bool, count: int = 3) -> None:
        self.at, self.who, self.back, self.served, self.calls = at, who, back, served, 0
        self.armed = False
        super().__init__(7, count)

    def carry_out(self, label: str, incarnation: int, effect: messages.Effect) -> None:
        if self.armed and isinstance(effect, messages.StoreOperation):
            self.calls += 1
            if self.calls == self.at:
                if self.served:  # it is carried out, and its answer finds nobody
                    super().carry_out(label, incarnation, effect)
                others = [one for one in self.labels if one != label]
                for one in [label, *others][: self.who]:
                    self.crash(one, self.back)
                if not self.served:  # carried out late, when its sender is back
                    self.after(self.back + 0.3, lambda: self.state.serve(label, effect))
                return
        super().carry_out(label, incarnation, effect)


def reset(sim: Simulation, name: str, label: str) -> None:
    """A machine's connection is reset, and it reports to another controller."""
    worker = sim.workers[name]
    worker.waiting += 1
    worker.node = sim.labels.index(label)
    worker.heartbeat()


def partition_machines(sim: Simulation, names: list[str], seconds: float) -> None:
    """Partition machines from all controllers; messages are delayed."""
    pairs = {frozenset((label, name)) for label in sim.labels for name in names}
    sim.cuts |= pairs
    sim.after(seconds, lambda: sim.cuts.difference_update(pairs))


class DelayedStarts(Simulation):
    """Delays direct commands of one kind by some seconds, while armed."""

    def __init__(self, seed: int, verb: str, seconds: float, count: int = 3) -> None:
        self.verb, self.seconds, self.armed = verb, seconds, False
        self.held: list[float] = []
        super().__init__(seed, count)

    def carry_out(self, label: str, incarnation: int, effect: messages.Effect) -> None:
        if (
            self.armed
            and isinstance(effect, messages.SendWorkerCommands)
            and any(order["verb"] == self.verb for order in effect.commands)
        ):
            self.held.append(self.now)
            worker = self.workers[effect.addr]

            def arrive() -> None:
                if not worker.dead:
                    worker.orders(effect.fencing_token, effect.agent_epoch, effect.commands)

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
    """Records every transaction that writes, so that it can be repeated."""

    def __init__(self, seed: int, count: int = 3) -> None:
        self.sent: list[tuple[str, messages.Transaction]] = []
        super().__init__(seed, count)

    def to_state(
        self, label: str, effect: messages.StoreOperation, done: Callable[[tuple], None]
    ) -> None:
        if isinstance(effect, messages.Transaction) and effect.writes:
            self.sent.append((label, effect))
        super().to_state(label, effect, done)


def kinds(writes: list) -> set[str]:
    """Return the kinds of records that a transaction changes."""
    return {write[0].split("/")[1] for write in writes}


def inject_fault(sim: Simulation, how: str, names: list[str], seconds: float) -> None:
    """Make machines unreachable by the named kind of fault."""
    if how == "hang":
        for name in names:
            sim.workers[name].hang(seconds)
    elif how == "mute":
        sim.mute(names, seconds)
    elif how == "deaf":
        sim.drop_inbound(names, seconds)
    else:
        partition_machines(sim, names, seconds)
