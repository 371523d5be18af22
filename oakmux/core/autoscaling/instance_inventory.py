"""Which machines there are by the cloud's word, and which are certainly gone."""

from typing import Any

import msgspec

from oakmux import constants
from oakmux.core.agents.capacity import heartbeat_timeout_s
from oakmux.core.context import Context, event
from oakmux.core.state.records import TYPES_KEY, termination_key, value_bytes, value_limit


class Instance:
    """A machine as the cloud's list or a rental's answer names it."""

    __slots__ = ("type", "zone", "spot", "state", "since", "running_since", "absent", "instances")

    def __init__(self, type_name: str, zone: str, spot: bool, state: str, since: float) -> None:
        self.type = type_name
        self.zone = zone
        self.spot = spot
        self.state = state
        self.since = since
        self.running_since: float | None = None
        self.absent = 0
        self.instances = False


class InstanceInventory:
    """Reads the cloud's list and records which machines are gone."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.since = 0.0
        self.instances: dict[str, Instance] = {}
        self.returned: dict[str, float] = {}
        self.returning: set[str] = set()
        # When machines were given up that never came up, and which: (type, zone, spot).
        self.failed_boots: list[tuple[float, tuple[str, str, bool]]] = []
        self.known_since: dict[str, float] = {}
        self.listing = False
        self.next_list = 0.0
        self.cloud_after = 0.0
        self.gone_written: dict[str, float] = {}

    def on_role_acquired(self) -> None:
        """Begin to hold the role."""
        self.since = self.context.now
        self.instances.clear()
        self.known_since.clear()
        self.returning.clear()
        self.next_list = 0.0

    def ask(self) -> None:
        """Read the list when it is due."""
        context = self.context
        if not self.listing and context.now >= max(self.next_list, self.cloud_after):
            self.listing = True
            self.next_list = (
                context.now + constants.LIST_EVERY_LAGS * context.facts.cloud.list_lag_s
            )
            context.call(lambda s, r, at=context.now: self._list_done(at, s, r), "cloud", "list")

    def _list_done(self, asked: float, status: int, rows: Any) -> None:
        context = self.context
        self.listing = False
        if status != 200:
            self.cloud_after = context.now + constants.BACKOFF_MOST_S
            return
        names = set()
        for name, _, type_name, zone, spot, state, age in rows:
            names.add(name)
            if name in self.returned:
                continue
            # Known from here on, not from the first list that lacks it: after a takeover of the
            # fleet, machines that vanished were proven gone 15 s later than they could be.
            self.known_since.setdefault(name, asked)
            known = self.instances.get(name)
            if known is None:
                known = self.instances[name] = Instance(type_name, zone, spot, state, asked - age)
            known.state = state
            known.absent = 0
            known.instances = True
            if state == "running" and known.running_since is None:
                known.running_since = context.now
            if state == "failed":
                self.terminate(name, "failed")
        lag = constants.ABSENT_LAGS * context.facts.cloud.list_lag_s
        for name in {*self.instances, *context.machines, *context.replica.by_machine} - names:
            since = self.known_since.setdefault(name, context.now)
            known = self.instances.get(name)
            if known is not None and not known.instances:
                since = max(since, known.since)
            # Once listed, a machine stays listed until it is gone: for one that was, newer lists
            # prove it, and the silence of a few reports only guards against our own mistakes.
            silence = (
                heartbeat_timeout_s(context)
                if known is not None and known.instances
                else context.facts.workers.lease_s
            )
            machine = context.machines.get(name)
            if asked - since < lag or (
                machine is not None and context.now - machine.last_heartbeat_at < silence
            ):
                continue
            # Lists certainly newer than our knowledge of the machine lack it, repeatedly.
            known = self.instances.setdefault(name, Instance("", "", False, "running", since))
            known.absent += 1
            if known.absent >= constants.ABSENT_LISTS:
                self.terminate(name, "absent")

    def terminate(self, name: str, why: str) -> None:
        """A machine and all on it are certainly gone; its name never comes again."""
        context = self.context
        if name not in self.returned:
            event("machine_gone", machine=name, why=why)
        self.returned[name] = context.now
        self.instances.pop(name, None)
        self.known_since.pop(name, None)
        self.returning.discard(name)
        for label in self.peers():
            context.emit("send", label, ("gone", [name]))
        if why == "failed":
            context.call(lambda s, r: None, "cloud", "return", [name])

    def peers(self) -> list[str]:
        """Return all controllers, ourselves included."""
        return [self.context.label, *(m.label for m in self.context.settings.members)]

    def records(self) -> None:
        """Write which machines are gone while bindings refer to them; drop old such records."""
        context = self.context
        limits = context.facts.state.least
        writes: list[tuple] = []
        if set(context.types) != set(context.replica.types):
            rows = [list(msgspec.to_builtins(kind)) for kind in context.types.values()]
            if value_bytes(rows) <= value_limit(limits):
                writes.append((TYPES_KEY, rows, None))
        most = max(1, limits.txn_ops // 2)
        for name in context.replica.by_machine:
            if (
                name in self.returned
                and name not in context.replica.terminated_machines
                and context.now - self.gone_written.get(name, -1e9) > constants.STATE_TIMEOUT_S
            ):
                self.gone_written[name] = context.now
                writes.append((termination_key(name), True, None))
        for name in context.replica.terminated_machines:
            if name in context.replica.by_machine:
                self.gone_written[name] = context.now
            elif (
                context.now - self.gone_written.setdefault(name, context.now)
                > constants.GONE_KEEP_S
            ):
                self.gone_written[name] = context.now
                writes.append((termination_key(name),))
        if writes:
            writes = writes[:most]
            context.call(lambda s, r: self._recorded(writes, s, r), "txn", [], writes, 1)
        if len(self.returned) > constants.MAX_QUEUE:
            for name in list(self.returned)[: constants.MAX_QUEUE // 2]:
                if name not in context.replica.by_machine:
                    del self.returned[name]
                    self.gone_written.pop(name, None)

    def _recorded(self, writes: list[tuple], status: int, result: Any) -> None:
        if status == 200:
            for write in writes:
                self.context.replica.apply(
                    write[0], write[1] if len(write) > 1 else None, result[0]
                )
