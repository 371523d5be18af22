"""Tracks the instances that the cloud lists, and the machines that are certainly terminated."""

from typing import Any, NamedTuple

import msgspec

from oakmux import constants
from oakmux.core import messages
from oakmux.core.agents.capacity import heartbeat_timeout_s
from oakmux.core.context import Context
from oakmux.core.instances import InstanceKind, InstanceState, ListedInstance
from oakmux.core.peer_messages import MachinesTerminated
from oakmux.core.state.formats import value_bytes, value_limit
from oakmux.core.state.keys import TYPES_KEY, termination_key
from oakmux.core.state.transaction_limits import REFUSED, TransactionLimits
from oakmux.core.state.transactions import Delete, Put, Transaction, Write
from oakmux.logs import event

UNKNOWN_KIND = InstanceKind("", "", False)
"""Kind of a machine that sends heartbeats or has bindings but is in no list."""


class Instance:
    """An instance named in the cloud's list or in the answer to a rental request."""

    __slots__ = ("absent_lists", "created_at", "kind", "listed", "running_since", "state")

    def __init__(self, kind: InstanceKind, state: str, created_at: float) -> None:
        self.kind = kind
        self.state = state
        self.created_at = created_at
        self.running_since: float | None = None
        # Consecutive lists without the instance that should have contained it.
        self.absent_lists = 0
        # Whether any list has contained the instance.
        self.listed = False


class FailedBoot(NamedTuple):
    """An instance that is returned because it did not boot in time."""

    at: float
    kind: InstanceKind


