"""CPUs, GPUs and memory of a machine, and how many tasks of a job fit into them."""

import math
from typing import NamedTuple

import msgspec

from oakmux import constants
from oakmux.core.model import JobSpec


class Resources(msgspec.Struct, frozen=True, gc=False):
    """An amount of resources, mostly those free on a machine."""

    cpus: float
    gpus: float
    memory_gb: float


NO_RESOURCES = Resources(0.0, 0.0, 0.0)


class Usage(NamedTuple):
    """CPUs and GPUs used by tasks: the resources that quotas limit."""

    cpus: float
    gpus: float


NO_USAGE = Usage(0.0, 0.0)


def fits_resources(free: Resources, spec: JobSpec) -> bool:
    """Whether one task of a job fits into the free resources."""
    slack = constants.EPSILON
    return (
        spec.cpus <= free.cpus + slack
        and spec.gpus <= free.gpus + slack
        and spec.memory_gb <= free.memory_gb + slack
    )


def subtract(free: Resources, spec: JobSpec, count: int = 1) -> Resources:
    """Return the resources left beside `count` tasks of a job; a negative count adds theirs."""
    return Resources(
        free.cpus - count * spec.cpus,
        free.gpus - count * spec.gpus,
        free.memory_gb - count * spec.memory_gb,
    )


def task_capacity(free: Resources, need: JobSpec | Resources) -> int:
    """Return how many tasks fit into the free resources; 1 if a task needs nothing."""
    capacity = math.inf
    if need.gpus > 0:
        capacity = (free.gpus + constants.EPSILON) / need.gpus
    if need.cpus > 0:
        capacity = min(capacity, (free.cpus + constants.EPSILON) / need.cpus)
    if need.memory_gb > 0:
        capacity = min(capacity, (free.memory_gb + constants.EPSILON) / need.memory_gb)
    return 1 if capacity == math.inf else max(0, math.floor(capacity))
