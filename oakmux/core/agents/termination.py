"""The proof that a bound task is gone, the only ground on which a binding ends (R ran_twice)."""

from oakmux.core.context import Context, Machine, Task
from oakmux.core.state.records import Binding


def gone(
    context: Context,
    machine: Machine | None,
    task: Task,
    binding: Binding,
    visible_tasks: dict[Task, tuple[str, str, bool]],
) -> tuple[str, bool] | None:
    """Return (why, saved) if a bound task is proven gone from its machine, else None."""
    if binding.machine in context.replica.terminated_machines:
        return "lost", False
    if machine is None or machine.agent_epoch < binding.agent_epoch:
        return None
    if machine.agent_epoch > binding.agent_epoch:
        return "lost", False
    state = visible_tasks.get(task)
    if state is None:
        # No start under an older term can be carried out once the worker has a newer token.
        return ("lost", False) if machine.fencing_token > binding.term else None
    if state[0] == "exited":
        return state[1], state[2]
    if state[0] == "refused" and machine.manager_term == binding.term:
        return "refused", False
    return None
