"""The fleet: what to rent, what to return, which machines are certainly gone."""

from collections import Counter
from typing import Any

import msgspec

from oakmux import constants
from oakmux.core import teams
from oakmux.core.jobs import TYPES_KEY, gone_key, value_bytes, value_limit
from oakmux.core.machines import Keeper, full, has_room, less, rank, room, times, usable
from oakmux.core.membership import FLEET
from oakmux.core.reservations import strands, zone_allowed
from oakmux.core.world import Machine, World, event
from oakmux.wire import JobSpec

Key = tuple[str, str, bool]
"""What is rented: type, zone, spot."""


class Listed:
    """A machine as the cloud's list or a rental's answer names it."""

    __slots__ = ("type", "zone", "spot", "state", "since", "running_since", "absent", "listed")

    def __init__(self, type_name: str, zone: str, spot: bool, state: str, since: float) -> None:
        self.type = type_name
        self.zone = zone
        self.spot = spot
        self.state = state
        self.since = since
        self.running_since: float | None = None
        self.absent = 0
        self.listed = False


class Slot:
    """Room on a machine that is up, on its way, or to be rented."""

    __slots__ = ("name", "type", "zone", "spot", "free", "used")

    def __init__(self, name: str, type_name: str, zone: str, spot: bool,
                 free: tuple[float, float, float]) -> None:
        self.name = name
        self.type = type_name
        self.zone = zone
        self.spot = spot
        self.free = free
        self.used = False


