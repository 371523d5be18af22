"""Dispatches firings on one controller at a time: the holder of the clock role, on its lease.

That each firing submits its jobs exactly once depends on the records alone, never on the role. The
outcome (in the entry's slot) and the jobs are written in one transaction, on condition that shard,
entry, template and role are at the known revisions and that the jobs are absent. A late or
repeated transaction, or one of a deposed holder, fails on a condition. The next holder continues
from the mark in the slot.
"""

import heapq
import math
from collections import deque
from functools import partial
from typing import Any, NamedTuple

from oakmux import constants
from oakmux.core import messages
from oakmux.core.context import Context
from oakmux.core.state.codecs import encode_job
from oakmux.core.state.keys import job_key, role_key
from oakmux.core.state.transaction_limits import REFUSED, TransactionLimits
from oakmux.core.state.transactions import Put, Transaction, TransactionSize, as_transaction
from oakmux.logs import event
from oakmux.schedules import policy, records, templates
from oakmux.schedules.firing_plan import DueFirings, FiringBatch, FiringPlan, Urgency
from oakmux.schedules.firings import Firing, mark_at
from oakmux.schedules.records import Entry, ScheduleStore, Slot
from oakmux.schedules.wall_clock import WallClock

CLOCK_ROLE = "#clock"


class _DueFiring(NamedTuple):
    """A due firing and the decision on it."""

    decision: policy.Decision
    fires_at: int
    # None for a queued firing, which waited for the previous one to finish.
    firing: Firing | None


