"""Reachability: whether a worker receives answers, which its heartbeats alone don't show.

In a one-way partition a worker's heartbeats arrive, but answers and commands to it are lost. The
worker tries one controller after the other and starts a new agent epoch with every lease, while
its resources look free and its tasks look started. A heartbeat delayed for minutes by the network
may come from a machine that is terminated by now. In both cases the worker has not shown that it
received an answer, and nothing is placed on a machine until its worker has.
"""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import Heartbeat


def assess_new_machine(
    context: Context, machine: Machine, sent_here: bool, shows_term: bool
) -> None:
    """Set the initial reachability of a machine that is new to this controller.

    A first heartbeat sent to this controller proves nothing, whatever it contains. A heartbeat
    sent to a peer proves that the worker received an answer of that peer if it shows the peer's
    term.
    """
    if sent_here or not shows_term:
        machine.unreachable_signs = constants.UNREACHABLE_SIGNS
        machine.unreachable_since = context.now


def assess_heartbeat(
    context: Context, machine: Machine, heartbeat: Heartbeat, manager: str, shows_term: bool
) -> bool:
    """Update a machine's reachability from a newer heartbeat, before the heartbeat is applied.

    - A worker that received an answer stays with its controller and shows that controller's term.
    - A worker that received none moves on to the next controller, or its lease expires while it
      sends heartbeats.
    - A lease that expires without heartbeats is no evidence the first time: machines hang, and
      zones are partitioned. It counts when it happens again with no answer received in between:
      a worker handed over to controllers that it can't reach returns once per lease, each time in
      a new agent epoch.

    Returns:
        Whether this heartbeat proves that an unreachable machine is reachable again.
    """
    if (heartbeat.agent_epoch, heartbeat.sequence) == machine.version:
        return False  # the controller repeated a known heartbeat
    if heartbeat.agent_epoch == machine.agent_epoch and manager == machine.manager:
        if machine.unreachable_signs and shows_term:
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
    """Whether a machine is assumed to receive answers."""
    return machine.unreachable_signs < constants.UNREACHABLE_SIGNS


def unreachable_s(context: Context, machine: Machine) -> float:
    """Return the seconds since a machine became unreachable, or since a later process pause."""
    return (
        0.0
        if machine.unreachable_since is None
        else context.now - max(machine.unreachable_since, context.resumed_at)
    )
