"""Whether a machine hears us: that its reports arrive does not say so.

A machine whose answers and orders are lost reports to one controller after the other, and its
session rises with every lease, while its room looks free and its tasks look started. A copy of a
report that is minutes old looks like a machine that is not there any more. Neither has shown
that it took an answer of ours; nothing is placed on a machine that has not.
"""

from oakmux import constants
from oakmux.core.context import Context, Machine
from oakmux.wire import Report


def first_word(context: Context, machine: Machine, ours: bool, term: int) -> None:
    """Judge a machine that nobody here knew. A report to us proves nothing, whatever it says; a
    peer that has settled it under its own term has heard it before."""
    if ours or machine.fencing_token != term:
        machine.unheard = constants.UNHEARD_MOST
        machine.deaf_since = context.now


def next_word(context: Context, machine: Machine, report: Report, keeper: str, term: int) -> bool:
    """Judge a machine by a newer report than its last, before that is taken over; return whether
    it has just proven to hear us.

    One that took an answer stays with its controller and shows that one's term; one that did not
    goes on to the next controller, or its lease ends while it reports. A lease that ends in
    silence says nothing the first time: machines hang, and zones are cut. One that ends so again,
    with no answer taken in between, is a sign as well: a machine that is handed over to
    controllers which it can't reach comes back once a lease, in a new session each time.
    """
    if (report.agent_epoch, report.sequence) == machine.version:
        return False  # said again by its controller: nothing new of the machine
    if report.agent_epoch == machine.agent_epoch and keeper == machine.keeper:
        if machine.unheard and term and report.fencing_token == term:
            machine.unheard, machine.deaf_since = 0, None
            return True
        return False
    spoke = context.now - machine.heard < context.facts.workers.lease_s / 2
    if report.agent_epoch > machine.agent_epoch and spoke:
        machine.unheard = constants.UNHEARD_MOST
    elif report.agent_epoch > machine.agent_epoch or keeper != machine.keeper:
        machine.unheard += 1
    if machine.unheard >= constants.UNHEARD_MOST and machine.deaf_since is None:
        machine.deaf_since = context.now
    return False


def hears(machine: Machine) -> bool:
    """Whether nothing speaks against it that a machine hears us."""
    return machine.unheard < constants.UNHEARD_MOST


def deaf_s(context: Context, machine: Machine) -> float:
    """Return the seconds for which a machine has not heard us, as far as this process saw."""
    return (
        0.0
        if machine.deaf_since is None
        else context.now - max(machine.deaf_since, context.resumed_at)
    )
