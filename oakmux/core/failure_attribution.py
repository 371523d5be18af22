"""Distinguishes jobs that fail on every machine from machines on which every job fails.

Failures are reported in heartbeats, so all controllers that receive them get the same result. The
result is not stored: a new process starts a faulty job a few more times.
"""

import math
from collections.abc import Callable, Collection, Mapping

import msgspec

from oakmux import constants
from oakmux.core.machine import Machine
from oakmux.core.state.records import Job
from oakmux.core.state.replica import Replica
from oakmux.logs import event
from oakmux.task_status import RUNNING


class FailureHistory(msgspec.Struct, eq=False):
    """The failures of one unfinished job. Times are local times in seconds."""

    # When a task failed last on each machine; the oldest entry comes first.
    failed_at: dict[str, float] = {}
    # The machines among these whose failures may be the job's own fault.
    unexplained: set[str] = set()
    # Since the job was last cleared: how many times tasks failed that had not been started
    # together, and when those that failed last began to.
    rounds: int = 0
    round_began_at: float = constants.NEVER
    # The longest time (s) for which a task ran before it failed.
    longest_run_s: float = 0.0
    # When the running tasks of the suspect job were last examined.
    examined_at: float = constants.NEVER


class FailureAttribution:
    """The machines on which tasks of unfinished jobs exited with an error.

    Args:
        replica: the records of all jobs.
        machines: the machines by name, as last heard.
        clock: returns the local time in seconds.
    """

    def __init__(
        self, replica: Replica, machines: Mapping[str, Machine], clock: Callable[[], float]
    ) -> None:
        self.replica = replica
        self.machines = machines
        self.clock = clock
        self.histories: dict[str, FailureHistory] = {}

    def record(self, job_id: str, machine: str, run_s: float = 0.0) -> None:
        """Record that a task of a job failed on a machine after it ran for `run_s` seconds."""
        now = self.clock()
        history = self.histories.setdefault(job_id, FailureHistory())
        was_suspected = len(history.unexplained) >= constants.SUSPECT_MACHINES
        history.failed_at.pop(machine, None)
        history.failed_at[machine] = now
        history.unexplained.add(machine)
        if now - history.round_began_at > constants.FAILURE_ROUND_S:
            history.rounds += 1
            history.round_began_at = now
        history.longest_run_s = max(history.longest_run_s, run_s)
        self._forget_old_failures(history, now)
        if not was_suspected and len(history.unexplained) >= constants.SUSPECT_MACHINES:
            event("job_suspected", job=job_id, machines=len(history.unexplained))
        if len(self.histories) > constants.MAX_CACHE_ENTRIES:
            self.histories = {
                other: history
                for other, history in self.histories.items()
                if other in self.replica.active
            }

    @staticmethod
    def _forget_old_failures(history: FailureHistory, now: float) -> None:
        """Drop failures that are too old or too many to say anything about the job."""
        for machine, failed_at in list(history.failed_at.items()):
            if (
                now - failed_at <= constants.FAILURE_MEMORY_S
                and len(history.failed_at) <= constants.MAX_FAILED_MACHINES
            ):
                break
            del history.failed_at[machine]
            history.unexplained.discard(machine)

    def is_suspect(self, job: Job) -> bool:
        """Whether a job itself seems to be at fault.

        A suspect job has failed on several machines, never completed a task, and none of its tasks
        has run for longer than those that failed. It is still tried, but it reserves and preempts
        nothing that others need.
        """
        history = self.histories.get(job.id)
        return (
            history is not None
            and len(history.unexplained) >= constants.SUSPECT_MACHINES
            and self._may_be_at_fault(job, history)
        )

    def starts_one_at_a_time(self, job: Job) -> bool:
        """Whether a job starts one task at a time: it is suspect, or all that it tried failed.

        A job that fails everywhere never becomes suspect where there are only one or two machines.
        """
        history = self.histories.get(job.id)
        return (
            history is not None
            and (
                len(history.unexplained) >= constants.SUSPECT_MACHINES
                or history.rounds >= constants.SUSPECT_ROUNDS
            )
            and self._may_be_at_fault(job, history)
        )

    def _may_be_at_fault(self, job: Job, history: FailureHistory) -> bool:
        """Whether nothing shows that a job which failed runs on some machine."""
        return not job.done_count() and not self._is_cleared(job, history)

    def _is_cleared(self, job: Job, history: FailureHistory) -> bool:
        """Clear a job once one of its tasks has run for long enough.

        The job then does not fail on every machine, so the machines are the likelier cause.
        """
        now = self.clock()
        if now - history.examined_at < constants.SUSPECT_EXAMINED_S:
            return False
        history.examined_at = now
        required_s = min(
            constants.CLEARING_RUN_MAX_S,
            max(
                constants.CLEARING_RUN_MIN_S,
                constants.CLEARING_RUN_FACTOR * history.longest_run_s,
            ),
        )
        if not self._has_run_for(job, required_s):
            return False
        history.unexplained.clear()
        history.rounds = 0
        event("job_cleared", job=job.id, run_s=round(required_s, 1))
        return True

    def _has_run_for(self, job: Job, required_s: float) -> bool:
        """Whether a bound task was reported running for at least `required_s` seconds."""
        for block in job.blocks.values():
            for index, binding in block.bindings.items():
                machine = self.machines.get(binding.machine)
                task = (f"{job.id}/{index}", binding.attempt)
                if (
                    machine is not None
                    and machine.tasks.get(task, ("",))[0] == RUNNING
                    and machine.last_heartbeat_at - machine.task_started_at.get(task, math.inf)
                    >= required_s
                ):
                    return True
        return False

    def excluded_machines(self, job: Job) -> Collection[str]:
        """Return the machines on which a job is not started, since a task failed there lately.

        Each is excluded for EXCLUSION_S, in which the job may show elsewhere that it runs. None is
        excluded if the job itself seems to be at fault, or if more than half of all machines are.
        """
        history = self.histories.get(job.id)
        if history is None:
            return ()
        since = self.clock() - constants.EXCLUSION_S
        excluded = {name for name, failed_at in history.failed_at.items() if failed_at > since}
        if len(excluded) > max(1, len(self.machines) // 2) or self.is_suspect(job):
            return ()
        return excluded

    def last_failure_s(self, machine: Machine) -> float:
        """Return the seconds since a task of the jobs that failed in a row on a machine failed.

        0 if the time is not known.
        """
        failed_at = [
            history.failed_at[machine.name]
            for job_id in machine.errors
            if (history := self.histories.get(job_id)) is not None
            and machine.name in history.failed_at
        ]
        return self.clock() - max(failed_at) if failed_at else 0.0

    def counts_against_machine(self, job_id: str, machine: str) -> bool:
        """Whether a job's failure on a machine counts against the machine.

        It does not if the job has failed on other machines too and is not known to run anywhere.
        Otherwise three faulty jobs would cause the quarantine of every machine in turn.
        """
        job = self.replica.jobs.get(job_id)
        history = self.histories.get(job_id)
        elsewhere = set() if history is None else history.unexplained - {machine}
        return not elsewhere or job is None or job.done_count() > 0
