"""Placement rules: which machine suits a task, and which running work may be preempted for it."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from pyroaring import BitMap

from oakmux import constants
from oakmux.core.agents.preemption import checkpoint_cost_s, plan_preemption
from oakmux.core.context import Context
from oakmux.core.machine import Machine
from oakmux.core.model import JobSpec, MachineType, Priority
from oakmux.core.peer_messages import Reserve
from oakmux.core.resources import Resources, task_capacity
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.machine_index import MachineIndex, SampledMachine
from oakmux.core.scheduling.pending_job import CapacityOffer, PendingJob
from oakmux.core.state.records import Job

Preference = tuple[bool, bool, bool, bool, bool, float]
"""Sort key of machines for a task, the lowest first; see `preference`."""


class PreemptionRequest(NamedTuple):
    """A job's request to preempt work on `wanted` of the `candidates`.

    Only machines are chosen where preemption costs less than `max_cost_s` seconds of lost work
    and image fetch.
    """

    job: Job
    spec: JobSpec
    state: PendingJob
    candidates: BitMap
    wanted: int
    max_cost_s: float


class PreemptionOption(NamedTuple):
    """A machine where work can be preempted, ordered by cost (s), then at random.

    `save_s` is how long the preempted tasks take to save a checkpoint.
    """

    cost_s: float
    tie_break: float
    machine: Machine
    save_s: float


def image_fetches(context: Context, spec: JobSpec, machine: Machine) -> tuple[bool, list[Job]]:
    """Return the state of a machine's image fetches for a task.

    The result is whether the machine will have the image of `spec` without another fetch, and the
    jobs for which it fetches other images. Bindings that the heartbeat doesn't show yet count too.
    Otherwise tasks bound in succession to a new machine would fetch in parallel, each for twice as
    long.
    """
    has_image = spec.image in machine.images
    others: list[Job] = []
    for (job_id, index), binding in context.replica.bindings.by_machine.get(
        machine.name, {}
    ).items():
        state = machine.tasks.get((f"{job_id}/{index}", binding.attempt))
        job = context.replica.jobs.get(job_id)
        if job is None or job.spec is None or binding.agent_epoch != machine.agent_epoch:
            continue
        if state is None and job.spec.image == spec.image:
            has_image = True
        elif (
            state[0] == "fetching" if state is not None else (job.spec.image not in machine.images)
        ):
            others.append(job)
    return has_image, others


def fetch_s(context: Context, spec: JobSpec, machine: Machine) -> float:
    """Estimate the seconds until a machine has the job's image.

    Concurrent fetches share the machine's bandwidth.
    """
    has_image, others = image_fetches(context, spec, machine)
    return 0.0 if has_image else context.fetch_s(spec, machine.type) * (1 + len(others))


def strands_gpus(spec: JobSpec, kind: MachineType, free: Resources) -> bool:
    """Whether a task without GPUs would take CPUs that a machine's free GPUs need.

    Each GPU of a machine needs its equal share of the machine's CPUs.
    """
    return (
        not spec.gpus
        and free.gpus > constants.EPSILON
        and (free.cpus - spec.cpus) * kind.gpus < free.gpus * kind.cpus - constants.EPSILON
    )


def zone_allowed(spec: JobSpec, zones: list[str], zone: str) -> bool:
    """Whether one more task may start in a zone, given the zones of the job's other tasks."""
    if spec.one_zone and any(other != zone for other in zones):
        return False
    return not spec.spread or zones.count(zone) + 1 <= math.ceil(spec.tasks / 2)


def preference(
    context: Context, job: Job, spec: JobSpec, machine: Machine, free: Resources
) -> Preference:
    """Return the rank of a machine for a task; the lowest rank is preferred.

    The rank compares in this order:
    - whether the task would strand GPUs;
    - whether the image is missing;
    - whether its fetch would share the machine's bandwidth with another fetch; this counts only
      if either job is urgent;
    - whether the machine costs more than others. Spot machines are cheaper, but a task without
      GPUs prefers on-demand machines: it uses up leftovers on any machine and may be lost with a
      spot machine;
    - whether the machine is idle;
    - the free share of the machine: the fullest comes first.
    """
    kind = context.types[machine.type]
    urgent = job.priority >= Priority.URGENT
    has_image, others = image_fetches(context, spec, machine)
    shares_fetch = not has_image and any(
        urgent or other.priority >= Priority.URGENT for other in others
    )
    return (
        strands_gpus(spec, kind, free),
        not has_image,
        shares_fetch,
        spec.spot and not machine.spot if spec.gpus else machine.spot,
        machine.idle_since is not None,
        max(free.cpus / kind.cpus, free.gpus / (kind.gpus or 1.0)),
    )


