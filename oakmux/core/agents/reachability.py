"""Reachability: whether a worker receives our answers, which its heartbeats alone don't show.

In a one-way partition a worker's heartbeats arrive and our answers and commands are lost. The
worker tries one controller after the other and starts a new agent epoch with every lease, while
its resources look free and its tasks look started. A heartbeat that the network delayed for
minutes looks like a machine that is terminated by now. Neither worker has shown that it received
an answer; nothing is placed on a machine until its worker has.
"""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat


def assess_new_machine(context: Context, machine: Machine, sent_here: bool, term: int) -> None:
    """Set the reachability of a machine that this controller did not know.

    A heartbeat to us proves nothing, whatever it says. One to a peer proves that the worker
    received an answer of that peer if it shows the peer's term.
    """
    if sent_here or machine.fencing_token != term:
        machine.unreachable_signs = constants.UNREACHABLE_SIGNS
        machine.unreachable_since = context.now


def assess_heartbeat(
    context: Context, machine: Machine, heartbeat: Heartbeat, manager: str, term: int
) -> bool:
    """Update a machine's reachability by a newer heartbeat, before that is applied.

    A worker that received an answer stays with its controller and shows that controller's term.
    One that did not goes on to the next controller, or its lease expires while it sends
    heartbeats. A lease that expires in silence is no evidence the first time: machines hang, and
    zones are partitioned. When it happens again without an answer received in between, it counts:
    a worker that is handed over to controllers which it can't reach comes back once a lease, in a
    new agent epoch each time.

    Returns:
        Whether the machine has just proven to be reachable.
    """
    if (heartbeat.agent_epoch, heartbeat.sequence) == machine.version:
        return False  # repeated by its controller: no news of the machine
    if heartbeat.agent_epoch == machine.agent_epoch and manager == machine.manager:
        if machine.unreachable_signs and term and heartbeat.fencing_token == term:
            machine.unreachable_signs, machine.unreachable_since = 0, None
            return True
        return False
    sent_heartbeats = context.now - machine.last_heartbeat_at < context.facts.workers.lease_s / 2
    if heartbeat.agent_epoch > machine.agent_epoch and sent_heartbeats:
        machine.unreachable_signs = constants.UNREACHABLE_SIGNS
    elif heartbeat.agent_epoch > machine.agent_epoch or manager != machine.manager:
        machine.unreachable_signs += 1
    if (
        machine.unreachable_signs >= constants.UNREACHABLE_SIGNS
        and machine.unreachable_since is None
    ):
        machine.unreachable_since = context.now
    return False


def is_reachable(machine: Machine) -> bool:
    """Whether a machine is taken to receive our answers."""
    return machine.unreachable_signs < constants.UNREACHABLE_SIGNS


def unreachable_s(context: Context, machine: Machine) -> float:
    """Return the seconds for which a machine has been unreachable while this process ran."""
    return (
        0.0
        if machine.unreachable_since is None
        else context.now - max(machine.unreachable_since, context.resumed_at)
    )
