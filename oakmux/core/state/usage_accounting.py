"""Resource usage of teams, computed from the recorded bindings."""

from oakmux.core.resources import NO_USAGE, Usage
from oakmux.core.state.records import Job


class UsageAccounting:
    """Resources used by the bound tasks of each team; updated with each task block change."""

    def __init__(self) -> None:
        self.by_team: dict[str, Usage] = {}
        # The usage of jobs that end by themselves (all but services), by team and priority.
        self.preemptible: dict[str, dict[int, Usage]] = {}

    def add(self, job: Job, tasks: int) -> None:
        """Add bound tasks of a job; a negative number subtracts."""
        if not tasks:
            return
        added_cpus, added_gpus = tasks * job.resources.cpus, tasks * job.resources.gpus
        cpus, gpus = self.by_team.get(job.team, NO_USAGE)
        self.by_team[job.team] = Usage(cpus + added_cpus, gpus + added_gpus)
        if not job.service:
            by_priority = self.preemptible.setdefault(job.team, {})
            cpus, gpus = by_priority.get(job.priority, NO_USAGE)
            by_priority[job.priority] = Usage(cpus + added_cpus, gpus + added_gpus)
