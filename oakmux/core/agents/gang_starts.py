"""Delayed starts of gang tasks whose gang still fetches its image elsewhere."""

from oakmux import constants
from oakmux.core.agents.tracked_workers import TrackedWorker
from oakmux.core.context import Context
from oakmux.core.machine import Machine, Task
from oakmux.core.state.records import Binding, Job
from oakmux.task_status import FETCHING, STARTING


def waits_for_gang_images(
    context: Context,
    tracked: TrackedWorker,
    machine: Machine,
    job: Job,
    binding: Binding,
    task: Task,
) -> bool:
    """Whether to delay a gang task that has its image while other tasks still fetch theirs.

    A started task waits at most `gang_wait_s` for the others and then ends the attempt of the
    whole gang. A longer fetch would be aborted and restarted for ever.
    """
    spec = job.spec
    if spec is None or not spec.gang_scheduled or spec.image not in machine.images:
        return False
    longest_fetch_s = context.fetch_s(spec, machine.type) * constants.FETCH_TIME_FACTOR
    max_delay_s = longest_fetch_s - context.facts.workers.gang_wait_s * constants.GANG_WAIT_SHARE
    if context.now - tracked.delayed_since.setdefault(task, context.now) >= max_delay_s:
        return False
    for block in job.blocks.values():
        for index, other in block.bindings.items():
            if other.attempt != binding.attempt or other.machine == machine.name:
                continue
            other_machine = context.machines.get(other.machine)
            if other_machine is None:
                continue
            state = other_machine.tasks.get((f"{job.id}/{index}", other.attempt))
            if state is None and spec.image not in other_machine.images:
                return True
            # While the start is in flight, it is unknown whether the image is present.
            if state is not None and state[0] in (FETCHING, STARTING):
                return True
    return False
