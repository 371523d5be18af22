"""Fault injection: partitions, crashes, and delayed, lost and repeated messages."""

from collections.abc import Callable

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents import reachability
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat
from tests.fakes import (
    Simulation,
)


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