def choose_machines(
    context: Context, job: Job, spec: JobSpec, sampled: list[SampledMachine], count: int
) -> dict[str, int]:
    """Choose the preferred of the sampled machines for `count` tasks: {machine: tasks}.

    Ties are broken at random.
    """
    ranked = sorted(
        (
            (
                preference(context, job, spec, candidate.machine, candidate.free),
                context.rng.random(),
                candidate,
            )
            for candidate in sampled
        ),
        key=lambda entry: entry[:2],
    )
    chosen: dict[str, int] = {}
    for _, _, candidate in ranked:
        if count <= 0:
            break
        chosen[candidate.machine.name] = min(count, task_capacity(candidate.free, spec))
        count -= chosen[candidate.machine.name]
    return chosen


def reserve(context: Context, job: Job, tasks_by_machine: dict[str, int]) -> None:
    """Send a reservation for each machine to the machine's agent manager."""
    for name, tasks in tasks_by_machine.items():
        context.send(context.machines[name].manager, Reserve(name, job.id, tasks))


def preemption_budget_s(context: Context, spec: JobSpec, machine: Machine) -> float:
    """Return how many seconds of work may be lost to avoid an image fetch on a machine.

    That is the duration of the fetch, and OBJECTIVE_WORTH_S more if the fetch alone would miss a
    start objective of the job's class.
    """
    estimate_s = fetch_s(context, spec, machine)
    slow_fetch_s = estimate_s * constants.FETCH_TIME_FACTOR
    if any(
        within_s < slow_fetch_s for within_s in context.objectives.start_s.get(spec.job_class, ())
    ):
        return estimate_s + constants.OBJECTIVE_WORTH_S
    return estimate_s


def request_preemption(
    context: Context, index: MachineIndex, request: PreemptionRequest
) -> list[str]:
    """Request preemption for a job from agent managers; return the machines of the requests.

    A random sample of the candidates is considered, image holders first. For a gang, either all
    wanted tasks get a machine or no request is made. Until `state.preempt_at` the capacity may be
    offered, and no further request is made.
    """
    job, spec, state, _, wanted, _ = request
    if context.now < state.preempt_at or context.failures.is_suspect(job):
        return []
    options = _preemption_options(context, index, request)
    if spec.kind == "gang" and len(options) < wanted:
        return []
    for _, _, machine, save_s in options[:wanted]:
        state.preempt_at = max(
            state.preempt_at, context.now + constants.PREEMPTION_RETRY_S + save_s
        )
        context.send(machine.manager, Reserve(machine.name, job.id, 1, True))
    return [option.machine.name for option in options[:wanted]]


def _preemption_options(
    context: Context, index: MachineIndex, request: PreemptionRequest
) -> list[PreemptionOption]:
    """Return the sampled machines where preemption is worth its cost, the cheapest first."""
    job, spec, _, candidates, wanted, max_cost_s = request
    used = quotas.usage(context)
    candidates = candidates & index.preemptible(
        job, quotas.teams_over_guarantee(context, job, spec, used)
    )
    limit = (
        math.ceil(constants.PREEMPTION_CANDIDATE_RATIO * wanted) + constants.SAMPLE_EXTRA_MACHINES
    )
    with_image = candidates & index.image_holders.get(spec.image, BitMap())
    excluded = context.failures.excluded_machines(job)
    machines = index.sample(with_image, limit, excluded)
    machines += index.sample(candidates - with_image, limit - len(machines), excluded)
    options: list[PreemptionOption] = []
    for machine in machines:
        preemption = plan_preemption(context, machine, job, spec, used)
        if preemption is None:
            continue
        cost_s = preemption.lost_work_s + fetch_s(context, spec, machine)
        if cost_s < max_cost_s:
            checkpoint_s = checkpoint_cost_s(context, preemption.tasks)
            options.append(PreemptionOption(cost_s, context.rng.random(), machine, checkpoint_s))
    options.sort(key=lambda option: option[:2])
    return options


def choose_gang_offers(spec: JobSpec, offers: list[CapacityOffer]) -> list[CapacityOffer] | None:
    """Return offers for all tasks of a gang that satisfy its zone constraints, or None."""
    groups: Iterable[list[CapacityOffer]] = [offers]
    if spec.one_zone:
        zones = {offer.zone for offer in offers}
        groups = [[offer for offer in offers if offer.zone == zone] for zone in zones]
    for group in groups:
        chosen: list[CapacityOffer] = []
        for offer in group:
            zones_so_far = [other.zone for other in chosen]
            if len(chosen) < spec.tasks and zone_allowed(spec, zones_so_far, offer.zone):
                chosen.append(offer)
        if len(chosen) == spec.tasks:
            return chosen
    return None