class Fleet:
    """Rents and returns, while we hold the fleet role."""

    def __init__(self, world: World, keeper: Keeper) -> None:
        self.world = world
        self.keeper = keeper
        self.since = 0.0
        self.listed: dict[str, Listed] = {}
        self.returned: dict[str, float] = {}
        self.returning: set[str] = set()
        self.known_since: dict[str, float] = {}
        self.no_capacity: dict[tuple[str, str, bool], float] = {}
        self.renting: dict[str, tuple[str, str, bool, int]] = {}
        self.requests = 0
        self.listing = False
        self.next_list = 0.0
        self.next_pass = 0.0
        self.unplaced = False
        self.cloud_after = 0.0
        self.gone_written: dict[str, float] = {}
        self.moving: dict[str, float] = {}
        self.there: Counter[str] = Counter()

    def won(self) -> None:
        """Begin to hold the role."""
        self.since = self.world.now
        self.listed.clear()
        self.known_since.clear()
        self.returning.clear()
        self.renting.clear()
        self.next_list = 0.0

    def tick(self) -> None:
        """Do what is due."""
        world = self.world
        if FLEET not in world.my_roles or not world.types:
            return
        if not self.listing and world.now >= max(self.next_list, self.cloud_after):
            self.listing = True
            self.next_list = world.now + constants.LIST_EVERY_LAGS * world.facts.cloud.list_lag_s
            world.call(lambda s, r, at=world.now: self._list_done(at, s, r), "cloud", "list")
        if world.now >= self.next_pass and self.keeper.state_fresh():
            self.next_pass = world.now + constants.FLEET_PASS_S
            self._records()
            slots = self._demand()
            if not self.unplaced:
                self._consolidate(slots)
            self._idle(slots)
            self._return_bad()

    # --- the list ---

    def _list_done(self, asked: float, status: int, rows: Any) -> None:
        world = self.world
        self.listing = False
        if status != 200:
            self.cloud_after = world.now + constants.BACKOFF_MOST_S
            return
        names = set()
        for name, _, type_name, zone, spot, state, age in rows:
            names.add(name)
            if name in self.returned:
                continue
            # Known from here on, not from the first list that lacks it: after a takeover of the
            # fleet, machines that vanished were proven gone 15 s later than they could be.
            self.known_since.setdefault(name, asked)
            known = self.listed.get(name)
            if known is None:
                known = self.listed[name] = Listed(type_name, zone, spot, state, asked - age)
            known.state = state
            known.absent = 0
            known.listed = True
            if state == "running" and known.running_since is None:
                known.running_since = world.now
            if state == "failed":
                self._gone(name, "failed")
        lag = constants.ABSENT_LAGS * world.facts.cloud.list_lag_s
        for name in {*self.listed, *world.machines, *world.replica.by_machine} - names:
            since = self.known_since.setdefault(name, world.now)
            known = self.listed.get(name)
            if known is not None and not known.listed:
                since = max(since, known.since)
            machine = world.machines.get(name)
            if asked - since < lag or (machine is not None and world.now - machine.heard
                                       < world.facts.workers.lease_s):
                continue
            # Lists certainly newer than our knowledge of the machine lack it, repeatedly.
            known = self.listed.setdefault(name, Listed("", "", False, "running", since))
            known.absent += 1
            if known.absent >= constants.ABSENT_LISTS:
                self._gone(name, "absent")

    def _gone(self, name: str, why: str) -> None:
        """A machine and all on it are certainly gone; its name never comes again."""
        world = self.world
        if name not in self.returned:
            event("machine_gone", machine=name, why=why)
        self.returned[name] = world.now
        self.listed.pop(name, None)
        self.known_since.pop(name, None)
        self.returning.discard(name)
        for label in self.peers():
            world.emit("send", label, ("gone", [name]))
        if why == "failed":
            world.call(lambda s, r: None, "cloud", "return", [name])

    def peers(self) -> list[str]:
        """Return all controllers, ourselves included."""
        return [self.world.label, *(m.label for m in self.world.settings.members)]

    def _records(self) -> None:
        """Write which machines are gone while bindings refer to them; drop old such records."""
        world = self.world
        limits = world.facts.state.least
        writes: list[tuple] = []
        if set(world.types) != set(world.replica.types):
            rows = [list(msgspec.to_builtins(kind)) for kind in world.types.values()]
            if value_bytes(rows) <= value_limit(limits):
                writes.append((TYPES_KEY, rows, None))
        most = max(1, limits.txn_ops // 2)
        for name in world.replica.by_machine:
            if (name in self.returned and name not in world.replica.gone
                    and world.now - self.gone_written.get(name, -1e9)
                    > constants.STATE_TIMEOUT_S):
                self.gone_written[name] = world.now
                writes.append((gone_key(name), True, None))
        for name in world.replica.gone:
            if name in world.replica.by_machine:
                self.gone_written[name] = world.now
            elif world.now - self.gone_written.setdefault(name, world.now) > constants.GONE_KEEP_S:
                self.gone_written[name] = world.now
                writes.append((gone_key(name),))
        if writes:
            writes = writes[:most]
            world.call(lambda s, r: self._recorded(writes, s, r), "txn", [], writes, 1)
        if len(self.returned) > constants.MAX_QUEUE:
            for name in list(self.returned)[: constants.MAX_QUEUE // 2]:
                if name not in world.replica.by_machine:
                    del self.returned[name]
                    self.gone_written.pop(name, None)

    def _recorded(self, writes: list[tuple], status: int, result: Any) -> None:
        if status == 200:
            for write in writes:
                self.world.replica.apply(write[0], write[1] if len(write) > 1 else None, result[0])

    # --- renting ---

    def _slots(self) -> list[Slot]:
        world = self.world
        slots = []
        silent = world.facts.workers.lease_s
        for machine in world.machines.values():
            if usable(world, machine) and world.now - machine.heard < silent:
                slots.append(Slot(machine.name, machine.type, machine.zone, machine.spot,
                                  room(world, machine)))
        for name, known in self.listed.items():
            kind = world.types.get(known.type)
            if (name in world.machines or name in self.returned or kind is None
                    or known.state == "failed"
                    or world.now - known.since > constants.BOOT_PATIENCE * kind.boot_s):
                continue
            slots.append(Slot(name, known.type, known.zone, known.spot,
                              (kind.cpus, kind.gpus, kind.memory_gb)))
        for type_name, zone, spot, count in self.renting.values():
            kind = world.types[type_name]
            slots.extend(Slot("", type_name, zone, spot, (kind.cpus, kind.gpus, kind.memory_gb))
                         for _ in range(count))
        return slots

    def _demand(self) -> list[Slot]:
        """Place unstarted tasks on what is there or coming; rent for the rest."""
        world = self.world
        slots = self._slots()
        self.there = Counter(slot.zone for slot in slots)
        free = [slot for slot in slots if not full(world, slot.free)]
        used = dict(teams.usage(world))
        ranked = sorted(((rank(world, job, job.spec, used), job.since, job.spec, job)
                         for job in world.replica.active.values()
                         if job.spec is not None and not job.final and job.ready
                         and job.id not in self.keeper.cancelled), key=lambda row: row[:2])
        rent: dict[Key, int] = {}
        left = constants.DEMAND_TASKS
        self.unplaced = False
        for _, _, spec, job in ranked:
            bound = job.bindings()
            wanted = min(job.tasks - job.done_count() - len(bound), left,
                         teams.tasks_left(world, job.team, spec, used))
            if wanted <= 0:
                continue
            placed, new = self._place(spec, [b.zone for b in bound], wanted, free, rent)
            slots += new
            self.unplaced = (self.unplaced or len(placed) < wanted
                             or any(not slot.name for slot in placed))
            for slot in placed:
                slot.used = True
            free = [slot for slot in (*free, *new) if not full(world, slot.free)]
            cpus, gpus = used.get(job.team, (0.0, 0.0))
            used[job.team] = (cpus + len(placed) * spec.cpus, gpus + len(placed) * spec.gpus)
            left -= len(placed)
        for key, count in rent.items():
            while count > 0:
                self._rent(*key, min(count, constants.MAX_RENT))
                count -= constants.MAX_RENT
        return slots

    def _place(self, spec: JobSpec, zones: list[str], wanted: int, free: list[Slot],
               rent: dict[Key, int]) -> tuple[list[Slot], list[Slot]]:
        """Return a slot for each task that finds one, present ones first, and the new ones."""
        world = self.world
        zones = list(zones)
        allowed = world.facts.zones if spec.zone is None else [spec.zone]
        there = [slot for slot in free
                 if has_room(slot.free, spec) and world.fits_type(spec, slot.type)
                 and (spec.spot or not slot.spot) and slot.zone in allowed]
        if spec.one_zone and not zones:
            # All go to one zone: to where most of them find room already or can be rented for.
            room_in = Counter[str]()
            for slot in there:
                room_in[slot.zone] += times(slot.free, spec)
            allowed = [max(allowed, key=lambda zone: (
                room_in[zone] >= wanted, self._cheapest(spec, zones, [zone]) is not None,
                room_in[zone]))]
            there = [slot for slot in there if slot.zone in allowed]
        if spec.spot and spec.gpus:  # leave the others to work that may not go to spot machines
            there.sort(key=lambda slot: not slot.spot)
        if not spec.gpus:  # leave free GPUs, and the CPUs that they need, to work that needs them
            there.sort(key=lambda slot: (strands(spec, world.types[slot.type], slot.free),
                                         slot.free[1]))
        placed: list[Slot] = []
        new: list[Slot] = []
        for slot in there:
            while (len(placed) < wanted and has_room(slot.free, spec)
                   and zone_allowed(spec, zones, slot.zone)):
                self._put(spec, slot, zones, placed)
            if len(placed) >= wanted:
                break
        while len(placed) < wanted:
            key = self._cheapest(spec, zones, allowed)
            if key is None:
                break
            kind = world.types[key[0]]
            rent[key] = rent.get(key, 0) + 1
            self.there[key[1]] += 1
            slot = Slot("", *key, (kind.cpus, kind.gpus, kind.memory_gb))
            new.append(slot)
            while (len(placed) < wanted and has_room(slot.free, spec)
                   and zone_allowed(spec, zones, slot.zone)):
                self._put(spec, slot, zones, placed)
        return placed, new

    def _put(self, spec: JobSpec, slot: Slot, zones: list[str], placed: list[Slot]) -> None:
        slot.free = less(slot.free, spec)
        zones.append(slot.zone)
        placed.append(slot)

    def _cheapest(self, spec: JobSpec, zones: list[str], allowed: list[str]) -> Key | None:
        """Return the cheapest type, zone and kind to rent for a task, the emptier zone first."""
        world = self.world
        best = None
        for kind in world.types.values():
            if not world.fits_type(spec, kind.name):
                continue
            for zone in kind.zones:
                if zone not in allowed or not zone_allowed(spec, zones, zone):
                    continue
                for spot in ((True, False) if spec.spot else (False,)):
                    key = (kind.name, zone, spot)
                    if self.no_capacity.get(key, 0.0) > world.now:
                        continue
                    price = kind.spot_price if spot else kind.price
                    row = (price, self.there[zone], world.rng.random(), key)
                    if best is None or row < best:
                        best = row
        return None if best is None else best[3]

    def _rent(self, type_name: str, zone: str, spot: bool, count: int) -> None:
        if self.world.now < self.cloud_after:
            return
        self.requests += 1
        # The name holds our life's term, so no controller and no life uses it again.
        name = f"oakmux-{self.world.life}-{self.requests}"
        self.renting[name] = (type_name, zone, spot, count)
        event("rent", request=name, type=type_name, zone=zone, spot=int(spot), count=count)
        self._ask(name, 1)

    def _ask(self, name: str, tries: int) -> None:
        type_name, zone, spot, count = self.renting[name]
        self.world.call(lambda s, r: self._rented(name, tries, s, r), "cloud", "rent", name,
                        type_name, zone, spot, count)

    def _rented(self, name: str, tries: int, status: int, result: Any) -> None:
        world = self.world
        wanted = self.renting.get(name)
        if wanted is None:
            return
        if status == 0 and tries < constants.RENT_TRIES:
            self._ask(name, tries + 1)  # repeating a name never rents twice
            return
        del self.renting[name]
        type_name, zone, spot, count = wanted
        if status == 200:
            for machine in result:
                self.listed[machine] = Listed(type_name, zone, spot, "booting", world.now)
            if len(result) < count:
                self.no_capacity[(type_name, zone, spot)] = world.now + constants.NO_CAPACITY_S
        elif status == 503 and result == "no capacity":
            self.no_capacity[(type_name, zone, spot)] = world.now + constants.NO_CAPACITY_S
        else:
            self.cloud_after = world.now + constants.BACKOFF_MOST_S
        event("rented", request=name, status=status, got=len(result) if status == 200 else 0)

    # --- returning ---

    def _empty(self, name: str) -> bool:
        machine = self.world.machines.get(name)
        return (not self.world.replica.by_machine.get(name)
                and (machine is None or machine.idle_since is not None))

    def _idle(self, slots: list[Slot]) -> None:
        world = self.world
        needed = {slot.name for slot in slots if slot.used}
        for name, machine in world.machines.items():
            if name in self.returning or name in self.returned:
                continue
            drained = world.draining.get(name)
            if drained is not None:
                if not self._empty(name):
                    # Work came before the drain was known everywhere, or a move did not end.
                    if (len(machine.errors) < constants.SICK_ERRORS
                            and self.moving.get(name, 0.0) < world.now):
                        del world.draining[name]
                        self.moving.pop(name, None)
                elif world.now - drained >= constants.DRAIN_S:
                    self._return([name], "idle")
            elif (machine.idle_since is not None and self._empty(name) and name not in needed
                    and world.now - machine.idle_since > constants.IDLE_KEEP_S
                    and world.now - machine.first_heard > constants.IDLE_KEEP_S):
                world.draining[name] = world.now
        names = [name for name in world.draining if name in world.machines]
        if names:
            for label in self.peers()[1:]:
                world.emit("send", label, ("drain", names))

    def _consolidate(self, slots: list[Slot]) -> None:
        """Move the services off the emptiest machine when others have room and their images."""
        world = self.world
        if any(until > world.now and name in world.machines
               for name, until in self.moving.items()):
            return
        self.moving = {n: t for n, t in self.moving.items() if n in world.draining}
        others = [s for s in slots if s.name in world.machines]
        best = None
        for slot in others:
            machine = world.machines[slot.name]
            kind = world.types[slot.type]
            if (machine.idle_since is not None or slot.used or slot.name in world.draining
                    or world.now - machine.first_heard < constants.IDLE_KEEP_S):
                continue
            left = slot.free[1] / kind.gpus if kind.gpus else slot.free[0] / kind.cpus
            if left >= constants.MOVE_FREE and (best is None or left > best[0]):
                moves = self._moves(machine, [s for s in others if s is not slot])
                if moves:
                    best = (left, slot.name, moves)
        if best is None:
            return
        _, name, moves = best
        world.draining[name] = world.now
        self.moving[name] = world.now + constants.MOVE_S
        event("move", machine=name, tasks=len(moves))
        for task, attempt in moves:
            world.emit("send", world.machines[name].keeper, ("move", name, task, attempt))

    def _moves(self, machine: Machine, others: list[Slot]) -> list[tuple[str, int]] | None:
        """Return the services to move off a machine, or None if that can't be done at once."""
        world = self.world
        free = {slot.name: slot.free for slot in others}
        # Two tasks of one job may move at once: each must see where the other goes.
        zones_of: dict[str, list[str]] = {}
        moves = []
        for (job_id, index), binding in world.replica.by_machine.get(machine.name, {}).items():
            job = world.replica.jobs.get(job_id)
            task = (f"{job_id}/{index}", binding.attempt)
            if (job is None or job.spec is None or job.spec.kind != "service"
                    or machine.tasks.get(task, ("",))[0] != "running"
                    or world.now - machine.since.get(task, world.now) < constants.IDLE_KEEP_S):
                return None
            spec = job.spec
            zones = zones_of.setdefault(job_id, [b.zone for b in job.bindings()])
            zones.remove(binding.zone)
            for slot in others:
                other = world.machines[slot.name]
                if (other.idle_since is None and spec.image in other.images
                        and has_room(free[slot.name], spec) and world.fits(spec, other)
                        and zone_allowed(spec, zones, slot.zone)):
                    free[slot.name] = less(free[slot.name], spec)
                    zones.append(slot.zone)
                    moves.append(task)
                    break
            else:
                return None
        return moves

    def _return_bad(self) -> None:
        """Return machines that never boot, fell silent or fail all that they run."""
        world = self.world
        silent = constants.SILENT_LEASES * world.facts.workers.lease_s
        for name, known in list(self.listed.items()):
            if name in self.returning or not known.listed:
                continue
            machine = world.machines.get(name)
            kind = world.types.get(known.type)
            if machine is None:
                patience = constants.BOOT_PATIENCE * kind.boot_s if kind is not None else silent
                if known.state == "booting" and world.now - known.since > patience:
                    self._return([name], "never_booted")
                elif (known.running_since is not None
                        and world.now - max(known.running_since, self.since) > silent):
                    self._return([name], "never_heard")
                continue
            quiet = world.now - max(machine.heard, self.since)
            keeper_hears = (machine.keeper in world.replica.nodes
                            and machine.keeper != world.label
                            and world.now - self.keeper.peer_heard.get(machine.keeper, -1e9)
                            > constants.ALIVE_S * 3)
            if quiet > silent * (2 if keeper_hears else 1):
                self._return([name], "silent")
            elif len(machine.errors) >= constants.SICK_ERRORS:
                if name not in world.draining:
                    world.draining[name] = world.now
                elif self._empty(name):
                    self._return([name], "sick")

    def _return(self, names: list[str], why: str) -> None:
        world = self.world
        if world.now < self.cloud_after:
            return
        self.returning.update(names)
        event("return", machines=",".join(names), why=why)
        world.call(lambda s, r: self._return_done(names, s), "cloud", "return", names)

    def _return_done(self, names: list[str], status: int) -> None:
        self.returning.difference_update(names)
        if status == 200:
            for name in names:
                self._gone(name, "returned")
        else:
            self.cloud_after = self.world.now + constants.BACKOFF_MOST_S

