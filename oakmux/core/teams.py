"""Limits and guarantees of teams."""

from oakmux import constants
from oakmux.core.jobs import Job
from oakmux.core.world import World
from oakmux.wire import JobSpec


def beyond_limit(world: World, team: str, cpus: float, gpus: float) -> bool:
    """Whether use of this much would break the team's limit."""
    limits = world.teams.get(team)
    if limits is None:
        return True
    return bool((limits.cpus_max and cpus > limits.cpus_max + constants.EPSILON)
                or (limits.gpus_max and gpus > limits.gpus_max + constants.EPSILON))


def never_fits(world: World, spec: JobSpec) -> str | None:
    """Return why a job can never run, or None."""
    if spec.team not in world.teams:
        return "unknown team"
    zones = world.facts.zones
    if spec.zone is not None and spec.zone not in zones:
        return "unknown zone"
    if not any(world.fits_type(spec, name) for name in world.types):
        return "a task fits no allowed machine type"
    count = 1 if spec.kind == "array" else spec.tasks
    if beyond_limit(world, spec.team, spec.cpus * count, spec.gpus * count):
        return "more than the team's limit"
    return None


def usage(world: World) -> dict[str, tuple[float, float]]:
    """Return what the records say each team's tasks use: {team: (cpus, gpus)}; not to be changed.

    It goes over what is bound, not over all jobs, and only when a binding has changed.
    """
    replica = world.replica
    if world.used_version != replica.bindings_version:
        used: dict[str, tuple[float, float]] = {}
        for bound in replica.by_machine.values():
            for job_id, _ in bound:
                add(used, replica.jobs.get(job_id), 1)
        world.used, world.used_version = used, replica.bindings_version
    return world.used


def add(used: dict[str, tuple[float, float]], job: Job | None, count: int) -> None:
    """Add `count` tasks of a job to its team's use."""
    if job is not None and job.spec is not None:
        cpus, gpus = used.get(job.team, (0.0, 0.0))
        used[job.team] = (cpus + count * job.spec.cpus, gpus + count * job.spec.gpus)


def within_guarantee(world: World, team: str, cpus: float, gpus: float) -> bool:
    """Whether this use lies within what the team is guaranteed."""
    limits = world.teams.get(team)
    if limits is None or not (limits.cpus or limits.gpus):
        return False
    return ((not limits.cpus or cpus <= limits.cpus + constants.EPSILON)
            and (not limits.gpus or gpus <= limits.gpus + constants.EPSILON))


def share(world: World, team: str, used: dict[str, tuple[float, float]]) -> float:
    """Return a team's use as a share of its guarantee, for fairness between teams."""
    cpus, gpus = used.get(team, (0.0, 0.0))
    limits = world.teams.get(team)
    if limits is None:
        return 1e9
    parts = [use / have for use, have in ((cpus, limits.cpus or limits.cpus_max),
                                          (gpus, limits.gpus or limits.gpus_max)) if have]
    return max(parts, default=0.0)
