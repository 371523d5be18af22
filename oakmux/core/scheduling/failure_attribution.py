"""Jobs that fail wherever they start: a mistake of their own, no fault of the machines.

What is known of failures is the news of machines, so that every controller that hears it comes to
the same answer. It is forgotten with the process: the next one tries such a job a few times more.
"""

from oakmux import constants
from oakmux.core.state.records import Job
from oakmux.core.state.replica import Replica


class FailureAttribution:
    """On which machines tasks of unfinished jobs ended with an error."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.where: dict[str, set[str]] = {}

    def note(self, job_id: str, machine: str) -> None:
        """A task of a job failed on a machine."""
        names = self.where.setdefault(job_id, set())
        if len(names) < constants.SUSPECT_MACHINES + 1:
            names.add(machine)
        if len(self.where) > constants.MAX_QUEUE:
            self.where = {
                job: found for job, found in self.where.items() if job in self.replica.active
            }

    def suspect(self, job: Job) -> bool:
        """Whether a job has failed on several machines and never completed a task: it is tried on,
        but holds and stops nothing that others need."""
        return (
            len(self.where.get(job.id, ())) >= constants.SUSPECT_MACHINES and not job.done_count()
        )

    def blames(self, job_id: str, machine: str) -> bool:
        """Whether a job's failure on a machine speaks against the machine: not if the job fails
        elsewhere as well and has never completed a task. Else three jobs with mistakes would
        brand every machine in turn."""
        job = self.replica.jobs.get(job_id)
        elsewhere = self.where.get(job_id, set()) - {machine}
        return not elsewhere or job is None or job.done_count() > 0