class FiringDispatcher:
    """Dispatches the firings of all entries while this controller holds the role."""

    def __init__(self, context: Context, store: ScheduleStore, wall_clock: WallClock) -> None:
        self.context = context
        self.store = store
        self.wall_clock = wall_clock
        self.role_revision = 0  # mod revision of the role that the plans belong to; 0: not held
        self.plans: dict[str, FiringPlan] = {}
        self.heap: list[tuple[int, str, int]] = []
        self.due = DueFirings()
        self.queued: set[str] = set()
        self.to_plan: deque[str] = deque()
        self.to_plan_names: set[str] = set()
        self.shards_in_flight: set[int] = set()
        self.retry_at: dict[int, float] = {}
        self.failures_in_row: dict[int, int] = {}  # consecutive failed writes of a shard
        self.next_queue_check = 0.0
        self.dispatched = 0
        self.id_attempts: dict[str, int] = {}
        # Entries whose firings the store refused alone: when to try them again.
        self.refused_until: dict[str, float] = {}
        self.limits = TransactionLimits(context.facts.store.strictest, lambda: context.now)

    def tick(self) -> None:
        """Plan and dispatch firings, within limits per tick so that other work goes on."""
        mod_revision = self.context.held_roles.get(CLOCK_ROLE, 0)
        if mod_revision != self.role_revision:
            self._on_role_changed(mod_revision)
        if not mod_revision:
            self.store.changed.clear()
            return
        self._replan(self.store.changed)
        self.store.changed.clear()
        self._plan()
        # Without current records nothing can be written, and it is not known which jobs still run.
        if (
            not self.wall_clock.is_steady
            or self.context.now - self.context.store_seen_at > constants.STORE_STALE_S
        ):
            return
        now_ms = self.wall_clock.now_ms()
        for _ in range(constants.DUE_PER_TICK):
            if not self.heap or self.heap[0][0] > now_ms:
                break
            _, name, plan_id = heapq.heappop(self.heap)
            plan = self.plans.get(name)
            if plan is not None and id(plan) == plan_id:
                self._mark_due(plan)
        if self.context.now >= self.next_queue_check:
            self.next_queue_check = self.context.now + constants.QUEUE_CHECK_INTERVAL_S
            for name in sorted(self.queued):
                plan = self.plans.get(name)
                if plan is not None and not self.has_unfinished_jobs(plan.entry, plan.slot):
                    self._mark_due(plan)
        self._write_due(now_ms)

    def _on_role_changed(self, mod_revision: int) -> None:
        """Discard all plans; plan all entries anew if the role was acquired."""
        self.role_revision = mod_revision
        for collection in (
            self.plans,
            self.heap,
            self.due,
            self.queued,
            self.to_plan,
            self.to_plan_names,
            self.shards_in_flight,
            self.retry_at,
            self.failures_in_row,
            self.id_attempts,
            self.refused_until,
        ):
            collection.clear()
        if mod_revision:
            event("clock_acquired", entries=len(self.store.entries))
            self._replan(set(self.store.entries))

    # --- planning ---

    def _replan(self, names: set[str]) -> None:
        """Discard the plans of entries and queue them for planning."""
        for name in names:
            self.plans.pop(name, None)
            self.due.pop(name)
            self.queued.discard(name)
            if name not in self.to_plan_names:
                self.to_plan_names.add(name)
                self.to_plan.append(name)

    def _plan(self) -> None:
        for _ in range(min(len(self.to_plan), constants.PLANS_PER_TICK)):
            name = self.to_plan.popleft()
            self.to_plan_names.discard(name)
            entry, slot = self.store.entries.get(name), self.store.slot(name)
            if entry is None or slot is None or entry.paused:
                continue
            try:
                plan = FiringPlan(entry, slot)
            except Exception as error:  # one rule that fails must not hold up all others
                event("firing_failed", entry=name, why=repr(error)[: constants.LOG_TEXT_CHARS])
                continue
            plan.tries = self.id_attempts.get(name, 0)
            self.plans[name] = plan
            if slot.pending:
                self.queued.add(name)
            self._schedule_next(plan)

    def _schedule_next(self, plan: FiringPlan) -> None:
        """Add a plan's next firing to the heap.

        A firing is due once its time is past by the largest clock skew. By true time none is
        early, even if this controller's clock is ahead by that much.
        """
        if plan.firing is not None:
            heapq.heappush(
                self.heap, (self._due_ms(plan.entry, plan.firing), plan.entry.name, id(plan))
            )

    def _due_ms(self, entry: Entry, firing: Firing) -> int:
        return policy.planned_ms(entry, firing) + math.ceil(self.context.facts.skew_ms)

    # --- writing ---

    def has_unfinished_jobs(self, entry: Entry, slot: Slot) -> bool:
        """Whether known jobs of an earlier firing are unfinished."""
        return any(not job.final for job in self.known_jobs(entry, slot))

    def known_jobs(self, entry: Entry, slot: Slot) -> list[Any]:
        """Return the known jobs of the firings that the slot still lists."""
        jobs, steps = self.context.replica.jobs, self.store.job_count(entry)
        return [
            jobs[name]
            for decision in slot.decisions
            for name in records.submitted_job_ids(entry, decision, steps)
            if name in jobs
        ]

    def _write_due(self, now_ms: int) -> None:
        """Write due firings, shard by shard, the most urgent first."""
        free_transactions = constants.FIRINGS_IN_FLIGHT - len(self.shards_in_flight)
        if free_transactions <= 0 or not self.due:
            return
        waiting = [
            (urgency, shard)
            for shard, urgency in self.due.most_urgent().items()
            if shard not in self.shards_in_flight
            and self.retry_at.get(shard, 0) <= self.context.now
        ]
        if not waiting:
            return
        top_priority = min(waiting)[0].negative_priority
        # While more shards than can be written now have firings of the highest priority, others
        # wait: otherwise 500 urgent firings among 5000 take up to 32 s instead of 10 s.
        only_most_urgent = (
            sum(1 for urgency, _ in waiting if urgency.negative_priority == top_priority)
            > free_transactions
        )
        for _, shard in heapq.nsmallest(free_transactions, waiting):
            batch = FiringBatch(shard)
            for plan in self.due.plans_of(shard):
                if only_most_urgent and plan.urgency.negative_priority != top_priority:
                    break
                try:
                    has_room = self._add_firings(batch, plan, now_ms)
                except Exception as error:  # as in _plan: the others go on
                    event(
                        "firing_failed",
                        entry=plan.entry.name,
                        why=repr(error)[: constants.LOG_TEXT_CHARS],
                    )
                    self.due.pop(plan.entry.name)
                    continue
                if not has_room:
                    break
            if batch.slots:
                self._send(batch)

    def _mark_due(self, plan: FiringPlan) -> None:
        plan.urgency = self._urgency(plan)
        self.due.put(plan)

    def _urgency(self, plan: FiringPlan) -> Urgency:
        """Return the sort key of a plan among those that are due."""
        template = self.store.templates.get(plan.entry.template)
        priority = 0 if template is None else max(s.spec.priority for s in template.steps)
        at = plan.firing.at if plan.firing is not None else plan.slot.pending
        deadline = math.inf if plan.entry.deadline_s is None else at + plan.entry.deadline_s
        return Urgency(-priority, deadline, at)

    def _add_firings(self, batch: FiringBatch, plan: FiringPlan, now_ms: int) -> bool:
        """Add an entry's due firings; return False once the transaction is full."""
        entry = plan.entry
        template = self.store.templates.get(entry.template)
        refusal = templates.refusal(self.context, template)
        awaits_upgrade = template is not None and templates.awaits_upgrade(self.context, template)
        if awaits_upgrade or self.refused_until.get(entry.name, 0.0) > self.context.now:
            # Dependencies can't be recorded before an upgrade is complete; what the store refused
            # is tried again later. Other entries go on.
            self.due.pop(entry.name)
            heapq.heappush(self.heap, (now_ms + 1000, entry.name, id(plan)))
            return True
        while True:
            due = self._next_decision(plan, now_ms)
            if due is None:
                self.due.pop(entry.name)
                return True
            if due.decision.submit and refusal is not None:
                due = due._replace(decision=self._refuse(plan.slot, due, refusal))
            if not self._add_jobs(batch, plan, due.decision, due.fires_at, now_ms):
                return False
            self._record_outcome(batch, plan, due, now_ms)
            if due.decision.submit:
                # Later firings are decided once the jobs of this one are in the records.
                return True

    def _next_decision(self, plan: FiringPlan, now_ms: int) -> _DueFiring | None:
        """Decide on the entry's next firing, or return None if none is due."""
        entry, slot, firing = plan.entry, plan.slot, plan.firing
        if slot.pending and not self.has_unfinished_jobs(entry, slot):
            return _DueFiring(policy.release_pending(slot, plan.tries), slot.pending, None)
        if firing is None or self._due_ms(entry, firing) > now_ms:
            return None
        decision = policy.decide(
            entry,
            slot,
            firing,
            plan.peek_following,
            now_ms,
            partial(self.has_unfinished_jobs, entry, slot),
            plan.tries,
        )
        return _DueFiring(decision, firing.at, firing)

    @staticmethod
    def _refuse(slot: Slot, due: _DueFiring, reason: str) -> policy.Decision:
        """Return the outcome of a firing whose jobs can't be submitted."""
        mark = due.decision.slot.mark
        refused = slot.with_decision(mark, 0, due.fires_at, records.REFUSED, note=reason)
        return policy.Decision(refused, False)

    def _record_outcome(
        self, batch: FiringBatch, plan: FiringPlan, due: _DueFiring, now_ms: int
    ) -> None:
        """Add the outcome of a firing to the batch, and advance the plan."""
        name, slot = plan.entry.name, due.decision.slot
        if due.firing is not None:
            plan.advance(slot)
            if slot.decisions[-1][1] == records.MISSED:
                self._skip_missed(plan, now_ms)
        else:
            plan.slot = slot
            plan.tries = 0
        batch.slots[name] = plan.slot

    def _skip_missed(self, plan: FiringPlan, now_ms: int) -> None:
        """Skip further missed firings; only the first MISSED_FIRINGS are counted one by one."""
        count = 0
        while plan.firing is not None and policy.expired(plan.entry, plan.firing, now_ms):
            count += 1
            slot = plan.slot
            at, outcome, tries, _ = slot.decisions[-1]
            decision = (at, outcome, tries, f"and {count} more")
            mark = plan.firing.mark
            if count >= constants.MISSED_FIRINGS:
                decision = (at, outcome, tries, f"and over {count} more")
                reference_s = (now_ms - policy.jitter_ms(plan.entry)) // 1000 - 1
                mark = max(
                    mark, mark_at(plan.entry.rule, reference_s - policy.window_s(plan.entry))
                )
            slot = Slot(slot.name, mark, slot.pending, [*slot.decisions[:-1], decision])
            if count < constants.MISSED_FIRINGS:
                plan.advance(slot)
                continue
            replanned = FiringPlan(plan.entry, slot)
            plan.slot, plan.upcoming, plan.firing, plan.prefetched = (
                slot,
                replanned.upcoming,
                replanned.firing,
                [],
            )
            return

    def _add_jobs(
        self, batch: FiringBatch, plan: FiringPlan, decision: policy.Decision, at: int, now_ms: int
    ) -> bool:
        """Add the jobs of a decision if there is room in the transaction."""
        entry, store = plan.entry, self.store
        addition = Transaction()
        for key, mod_revision in store.guards(records.entry_key(entry.name)).items():
            addition.require(key, mod_revision)
        if not decision.submit:
            if not self._fits(batch, addition):
                return False
            batch.contents.merge(addition)
            return True
        template = store.templates[entry.template]
        ids, guards, writes = templates.job_writes(entry, template, str(at), now_ms, plan.tries)
        guards.update(store.guards(records.template_key(entry.template)))
        addition.merge(as_transaction(guards.items(), writes))
        if decision.cancel_earlier:
            self._add_cancellations(batch, addition, plan)
        if not self._fits(batch, addition):
            if batch.slots:
                return False
            self._check_fits_alone(batch, addition)
        batch.contents.merge(addition)
        batch.entry_of_job.update(dict.fromkeys(ids, entry.name))
        batch.log_fields.append(
            {
                "entry": entry.name,
                "turn": at,
                "jobs": ",".join(ids),
                "late_ms": now_ms - at * 1000,
                "team": entry.team,
            }
        )
        return True

    def _add_cancellations(
        self, batch: FiringBatch, addition: Transaction, plan: FiringPlan
    ) -> None:
        """Add cancellations of unfinished jobs of earlier firings, as many as fit if alone."""
        for job in self.known_jobs(plan.entry, plan.slot):
            if job.final or not job.ready or job.spec is None:
                continue
            value = encode_job("cancelled", job.team, job.spec, job.submitted_ms, job.tasks)
            cancellation = as_transaction(
                [(job_key(job.id), job.mod_revision)], [(job_key(job.id), value, None)]
            )
            both = Transaction()
            both.merge(addition)
            both.merge(cancellation)
            if not batch.slots and not self._fits(batch, both):
                return
            addition.merge(cancellation)

    def _fits(self, batch: FiringBatch, addition: Transaction) -> bool:
        """Whether an addition fits into the batch's transaction under the limits in force."""
        return self.limits.allow(self._size_with(batch, addition))

    def _check_fits_alone(self, batch: FiringBatch, addition: Transaction) -> None:
        """Check that a firing fits into an empty transaction; raises TemplateError.

        A firing can't be divided, so limits that are lowered after a refusal don't count.
        """
        size = self._size_with(batch, addition)
        if any(n > limit for n, limit in zip(size, self.limits.configured, strict=True)):
            raise templates.TemplateError("its jobs exceed a transaction of the store")

    def _size_with(self, batch: FiringBatch, addition: Transaction) -> TransactionSize:
        """Return the size of a batch's transaction with an addition and the shard's record."""
        size = batch.contents.size_with(addition)
        shard = as_transaction(*self._shard_change(batch)).size
        return TransactionSize(
            size.writes + shard.writes,
            size.conditions + shard.conditions,
            size.bytes + shard.bytes + constants.SLOT_BYTES,
        )

    def _shard_change(self, batch: FiringBatch) -> tuple[list[tuple[str, int]], list[tuple]]:
        """Return the conditions and the write that record a batch's decisions in its shard."""
        write = self.store.shard_write(batch.shard, batch.slots)
        guards = {role_key(CLOCK_ROLE): self.role_revision, **self.store.guards(write[0])}
        return list(guards.items()), [write]

    def _send(self, batch: FiringBatch) -> None:
        shard = batch.shard
        guards, writes = self._shard_change(batch)
        transaction = as_transaction(guards, writes)
        transaction.merge(batch.contents)
        if not self.limits.may_send(transaction):
            self.retry_at[shard] = self.context.now + constants.FIRING_RETRY_S
            self._replan(set(batch.slots))
            return
        self.shards_in_flight.add(shard)
        role_revision, value = self.role_revision, writes[0][1]
        self.context.call(
            lambda status, result: self._on_written(
                batch, transaction, value, role_revision, status, result
            ),
            messages.Transaction,
            list(transaction.conditions.items()),
            transaction.writes,
            constants.FIRING_WRITE_PRIORITY,
        )

    def _on_written(
        self,
        batch: FiringBatch,
        transaction: Transaction,
        value: list,
        role_revision: int,
        status: int,
        result: Any,
    ) -> None:
        if role_revision == self.role_revision:
            self.shards_in_flight.discard(batch.shard)
        if status != 200:
            if role_revision == self.role_revision:
                self._on_write_failed(batch, transaction, status, result)
            return
        self.failures_in_row.pop(batch.shard, None)
        replica, store = self.context.replica, self.store
        for write in batch.contents.writes:
            replica.apply(write.key, write.value if isinstance(write, Put) else None, result[0])
        for log_fields in batch.log_fields:
            event("firing", **log_fields)
            self.dispatched += 1
        own_decisions = set(batch.slots) - store.changed
        store.apply(f"m/{batch.shard}", value, result[0])
        if role_revision != self.role_revision:
            return
        for name in own_decisions:  # the plan has already advanced past these
            plan = self.plans.get(name)
            if plan is None or plan.slot != batch.slots[name]:
                continue
            store.changed.discard(name)
            self.id_attempts.pop(name, None)
            self.due.pop(name)
            (self.queued.add if plan.slot.pending else self.queued.discard)(name)
            self._schedule_next(plan)
        if batch.log_fields and not self.due:
            event(
                "firings_dispatched",
                count=self.dispatched,
                last=batch.log_fields[-1]["entry"],
                late_ms=batch.log_fields[-1]["late_ms"],
            )

    def _on_write_failed(
        self, batch: FiringBatch, transaction: Transaction, status: int, result: Any
    ) -> None:
        """Retry firings later.

        After a 409 the watch brings the conflicting change. Without an answer, the firings may
        still be written late; then the retry fails on the shard's mod revision. After a refusal
        fewer firings are written at a time; an entry that is refused alone holds up no other.
        """
        failures = self.failures_in_row.get(batch.shard, 0)
        delay_s = min(constants.BACKOFF_MAX_S, constants.FIRING_RETRY_S * 2**failures)
        self.failures_in_row[batch.shard] = min(failures + 1, 10)
        if status == REFUSED:
            event("firings_refused", shard=batch.shard, jobs=len(batch.contents.writes))
            self.limits.note_refused(transaction)
            delay_s = constants.FIRING_RETRY_S
            if len(batch.slots) == 1:
                self.refused_until[next(iter(batch.slots))] = (
                    self.context.now + constants.RETRY_MAX_S
                )
        self.retry_at[batch.shard] = self.context.now + delay_s
        if status == 409 and result is not None:
            self._resolve_id_conflicts(batch, result)
        self._replan(set(batch.slots))

    def _resolve_id_conflicts(self, batch: FiringBatch, result: Any) -> None:
        """Try another id for jobs whose id an older job has, from before ids were reserved."""
        failed_keys = set(result[1])
        if {records.shard_key(batch.shard), role_key(CLOCK_ROLE)} & failed_keys:
            return  # perhaps an earlier try of this batch was written and its answer lost
        for name, entry_name in batch.entry_of_job.items():
            if job_key(name) in failed_keys:
                tries = min(self.id_attempts.get(entry_name, 0) + 1, constants.JOB_ID_TRIES)
                self.id_attempts[entry_name] = tries
                event("job_id_conflict", job=name, entry=entry_name, tries=tries)
