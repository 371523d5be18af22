"""Limits and guarantees of teams."""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.state.records import Job


def exceeds_limit(context: Context, team: str, cpus: float, gpus: float) -> bool:
    """Whether use of this much would break the team's limit."""
    limits = context.teams.get(team)
    if limits is None:
        return True
    return bool(
        (limits.cpus_max and cpus > limits.cpus_max + constants.EPSILON)
        or (limits.gpus_max and gpus > limits.gpus_max + constants.EPSILON)
    )


def tasks_left(
    context: Context, team: str, spec: JobSpec, used: dict[str, tuple[float, float]]
) -> int:
    """Return how many more tasks of a job its team's limit allows."""
    limits = context.teams.get(team)
    if limits is None:
        return 0
    cpus, gpus = used.get(team, (0.0, 0.0))
    counts = [
        int((most - use + constants.EPSILON) / need)
        for most, use, need in (
            (limits.cpus_max, cpus, spec.cpus),
            (limits.gpus_max, gpus, spec.gpus),
        )
        if most and need
    ]
    return max(0, min(counts, default=spec.tasks))


def infeasible_reason(context: Context, spec: JobSpec) -> str | None:
    """Return why a job can never run, or None."""
    if spec.team not in context.teams:
        return "unknown team"
    if spec.zone is not None and spec.zone not in context.facts.zones:
        return "unknown zone"
    kinds = [kind for name, kind in context.types.items() if context.fits_type(spec, name)]
    if not kinds:
        return "a task fits no allowed machine type"
    zones = {zone for kind in kinds for zone in kind.zones if spec.zone in (None, zone)}
    if not zones:
        return "no allowed machine type is there in its zone"
    count = 1 if spec.kind == "array" else spec.tasks
    if spec.spread and count > 1 and (spec.one_zone or len(zones) < 2):
        return "tasks that run at the same time can't be spread over one zone"
    if exceeds_limit(context, spec.team, spec.cpus * count, spec.gpus * count):
        return "more than the team's limit"
    return None


def usage(context: Context) -> dict[str, tuple[float, float]]:
    """Return what each team's tasks use by the records: {team: (cpus, gpus)}; only to be read."""
    return context.replica.team_usage


def within_guarantee(context: Context, team: str, cpus: float, gpus: float) -> bool:
    """Whether this use lies within what the team is guaranteed."""
    limits = context.teams.get(team)
    if limits is None or not (limits.cpus or limits.gpus):
        return False
    return (not limits.cpus or cpus <= limits.cpus + constants.EPSILON) and (
        not limits.gpus or gpus <= limits.gpus + constants.EPSILON
    )


def inside(
    context: Context, job: Job, spec: JobSpec, used: dict[str, tuple[float, float]], count: int = 1
) -> bool:
    """Whether so many more tasks of a job stay within what its team is guaranteed."""
    cpus, gpus = used.get(job.team, (0.0, 0.0))
    return within_guarantee(context, job.team, cpus + count * spec.cpus, gpus + count * spec.gpus)


def beyond(
    context: Context, job: Job, spec: JobSpec, used: dict[str, tuple[float, float]]
) -> list[str]:
    """Return the other teams whose work must give way to a job, since they use more than they
    are guaranteed and it is within its own team's guarantee."""
    if not inside(context, job, spec, used, spec.tasks if spec.kind == "gang" else 1):
        return []
    return [
        team
        for team in context.teams
        if team != job.team and not within_guarantee(context, team, *used.get(team, (0.0, 0.0)))
    ]


def share(context: Context, team: str, used: dict[str, tuple[float, float]]) -> float:
    """Return a team's use as a share of its guarantee, for fairness between teams."""
    cpus, gpus = used.get(team, (0.0, 0.0))
    limits = context.teams.get(team)
    if limits is None:
        return 1e9
    parts = [
        use / have
        for use, have in (
            (cpus, limits.cpus or limits.cpus_max),
            (gpus, limits.gpus or limits.gpus_max),
        )
        if have
    ]
    return max(parts, default=0.0)
