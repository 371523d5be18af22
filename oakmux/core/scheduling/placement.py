"""Which machine suits a task: constraints, preference, and room made by stopping other work."""

import math

from pyroaring import BitMap

from oakmux import constants
from oakmux.core.agents.reservation_queue import preemption_candidates, save_s
from oakmux.core.context import Context, Machine
from oakmux.core.model import JobSpec, MachineType
from oakmux.core.resources import Resources, task_capacity
from oakmux.core.scheduling import quotas
from oakmux.core.scheduling.machine_index import MachineIndex, SampledMachine
from oakmux.core.scheduling.pending_job import PendingJob
from oakmux.core.state.records import Job


def fetches(context: Context, spec: JobSpec, machine: Machine) -> tuple[bool, list[Job]]:
    """Return whether a machine will have an image without a fetch of its own, and the jobs whose
    other images it fetches: by its report, and by bindings that it has not reported yet. Tasks
    bound one after the other to a fresh machine once fetched side by side, each for twice as
    long."""
    held = spec.image in machine.images
    others: list[Job] = []
    for (job_id, index), binding in context.replica.by_machine.get(machine.name, {}).items():
        state = machine.tasks.get((f"{job_id}/{index}", binding.attempt))
        job = context.replica.jobs.get(job_id)
        if job is None or job.spec is None or binding.agent_epoch != machine.agent_epoch:
            continue
        if state is None and job.spec.image == spec.image:
            held = True
        elif (
            state[0] == "fetching" if state is not None else (job.spec.image not in machine.images)
        ):
            others.append(job)
    return held, others


def fetch_s(context: Context, spec: JobSpec, machine: Machine) -> float:
    """Return the seconds until a machine has the job's image, as far as we know: fetches at the
    same time share the machine's rate."""
    held, others = fetches(context, spec, machine)
    return 0.0 if held else context.fetch_s(spec, machine.type) * (1 + len(others))


def strands_gpus(spec: JobSpec, kind: MachineType, free: Resources) -> bool:
    """Whether a task without GPUs would take CPUs that a machine's free GPUs need, by the share
    that falls to each."""
    return (
        not spec.gpus
        and free.gpus > constants.EPSILON
        and (free.cpus - spec.cpus) * kind.gpus < free.gpus * kind.cpus - constants.EPSILON
    )


def zone_allowed(spec: JobSpec, zones: list[str], zone: str) -> bool:
    """Whether one more task may start in a zone, given where the job's others may be."""
    if spec.one_zone and any(other != zone for other in zones):
        return False
    return not spec.spread or zones.count(zone) + 1 <= math.ceil(spec.tasks / 2)


def preference(
    context: Context, job: Job, spec: JobSpec, machine: Machine, free: Resources
) -> tuple:
    """Return what orders machines for a task: for one without GPUs, CPUs that the free GPUs
    can spare; image held, no other fetch under way where either is urgent (they would share
    the rate), spot if allowed, fullest. Spot machines are cheaper, but what needs no GPU takes
    what is left over on any, and may be lost with them."""
    kind = context.types[machine.type]
    urgent = job.priority >= constants.URGENT
    left = max(free.cpus / kind.cpus, free.gpus / (kind.gpus or 1.0))
    held, others = fetches(context, spec, machine)
    fetching = not held and any(urgent or other.priority >= constants.URGENT for other in others)
    dearer = spec.spot and not machine.spot if spec.gpus else machine.spot
    return (
        strands_gpus(spec, kind, free),
        not held,
        fetching,
        dearer,
        machine.idle_since is not None,
        left,
    )


def best(
    context: Context, job: Job, spec: JobSpec, rows: list[SampledMachine], count: int
) -> dict[str, int]:
    """Choose among drawn machines with room: image held, spot if allowed, fullest; chance
    decides between equals."""
    ranked = sorted(
        (
            (preference(context, job, spec, row.machine, row.free), context.rng.random(), row)
            for row in rows
        ),
        key=lambda entry: entry[:2],
    )
    chosen: dict[str, int] = {}
    for _, _, row in ranked:
        if count <= 0:
            break
        chosen[row.machine.name] = min(count, task_capacity(row.free, spec))
        count -= chosen[row.machine.name]
    return chosen


def reserve(context: Context, job: Job, chosen: dict[str, int]) -> None:
    """Send reservations {machine: tasks} to the agent managers of the machines."""
    for name, number in chosen.items():
        context.emit("send", context.machines[name].manager, ("reserve", name, job.id, number))


def preemption_budget_s(context: Context, spec: JobSpec, machine: Machine) -> float:
    """Return the lost work that is worth sparing a job the fetch on a machine: the fetch, and
    more if only without it an aim for starting this class can be met."""
    fetch = fetch_s(context, spec, machine)
    slow = fetch * constants.FETCH_SPREAD
    if any(within < slow for within in context.start_objectives.get(spec.job_class, ())):
        return fetch + constants.AIM_WORTH_S
    return fetch


def request_preemption(
    context: Context,
    index: MachineIndex,
    job: Job,
    spec: JobSpec,
    state: PendingJob,
    among: BitMap,
    wanted: int,
    most: float,
) -> list[str]:
    """Ask the agent managers of as many machines as tasks wait to stop work of less right, where
    that costs less than `most` seconds; return which were asked. For a gang, all its
    tasks must find room so. Looked at are some machines drawn from `among`, those that hold
    the image before others. Until `state.preempt_at` what was asked for may come."""
    if context.now < state.preempt_at or context.failures.suspect(job):
        return []
    used = quotas.usage(context)
    among = among & index.yielding(job, quotas.beyond(context, job, spec, used))
    looks = math.ceil(constants.PREEMPT_LOOKS * wanted) + constants.DRAW_LOOKS
    held = among & index.holders.get(spec.image, BitMap())
    machines = index.some(held, looks, state.excluded_machines)
    machines += index.some(among - held, looks - len(machines), state.excluded_machines)
    rows = []
    for machine in machines:
        found = preemption_candidates(context, machine, job, spec, used)
        if found is not None:
            cost = found[0] + fetch_s(context, spec, machine)
            if cost < most:
                rows.append((cost, context.rng.random(), machine, save_s(context, found[1])))
    rows.sort(key=lambda row: row[:2])
    if spec.kind == "gang" and len(rows) < wanted:
        return []
    for _, _, machine, saving in rows[:wanted]:
        state.preempt_at = max(state.preempt_at, context.now + constants.PREEMPT_S + saving)
        context.emit("send", machine.manager, ("reserve", machine.name, job.id, 1, True))
    return [machine.name for _, _, machine, _ in rows[:wanted]]


def choose_gang(spec: JobSpec, offers: list[tuple]) -> list[tuple] | None:
    """Return offers for all tasks of a gang that keep its constraints, or None."""
    groups = [offers]
    if spec.one_zone:
        groups = [[o for o in offers if o[6] == zone] for zone in {o[6] for o in offers}]
    for group in groups:
        chosen: list[tuple] = []
        for offer in group:
            if len(chosen) < spec.tasks and zone_allowed(spec, [o[6] for o in chosen], offer[6]):
                chosen.append(offer)
        if len(chosen) == spec.tasks:
            return chosen
    return None
