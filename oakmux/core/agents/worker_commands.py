"""Commands to workers: starts that the records say, stops, and forgetting what is over."""

from collections.abc import Callable

from oakmux import constants
from oakmux.codec.workers import command_body
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.tracked_workers import TrackedWorker, WorkerTable
from oakmux.core.context import Context, Machine, Task, event
from oakmux.core.leadership.leadership import Leadership
from oakmux.core.model import CommandOutcome, Heartbeat
from oakmux.core.state.records import Binding, Job


class WorkerCommands:
    """Gives commands, in answers to reports and straight to workers."""

    def __init__(
        self,
        context: Context,
        workers: WorkerTable,
        cancellations: CancellationLog,
        leadership: Leadership,
    ) -> None:
        self.context = context
        self.workers = workers
        self.cancellations = cancellations
        self.leadership = leadership
        # Takes a heartbeat that answers direct commands; set by the agent manager.
        self.take: Callable[[TrackedWorker, Heartbeat], Machine]
        # Machines where a start is held back until others of its gang have their image.
        self.with_delayed_starts: set[str] = set()

    def commands(
        self, tracked: TrackedWorker, machine: Machine, forget: bool
    ) -> tuple[list[dict], list[Task]]:
        """Return the commands that a machine needs now, and which tasks they start."""
        context = self.context
        commands: list[dict] = []
        starts: list[Task] = []
        bound = context.replica.bindings.by_machine.get(machine.name, {})
        settled = machine.fencing_token == context.term
        names: set[Task] = set()
        for (job_id, index), binding in bound.items():
            task = (f"{job_id}/{index}", binding.attempt)
            names.add(task)
            job = context.replica.jobs.get(job_id)
            if job is None:
                continue
            ended = job.final or job_id in self.cancellations.cancelled
            state = machine.tasks.get(task)
            if state is not None:
                if self._must_checkpoint(machine, job, state[0]):
                    tracked.stops.setdefault(task, context.now)
                if state[0] != "exited" and (ended or binding.stop or task in tracked.stops):
                    self._stop(tracked, machine, commands, task, state[0], job, ended)
                continue
            if (
                task in tracked.unresolved_starts
                or task in tracked.answered_starts
                or binding.term != context.term
            ):
                continue
            if binding.agent_epoch != machine.agent_epoch or not settled:
                continue
            if ended or binding.stop:
                if task not in tracked.refused_starts:
                    tracked.refused_starts.add(task)
                    context.changed_workers.add(machine.name)
            elif self._waits_for_gang_images(tracked, machine, job, binding, task):
                self.with_delayed_starts.add(machine.name)
            elif task not in tracked.refused_starts and self.cancellations.store_fresh():
                commands.append(command_body("start", *task))
                starts.append(task)
        commands += self.stop_cancelled(tracked, machine, names)
        tracked.refused_starts &= names
        tracked.delayed_since = {
            task: since for task, since in tracked.delayed_since.items() if task in names
        }
        for task in [task for task in tracked.stops if task not in machine.tasks]:
            del tracked.stops[task]
        if forget:
            self._clean_up_unbound(tracked, machine, commands, names)
        return commands, starts

    def stop_cancelled(
        self, tracked: TrackedWorker, machine: Machine, besides: set[Task]
    ) -> list[dict]:
        """Return stops of all tasks of cancelled jobs on a machine (R ran_cancelled), but some.

        Our records may lack them: they were bound after the state service had refused us, and the
        worker came to us meanwhile. To a worker that has seen a term above ours they go under its
        own: with the state service out no newer one comes, and its lease is renewed all the while;
        whoever may command it besides, a stop of what a user was told is cancelled undoes nothing.
        """
        commands: list[dict] = []
        for task, state in machine.tasks.items():
            job_id = task[0].partition("/")[0]
            if (
                task not in besides
                and state[0] != "exited"
                and self.cancellations.is_cancelled(job_id)
            ):
                self._stop(tracked, machine, commands, task, state[0], None, True)
        return commands

    def late_start_possible(self, tracked: TrackedWorker, machine: Machine) -> bool:
        """Whether a start of a cancelled job may still be on its way when it must be gone.

        Its answer was lost, or another controller gave it. A newer term would rule it out, and
        none can be had without the state service: then the worker's session has to end in time.
        """
        context = self.context
        if self.cancellations.store_fresh():
            return False
        if (
            machine.fencing_token > context.term
            and tracked.attached_at + context.facts.workers.lease_s > context.store_seen_at
            and self.cancellations.cancelled_unseen_for(self.cancellations.staleness_bound_s())
        ):
            # Whoever kept it before us, and gave orders for a lease after that at the most, may
            # have given a start of a job that was cancelled since, whose bindings we never saw.
            return True
        for (job_id, index), binding in context.replica.bindings.by_machine.get(
            machine.name, {}
        ).items():
            task = (f"{job_id}/{index}", binding.attempt)
            sent = binding.term != context.term or task in tracked.unresolved_starts
            if (
                sent
                and binding.agent_epoch == machine.agent_epoch
                and machine.fencing_token <= binding.term
                and task not in machine.tasks
                and self.cancellations.is_cancelled(job_id)
                and context.now - self.cancellations.cancelled.get(job_id, constants.NEVER)
                >= self.cancellations.staleness_bound_s()
            ):
                return True
        return False

    def _waits_for_gang_images(
        self, tracked: TrackedWorker, machine: Machine, job: Job, binding: Binding, task: Task
    ) -> bool:
        """Whether a gang's task that has its image should be started later, since others fetch it.

        The task would wait for them, `gang_wait_s` at most, and end with the whole attempt: a
        fetch that takes longer was so given up and begun anew for ever.
        """
        context, spec = self.context, job.spec
        if spec is None or not spec.joint or spec.image not in machine.images:
            return False
        slowest = context.fetch_s(spec, machine.type) * constants.FETCH_TIME_FACTOR
        patience = slowest - context.facts.workers.gang_wait_s * constants.GANG_WAIT_SHARE
        if context.now - tracked.delayed_since.setdefault(task, context.now) >= patience:
            return False
        for block in job.blocks.values():
            for index, other in block.bound.items():
                if other.attempt != binding.attempt or other.machine == machine.name:
                    continue
                there = context.machines.get(other.machine)
                state = there.tasks.get((f"{job.id}/{index}", other.attempt)) if there else None
                if there is None:
                    continue
                if state is None and spec.image not in there.images:
                    return True
                # Of a start on its way nobody can say yet whether the image is there.
                if state is not None and state[0] in ("fetching", "starting"):
                    return True
        return False

    def _must_checkpoint(self, machine: Machine, job: Job, state: str) -> bool:
        """Whether a task has to save now, since the cloud is about to take its machine.

        The tasks of a larger gang have to be stopped together: their owner sees to that.
        """
        spec = job.spec
        if (
            machine.notice_at is None
            or spec is None
            or not spec.checkpoint_s
            or state != "running"
            or spec.tasks > 1
        ):
            return False
        worker_times = self.context.facts.workers
        return (
            machine.notice_at - self.context.now
            <= spec.save_s + 2 * worker_times.heartbeat_interval_s
        )

    def _stop(
        self,
        tracked: TrackedWorker,
        machine: Machine,
        commands: list[dict],
        task: Task,
        state: str,
        job: Job | None,
        ended: bool,
    ) -> None:
        grace = 0.0 if ended or job is None or job.spec is None else job.spec.save_s
        if state == "saving" and not ended:
            return
        commands.append(command_body("stop", task[0], task[1], grace))
        tracked.stops.setdefault(task, self.context.now)
        event("stop", task=task[0], attempt=task[1], machine=machine.name, grace=grace)

    def _clean_up_unbound(
        self, tracked: TrackedWorker, machine: Machine, commands: list[dict], names: set[Task]
    ) -> None:
        """Forget exited tasks that the records have let go of; stop live ones."""
        context = self.context
        orphans = {
            t: tracked.unbound_since.get(t, context.now) for t in machine.tasks if t not in names
        }
        tracked.unbound_since = orphans
        if not self.cancellations.store_fresh():
            return
        for task, since in orphans.items():
            # Our replica may lag behind the agent manager that started the task: wait a while.
            if machine.tasks[task][0] == "exited":
                if (
                    context.now - since >= constants.PEER_HEARTBEAT_S
                    and task not in tracked.unresolved_starts
                ):
                    commands.append(command_body("forget", *task))
            elif context.now - since >= constants.ORPHAN_GRACE_S:
                commands.append(command_body("stop", task[0], task[1], 0.0))

    def reconcile(self, name: str) -> None:
        """Send starts and stops straight to a worker, when there are any."""
        context = self.context
        tracked = self.workers.tracked.get(name)
        machine = context.machines.get(name)
        if (
            tracked is None
            or machine is None
            or machine.manager != context.label
            or tracked.command_in_flight
            or context.now < tracked.next_command_at
            or not context.term
            or machine.fencing_token != context.term
            or context.now - machine.last_heartbeat_at > context.facts.workers.lease_s
        ):
            return
        commands, starts = self.commands(tracked, machine, forget=False)
        if not commands:
            return
        term = context.term
        for task in starts:
            tracked.unresolved_starts[task] = term
        context.changed_workers.add(name)
        tracked.command_in_flight = True
        context.call(
            lambda outcome, heartbeat: self._commands_answered(
                name, starts, term, outcome, heartbeat
            ),
            "orders",
            machine.addr,
            term,
            machine.agent_epoch,
            commands,
        )

    def _commands_answered(
        self, name: str, starts: list[Task], term: int, outcome: str, heartbeat: Heartbeat | None
    ) -> None:
        context = self.context
        tracked = self.workers.tracked.setdefault(name, TrackedWorker())
        tracked.command_in_flight = False
        if outcome == CommandOutcome.LOST:
            # They may still be carried out, minutes later: only a newer term settles that.
            tracked.next_command_at = context.now + constants.COMMAND_TIMEOUT_S
            self.leadership.need_term_above(term)
            return
        for task in starts:
            if tracked.unresolved_starts.get(task) == term:
                del tracked.unresolved_starts[task]
        if outcome == CommandOutcome.UNSENT:
            tracked.next_command_at = context.now + constants.COMMAND_TIMEOUT_S
        if heartbeat is not None and heartbeat.machine == name:
            machine = context.machines.get(name)
            if machine is None or (heartbeat.agent_epoch, heartbeat.sequence) > machine.version:
                self.take(tracked, heartbeat)
        context.changed_workers.add(name)
        if heartbeat is not None and heartbeat.fencing_token > context.term:
            self.leadership.need_term_above(heartbeat.fencing_token)

    def move(self, name: str, task: str, attempt: int) -> None:
        """Stop a service so that its owner starts it on another machine."""
        tracked = self.workers.tracked.get(name)
        machine = self.context.machines.get(name)
        if tracked is not None and machine is not None and (task, attempt) in machine.tasks:
            tracked.stops[(task, attempt)] = self.context.now
            self.workers.to_reconcile.add(name)
