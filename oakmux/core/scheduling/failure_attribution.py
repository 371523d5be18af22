"""Distinguishes jobs that fail on every machine from machines on which every job fails.

Failures are reported in heartbeats, so all controllers that receive them get the same result. The
result is not stored: a new process starts a faulty job a few more times.
"""

from oakmux import constants
from oakmux.core.state.records import Job
from oakmux.core.state.replica import Replica


class FailureAttribution:
    """The machines on which tasks of unfinished jobs exited with an error."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.failed_on: dict[str, set[str]] = {}

    def record(self, job_id: str, machine: str) -> None:
        """Record that a task of a job failed on a machine."""
        machines = self.failed_on.setdefault(job_id, set())
        if len(machines) < constants.SUSPECT_MACHINES + 1:
            machines.add(machine)
        if len(self.failed_on) > constants.MAX_CACHE_ENTRIES:
            self.failed_on = {
                other: machines
                for other, machines in self.failed_on.items()
                if other in self.replica.active
            }

    def is_suspect(self, job: Job) -> bool:
        """Whether a job itself seems to be at fault.

        A suspect job has failed on several machines and never completed a task. It is still
        tried, but it reserves and preempts nothing that others need.
        """
        return (
            len(self.failed_on.get(job.id, ())) >= constants.SUSPECT_MACHINES
            and not job.done_count()
        )

    def counts_against_machine(self, job_id: str, machine: str) -> bool:
        """Whether a job's failure on a machine counts against the machine.

        It does not if the job has failed on other machines too and never completed a task.
        Otherwise three faulty jobs would cause the quarantine of every machine in turn.
        """
        job = self.replica.jobs.get(job_id)
        elsewhere = self.failed_on.get(job_id, set()) - {machine}
        return not elsewhere or job is None or job.done_count() > 0
