"""Scheduling state of an unfinished job that is not part of the stored records."""

from typing import NamedTuple

import msgspec

from oakmux import constants


class CapacityOffer(NamedTuple):
    """Capacity for one task that an agent manager offers to a job.

    `received_at` is a local time (s). `agent_epoch` and `term` become part of the binding.
    """

    received_at: float
    machine: str
    offer_id: int
    agent_epoch: int
    term: int
    manager: str
    zone: str


class CapacityRequest(NamedTuple):
    """Capacity for `tasks` tasks that a gang requested; an offer may arrive until `until` (s)."""

    until: float
    tasks: int


class PendingJob(msgspec.Struct, eq=False):
    """The shard scheduler's state of an unfinished job; lost when the process ends.

    Fields that end in `_at` or `_until` are local times in seconds.
    """

    next_sample_at: float = 0.0
    offers: list[CapacityOffer] = []
    # The search for a task that is neither done nor bound begins at this index.
    next_task: int = 0
    # The failures that lengthened the backoff, and when it ends.
    failures: int = 0
    retry_at: float = 0.0
    last_bound_at: float = constants.NEVER
    backoff_until: float = 0.0
    # Until this time, capacity from requested preemption may be offered.
    preempt_at: float = 0.0
    next_wide_sample_at: float = 0.0
    # When to look again for jobs that fit behind this one, whether any was tried before it, and
    # when a machine began to be kept for it.
    next_behind_at: float = 0.0
    passed_over: bool = False
    reserved_since: float = constants.NEVER
    # Until when to wait for machines that hold the image; None before the first such wait.
    image_wait_until: float | None = None
    # Gangs only: requests by machine, and when the offers gathered so far are declined.
    requested: dict[str, CapacityRequest] = {}
    hold_until: float = 0.0
    # Backfill reservation: the number of tasks that each machine is reserved for.
    backfill_machines: dict[str, int] = {}
    next_backfill_at: float = 0.0