class InstanceInventory:
    """Reads the cloud's list of instances and records terminated machines."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.limits = TransactionLimits(context.facts.store.strictest, lambda: context.now)
        self.role_acquired_at = 0.0
        self.instances: dict[str, Instance] = {}
        # Machines that are certainly terminated, and when this was found.
        self.terminated_at: dict[str, float] = {}
        # Machines with a return request that the cloud has not answered yet.
        self.returning: set[str] = set()
        self.failed_boots: list[FailedBoot] = []
        # When each machine was first seen; lists requested soon after may still lack it.
        self.known_since: dict[str, float] = {}
        self.list_in_flight = False
        self.next_list_at = 0.0
        # No calls to the cloud are made before this time, after one failed.
        self.cloud_retry_at = 0.0
        # When each machine's termination record was last written, needed or deleted.
        self.record_touched_at: dict[str, float] = {}

    def on_role_acquired(self) -> None:
        """Clear the inventory, but keep the machines known to be terminated."""
        self.role_acquired_at = self.context.now
        self.instances.clear()
        self.known_since.clear()
        self.returning.clear()
        self.next_list_at = 0.0

    def back_off(self) -> None:
        """Pause calls to the cloud for BACKOFF_MAX_S after a failed call."""
        self.cloud_retry_at = self.context.now + constants.BACKOFF_MAX_S

    def request_list(self) -> None:
        """Request the cloud's list when it is due."""
        context = self.context
        if self.list_in_flight or context.now < max(self.next_list_at, self.cloud_retry_at):
            return
        self.list_in_flight = True
        self.next_list_at = (
            context.now + constants.LIST_INTERVAL_LAGS * context.facts.cloud.list_lag_s
        )
        requested_at = context.now
        context.call(
            lambda status, instances: self._on_list(requested_at, status, instances),
            messages.ListInstances,
        )

    def _on_list(self, requested_at: float, status: int, instances: list[ListedInstance]) -> None:
        context = self.context
        self.list_in_flight = False
        if status != 200:
            self.back_off()
            return
        listed = set()
        for entry in instances:
            listed.add(entry.name)
            if entry.name not in self.terminated_at:
                self._update_listed(entry, requested_at)
        known = {*self.instances, *context.machines, *context.replica.bindings.by_machine}
        for name in known - listed:
            self._check_absent(name, requested_at)

    def _update_listed(self, entry: ListedInstance, requested_at: float) -> None:
        # The instance counts as known from this list on, not from the first list that lacks it.
        # Otherwise termination of a machine that vanishes after a takeover of the fleet role would
        # be proven later than possible.
        self.known_since.setdefault(entry.name, requested_at)
        instance = self.instances.get(entry.name)
        if instance is None:
            instance = Instance(entry.kind, entry.state, requested_at - entry.age_s)
            self.instances[entry.name] = instance
        instance.state = entry.state
        instance.absent_lists = 0
        instance.listed = True
        if entry.state == InstanceState.RUNNING and instance.running_since is None:
            instance.running_since = self.context.now
        if entry.state == InstanceState.FAILED:
            self.terminate(entry.name, InstanceState.FAILED)

    def _check_absent(self, name: str, requested_at: float) -> None:
        """Mark a machine as terminated after ABSENT_LISTS lists that should contain it but don't.

        A list counts if it is certainly newer than the first sign of the machine, and if the
        machine has sent no heartbeat lately.
        """
        context = self.context
        since = self.known_since.setdefault(name, context.now)
        instance = self.instances.get(name)
        if instance is not None and instance.listed:
            # A listed instance stays listed until it is terminated, so newer lists without it are
            # proof. Checking for silence only guards against errors in this controller.
            silence_s = heartbeat_timeout_s(context)
        else:
            silence_s = context.facts.workers.lease_s
            if instance is not None:
                since = max(since, instance.created_at)
        if requested_at - since < constants.ABSENT_LAGS * context.facts.cloud.list_lag_s:
            return
        machine = context.machines.get(name)
        if machine is not None and context.now - machine.last_heartbeat_at < silence_s:
            return
        instance = self.instances.setdefault(
            name, Instance(UNKNOWN_KIND, InstanceState.RUNNING, since)
        )
        instance.absent_lists += 1
        if instance.absent_lists >= constants.ABSENT_LISTS:
            self.terminate(name, "absent")

    def terminate(self, name: str, reason: str) -> None:
        """Announce to all controllers that a machine and its tasks are certainly terminated.

        Machine names are never reused.
        """
        context = self.context
        if name not in self.terminated_at:
            event("instance_terminated", machine=name, why=reason)
        self.terminated_at[name] = context.now
        self.instances.pop(name, None)
        self.known_since.pop(name, None)
        self.returning.discard(name)
        for controller_id in self.controllers():
            context.send(controller_id, MachinesTerminated([name]))
        if reason == InstanceState.FAILED:
            context.call(lambda _status, _result: None, messages.ReturnInstances, [name])

    def controllers(self) -> list[str]:
        """Return the ids of all controllers, this one first."""
        return [
            self.context.controller_id,
            *(m.controller_id for m in self.context.settings.peers),
        ]

    def write_records(self) -> None:
        """Write changed machine types and new terminations; delete terminations not needed."""
        transaction = self._fitting(
            [*self._changed_types(), *self._missing_terminations(), *self._expired_terminations()]
        )
        if transaction.writes and self.limits.may_send(transaction):
            self.context.call(
                lambda status, result: self._on_written(transaction, status, result),
                messages.Transaction,
                [],
                transaction.writes,
                1,
            )
        if len(self.terminated_at) > constants.MAX_CACHE_ENTRIES:
            self._forget_oldest()

    def _fitting(self, writes: list[Write]) -> Transaction:
        """Return a transaction with the first writes, as many as fit; the others follow later."""
        transaction = Transaction()
        most_writes = max(1, self.limits.current.writes // 2)  # users' changes go first
        for write in writes:
            partial = Transaction()
            partial.add_write(write)
            size = transaction.size_with(partial)
            if size.writes > most_writes or not self.limits.allow(size):
                break
            if not self.limits.was_refused(partial):
                transaction.merge(partial)
        return transaction

    def _changed_types(self) -> list[Write]:
        context = self.context
        if set(context.types) == set(context.replica.types):
            return []
        records = [
            list(msgspec.to_builtins(machine_type)) for machine_type in context.types.values()
        ]
        if value_bytes(records) > value_limit(context.facts.store.strictest):
            return []
        return [Put(TYPES_KEY, records)]

    def _missing_terminations(self) -> list[Write]:
        """Return the missing records of terminated machines that bindings still refer to."""
        now, replica = self.context.now, self.context.replica
        writes: list[Write] = []
        for name in replica.bindings.by_machine:
            if (
                name in self.terminated_at
                and name not in replica.terminated_machines
                and now - self.record_touched_at.get(name, constants.NEVER)
                > constants.STORE_TIMEOUT_S
            ):
                self.record_touched_at[name] = now
                writes.append(Put(termination_key(name), True))
        return writes

    def _expired_terminations(self) -> list[Write]:
        """Return deletions of records that no binding has needed for TERMINATION_KEEP_S."""
        now, replica = self.context.now, self.context.replica
        writes: list[Write] = []
        for name in replica.terminated_machines:
            if name in replica.bindings.by_machine:
                self.record_touched_at[name] = now
            elif now - self.record_touched_at.setdefault(name, now) > constants.TERMINATION_KEEP_S:
                self.record_touched_at[name] = now
                writes.append(Delete(termination_key(name)))
        return writes

    def _forget_oldest(self) -> None:
        for name in list(self.terminated_at)[: constants.MAX_CACHE_ENTRIES // 2]:
            if name not in self.context.replica.bindings.by_machine:
                del self.terminated_at[name]
                self.record_touched_at.pop(name, None)

    def _on_written(self, transaction: Transaction, status: int, result: Any) -> None:
        if status == REFUSED:
            self.limits.note_refused(transaction)
        if status == 200:
            for write in transaction.writes:
                value = write.value if isinstance(write, Put) else None
                self.context.replica.apply(write.key, value, result[0])
