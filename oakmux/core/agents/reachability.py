"""Whether a machine hears us: that its reports arrive does not say so.

A machine whose answers and orders are lost reports to one controller after the other, and its
session rises with every lease, while its room looks free and its tasks look started. A copy of a
report that is minutes old looks like a machine that is not there any more. Neither has shown
that it took an answer of ours; nothing is placed on a machine that has not.
"""

from oakmux import constants
from oakmux.core.context import Context, Machine
from oakmux.core.model import Heartbeat


def assess_new_machine(context: Context, machine: Machine, ours: bool, term: int) -> None:
    """Judge a machine that nobody here knew. A report to us proves nothing, whatever it says; a
    peer that has settled it under its own term has heard it before."""
    if ours or machine.fencing_token != term:
        machine.unreachable_signs = constants.UNREACHABLE_SIGNS
        machine.unreachable_since = context.now


def assess_heartbeat(
    context: Context, machine: Machine, heartbeat: Heartbeat, manager: str, term: int
) -> bool:
    """Judge a machine by a newer report than its last, before that is taken over; return whether
    it has just proven to hear us.

    One that took an answer stays with its controller and shows that one's term; one that did not
    goes on to the next controller, or its lease ends while it reports. A lease that ends in
    silence says nothing the first time: machines hang, and zones are cut. One that ends so again,
    with no answer taken in between, is a sign as well: a machine that is handed over to
    controllers which it can't reach comes back once a lease, in a new session each time.
    """
    if (heartbeat.agent_epoch, heartbeat.sequence) == machine.version:
        return False  # said again by its controller: nothing new of the machine
    if heartbeat.agent_epoch == machine.agent_epoch and manager == machine.manager:
        if machine.unreachable_signs and term and heartbeat.fencing_token == term:
            machine.unreachable_signs, machine.unreachable_since = 0, None
            return True
        return False
    spoke = context.now - machine.last_heartbeat_at < context.facts.workers.lease_s / 2
    if heartbeat.agent_epoch > machine.agent_epoch and spoke:
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
    """Whether nothing speaks against it that a machine hears us."""
    return machine.unreachable_signs < constants.UNREACHABLE_SIGNS


def unreachable_s(context: Context, machine: Machine) -> float:
    """Return the seconds for which a machine has not heard us, as far as this process saw."""
    return (
        0.0
        if machine.unreachable_since is None
        else context.now - max(machine.unreachable_since, context.resumed_at)
    )
