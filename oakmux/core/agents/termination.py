"""Termination proofs: a binding ends only with such a proof (rule `ran_twice`)."""

from collections.abc import Mapping
from typing import NamedTuple

from oakmux.core.context import Context
from oakmux.core.machine import Machine, Task
from oakmux.core.state.records import Binding
from oakmux.task_status import EXITED, LOST, REFUSED


class Termination(NamedTuple):
    """How a bound task ended."""

    reason: str
    """`done`, `lost`, `refused`, or another reason reported by the worker."""
    saved: bool
    """Whether the task saved a checkpoint when it was stopped."""


# The state of a task that its worker does not list.
_UNLISTED_STATE = ""
_UNLISTED = (_UNLISTED_STATE, "", False)

_LOST = Termination(LOST, False)
_REFUSED = Termination(REFUSED, False)


def prove_termination(
    context: Context,
    machine: Machine | None,
    task: Task,
    binding: Binding,
    visible_tasks: Mapping[Task, tuple[str, str, bool]],
) -> Termination | None:
    """Return how a bound task ended, or None if it may still run or start.

    Missing heartbeats prove nothing: the machine may be partitioned, or the start in flight.

    Args:
        context: the controller's shared state.
        machine: the bound machine as last reported, or None if it has not been reported.
        task: the task and the attempt that is bound.
        binding: the binding of the task.
        visible_tasks: the status of the machine's tasks, unresolved start commands included.
    """
    if binding.machine in context.replica.terminated_machines:
        return _LOST
    if machine is None or machine.agent_epoch < binding.agent_epoch:
        return None
    if machine.agent_epoch > binding.agent_epoch:
        return _LOST  # the worker killed all tasks of the earlier epoch
    state, reason, saved = visible_tasks.get(task, _UNLISTED)
    if state == EXITED:
        return Termination(reason, saved)
    if state == REFUSED and machine.manager_term == binding.term:
        return _REFUSED
    if state in (_UNLISTED_STATE, REFUSED) and machine.fencing_token > binding.term:
        return _LOST  # the worker refuses a start command under a term below its fencing token
    return None
