"""Team quotas: the limit on the resources that a team may use, and the guarantee that it gets."""

from collections.abc import Mapping

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.resources import NO_USAGE, Usage
from oakmux.core.state.records import Job

TeamUsage = Mapping[str, Usage]
"""Resources that the tasks of each team use."""

UNKNOWN_TEAM_SHARE = 1e9
"""Share of its guarantee that a team missing from the settings is assumed to use."""


def exceeds_limit(context: Context, team: str, cpus: float, gpus: float) -> bool:
    """Whether a team's usage would exceed its limit; an unknown team may use nothing."""
    quota = context.teams.get(team)
    if quota is None:
        return True
    return bool(
        (quota.cpus_max and cpus > quota.cpus_max + constants.EPSILON)
        or (quota.gpus_max and gpus > quota.gpus_max + constants.EPSILON)
    )


def tasks_left(context: Context, team: str, spec: JobSpec, usage: TeamUsage) -> int:
    """Return how many more tasks of a job its team's limit allows; without a limit, all tasks."""
    quota = context.teams.get(team)
    if quota is None:
        return 0
    cpus, gpus = usage.get(team, NO_USAGE)
    counts = [
        int((limit - used + constants.EPSILON) / need)
        for limit, used, need in (
            (quota.cpus_max, cpus, spec.cpus),
            (quota.gpus_max, gpus, spec.gpus),
        )
        if limit and need
    ]
    return max(0, min(counts, default=spec.tasks))


def infeasible_reason(context: Context, spec: JobSpec) -> str | None:
    """Return why a job can never run, or None if it can."""
    return disallowed_reason(context, spec) or unplaceable_reason(context, spec)


def disallowed_reason(context: Context, spec: JobSpec) -> str | None:
    """Return why a job can never run whatever the cloud offers, or None."""
    if spec.team not in context.teams:
        return "unknown team"
    if spec.zone is not None and spec.zone not in context.facts.zones:
        return "unknown zone"
    concurrent = _concurrent_tasks(spec)
    if exceeds_limit(context, spec.team, spec.cpus * concurrent, spec.gpus * concurrent):
        return "more than the team's limit"
    return None


def unplaceable_reason(context: Context, spec: JobSpec) -> str | None:
    """Return why a job fits no machine of the known types in its zones, or None if it does."""
    kinds = [kind for name, kind in context.types.items() if context.fits_type(spec, name)]
    if not kinds:
        return "a task fits no allowed machine type"
    zones = {zone for kind in kinds for zone in kind.zones if spec.zone in (None, zone)}
    if not zones:
        return "no allowed machine type is there in its zone"
    if spec.spread and _concurrent_tasks(spec) > 1 and (spec.one_zone or len(zones) < 2):
        return "tasks that run at the same time can't be spread over one zone"
    return None


def _concurrent_tasks(spec: JobSpec) -> int:
    """Return the least number of a job's tasks that must run at the same time."""
    return 1 if spec.kind == "array" else spec.tasks


def usage(context: Context) -> dict[str, Usage]:
    """Return the resources that each team's tasks use by the records; not to be modified."""
    return context.replica.usage.by_team


def is_within_guarantee(context: Context, team: str, cpus: float, gpus: float) -> bool:
    """Whether a team's usage lies within its guarantee."""
    quota = context.teams.get(team)
    if quota is None or not (quota.cpus or quota.gpus):
        return False
    return (not quota.cpus or cpus <= quota.cpus + constants.EPSILON) and (
        not quota.gpus or gpus <= quota.gpus + constants.EPSILON
    )


def is_guaranteed(
    context: Context, job: Job, spec: JobSpec, usage: TeamUsage, count: int = 1
) -> bool:
    """Whether `count` more tasks of a job stay within its team's guarantee."""
    cpus, gpus = usage.get(job.team, NO_USAGE)
    return is_within_guarantee(
        context, job.team, cpus + count * spec.cpus, gpus + count * spec.gpus
    )


def teams_over_guarantee(context: Context, job: Job, spec: JobSpec, usage: TeamUsage) -> list[str]:
    """Return the other teams whose work a job may preempt whatever its priority.

    These teams use more than their guarantee. The list is empty if the job exceeds the guarantee
    of its own team.
    """
    if not is_guaranteed(context, job, spec, usage, spec.tasks if spec.kind == "gang" else 1):
        return []
    return [
        team
        for team in context.teams
        if team != job.team and not is_within_guarantee(context, team, *usage.get(team, NO_USAGE))
    ]


def guarantee_share(context: Context, team: str, usage: TeamUsage) -> float:
    """Return a team's usage as a share of its guarantee, or of its limit if it has none.

    The larger share of CPUs and GPUs counts. Fairness between teams is based on it.
    """
    cpus, gpus = usage.get(team, NO_USAGE)
    quota = context.teams.get(team)
    if quota is None:
        return UNKNOWN_TEAM_SHARE
    shares = [
        used / entitled
        for used, entitled in (
            (cpus, quota.cpus or quota.cpus_max),
            (gpus, quota.gpus or quota.gpus_max),
        )
        if entitled
    ]
    return max(shares, default=0.0)
