"""What to give back: idle machines, bad ones, and those that services can be moved away from."""

from collections import Counter

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.capacity import fits_resources, is_quarantined, subtract
from oakmux.core.agents.reachability import is_reachable, unreachable_s
from oakmux.core.autoscaling.instance_inventory import InstanceInventory
from oakmux.core.autoscaling.scale_out import Slot
from oakmux.core.context import Context, Machine, event
from oakmux.core.scheduling.placement import zone_allowed


class ScaleIn:
    """Drains and returns machines."""

    def __init__(
        self, context: Context, cancellations: CancellationLog, inventory: InstanceInventory
    ) -> None:
        self.context = context
        self.cancellations = cancellations
        self.inventory = inventory
        self.moving: dict[str, float] = {}
        self.quarantined_since: dict[str, float] = {}
        # Zones where most machines did not hear us, until when that counts.
        self.zone_unreachable_until: dict[str, float] = {}

    def _empty(self, name: str) -> bool:
        machine = self.context.machines.get(name)
        return not self.context.replica.by_machine.get(name) and (
            machine is None or machine.idle_since is not None
        )

    def idle(self, slots: list[Slot]) -> None:
        """Drain what has nothing to do, and return what is drained."""
        context = self.context
        needed = {slot.name for slot in slots if slot.team_usage}
        for name, machine in context.machines.items():
            if name in self.inventory.returning or name in self.inventory.returned:
                continue
            drained = context.draining.get(name)
            if drained is not None:
                if not self._empty(name):
                    # Work came before the drain was known everywhere, or a move did not end.
                    if (
                        not is_quarantined(context, machine)
                        and self.moving.get(name, 0.0) < context.now
                    ):
                        context.undrain(name)
                        self.moving.pop(name, None)
                elif (
                    context.now - drained >= constants.DRAIN_S
                    and name not in self.quarantined_since
                ):
                    self._return([name], "idle")
            elif (
                machine.idle_since is not None
                and is_reachable(machine)
                and self._empty(name)
                and name not in needed
                and not context.backfill.names(name)
                # What ended in an outage left its machine idle for want of nothing but word.
                and context.now - max(machine.idle_since, context.store_recovered_at)
                > constants.IDLE_KEEP_S
                and context.now - machine.first_heartbeat_at > constants.IDLE_KEEP_S
            ):
                context.drain(name)
        names = [name for name in context.draining if name in context.machines]
        if names:
            for label in self.inventory.peers()[1:]:
                context.emit("send", label, ("drain", names))

    def consolidate(self, slots: list[Slot]) -> None:
        """Move the services off the emptiest machine when others have room and their images."""
        context = self.context
        if any(
            until > context.now and name in context.machines for name, until in self.moving.items()
        ):
            return
        self.moving = {n: t for n, t in self.moving.items() if n in context.draining}
        others = [s for s in slots if s.name in context.machines]
        best = None
        for slot in others:
            machine = context.machines[slot.name]
            kind = context.types[slot.type]
            if (
                machine.idle_since is not None
                or slot.team_usage
                or slot.name in context.draining
                or context.now - machine.first_heartbeat_at < constants.IDLE_KEEP_S
            ):
                continue
            left = slot.free[1] / kind.gpus if kind.gpus else slot.free[0] / kind.cpus
            if left >= constants.MOVE_FREE and (best is None or left > best[0]):
                moves = self._moves(machine, [s for s in others if s is not slot])
                if moves:
                    best = (left, slot.name, moves)
        if best is None:
            return
        _, name, moves = best
        context.drain(name)
        self.moving[name] = context.now + constants.MOVE_S
        event("move", machine=name, tasks=len(moves))
        for task, attempt in moves:
            context.emit("send", context.machines[name].manager, ("move", name, task, attempt))

    def _moves(self, machine: Machine, others: list[Slot]) -> list[tuple[str, int]] | None:
        """Return the services to move off a machine, or None if that can't be done at once."""
        context = self.context
        free = {slot.name: slot.free for slot in others}
        # Two tasks of one job may move at once: each must see where the other goes.
        zones_of: dict[str, list[str]] = {}
        moves = []
        for (job_id, index), binding in context.replica.by_machine.get(machine.name, {}).items():
            job = context.replica.jobs.get(job_id)
            task = (f"{job_id}/{index}", binding.attempt)
            if (
                job is None
                or job.spec is None
                or job.spec.kind != "service"
                or machine.tasks.get(task, ("",))[0] != "running"
                or context.now - machine.since.get(task, context.now) < constants.IDLE_KEEP_S
            ):
                return None
            spec = job.spec
            zones = zones_of.setdefault(job_id, [b.zone for b in job.bindings()])
            zones.remove(binding.zone)
            for slot in others:
                other = context.machines[slot.name]
                if (
                    other.idle_since is None
                    and spec.image in other.images
                    and fits_resources(free[slot.name], spec)
                    and context.fits(spec, other)
                    and zone_allowed(spec, zones, slot.zone)
                ):
                    free[slot.name] = subtract(free[slot.name], spec)
                    zones.append(slot.zone)
                    moves.append(task)
                    break
            else:
                return None
        return moves

    def return_unhealthy(self) -> None:
        """Return machines that never boot, fell silent or fail all that they run."""
        context = self.context
        unresponsive = constants.SILENT_LEASES * context.facts.workers.lease_s
        unreachable_zones = self._unreachable_zones()
        self.quarantined_since = {
            n: at for n, at in self.quarantined_since.items() if n in context.machines
        }
        for name, known in list(self.inventory.instances.items()):
            if name in self.inventory.returning or not known.instances:
                continue
            machine = context.machines.get(name)
            kind = context.types.get(known.type)
            if machine is None:
                patience = (
                    constants.BOOT_PATIENCE * kind.boot_s if kind is not None else unresponsive
                )
                if known.state == "booting" and context.now - known.since > patience:
                    self.inventory.failed_boots.append(
                        (context.now, (known.type, known.zone, known.spot))
                    )
                    self._return([name], "never_booted")
                elif (
                    known.running_since is not None
                    and context.now - max(known.running_since, self.inventory.since) > unresponsive
                ):
                    self._return([name], "never_heard")
                continue
            quiet = context.now - max(
                machine.last_heartbeat_at, self.inventory.since, context.resumed_at
            )
            keeper_hears = (
                machine.manager in context.replica.live_controllers
                and machine.manager != context.label
                and context.now - self.cancellations.peer_seen_at.get(machine.manager, -1e9)
                > constants.ALIVE_S * 3
            )
            if quiet > unresponsive * (2 if keeper_hears else 1):
                self._return([name], "silent")
            elif min(
                unreachable_s(context, machine), context.now - self.inventory.since
            ) > unresponsive * (2 if machine.zone in unreachable_zones else 1):
                self._return([name], "deaf")
            elif is_quarantined(context, machine):
                # Nothing new goes there; it is given back if that still stands once the jobs that
                # failed there were tried elsewhere.
                if name not in self.quarantined_since:
                    self.quarantined_since[name] = context.now
                    context.drain(name)
                elif (
                    self._empty(name)
                    and context.now - self.quarantined_since[name] > constants.SICK_HOLD_S
                ):
                    self._return([name], "sick")
            elif self.quarantined_since.pop(name, None) is not None:
                context.undrain(name)

    def _unreachable_zones(self) -> set[str]:
        """Return the zones where most machines don't hear us, or did not a lease ago: a fault of
        the way there that ends for all of them, though not for all in the same second."""
        now = self.context.now
        all_of, deaf = Counter[str](), Counter[str]()
        for machine in self.context.machines.values():
            all_of[machine.zone] += 1
            deaf[machine.zone] += not is_reachable(machine)
        for zone, plan in deaf.items():
            if plan > 1 and plan > all_of[zone] * constants.DEAF_SHARE:
                self.zone_unreachable_until[zone] = now + self.context.facts.workers.lease_s
        return {zone for zone, until in self.zone_unreachable_until.items() if until > now}

    def _return(self, names: list[str], why: str) -> None:
        context = self.context
        if context.now < self.inventory.cloud_after:
            return
        self.inventory.returning.update(names)
        event("return", machines=",".join(names), why=why)
        context.call(lambda s, r: self._return_done(names, s), "cloud", "return", names)

    def _return_done(self, names: list[str], status: int) -> None:
        self.inventory.returning.difference_update(names)
        if status == 200:
            for name in names:
                self.inventory.terminate(name, "returned")
        else:
            self.inventory.cloud_after = self.context.now + constants.BACKOFF_MOST_S
