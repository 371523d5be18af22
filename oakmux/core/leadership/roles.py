"""Roles: each team, and the fleet of machines, is owned by one controller at a time."""

import hashlib
from collections import Counter
from typing import Any

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.leadership.controller_lease import ControllerLease
from oakmux.core.messages import Transaction
from oakmux.core.state.keys import role_key
from oakmux.logs import event

FLEET = "#fleet"


def assign_roles(free: list[str], held: dict[str, str], controllers: list[str]) -> dict[str, str]:
    """Return which controller should claim each free role: the one with the fewest.

    Ties are broken by hash. All controllers come to the same result from the same records, and
    claims are conditional.
    """
    load = Counter(label for label in held.values() if label in controllers)
    assigned = {}
    for role in sorted(free):
        assigned[role] = min(
            controllers,
            key=lambda label: (
                load[label],
                hashlib.blake2b(f"{role}|{label}".encode()).digest(),
            ),
        )
        load[assigned[role]] += 1
    return assigned


class RoleClaims:
    """Claims this controller's part of the roles, and gives up what is beyond it."""

    def __init__(self, context: Context, lease: ControllerLease) -> None:
        self.context = context
        self.lease = lease
        self.claiming: set[str] = set()
        self.next_rebalance_at = 0.0
        # The records' state that `held_roles` was last computed from, and whether a claim was then
        # newer than our copy of the records.
        self.computed_from: tuple[int, int, int] | None = None
        self.awaiting_claims = False

    # --- claiming ---

    def tick(self) -> None:
        """Claim free roles that are assigned to us, or rebalance if there are none."""
        context = self.context
        controllers = sorted({*context.replica.live_controllers, context.controller_id})
        held = {role: row[0] for role, row in context.replica.roles.items()}
        free = [role for role in (*context.teams, FLEET) if role not in held]
        assigned = assign_roles(free, held, controllers)
        # Roles of subsystems are no part of that count, in which all controllers must agree: one
        # that runs without the subsystem, or of an earlier version, would wait for the others and
        # they for it. All that run the subsystem try to claim them; the condition lets one win.
        assigned.update(
            (role, context.controller_id) for role in context.extra_roles if role not in held
        )
        for role in (*context.teams, FLEET, *context.extra_roles):
            mine = assigned.get(role) == context.controller_id or self._is_predecessors(role)
            if mine and role not in self.claiming:
                self._claim(role)
        if not assigned and context.now >= self.next_rebalance_at:
            self.next_rebalance_at = context.now + constants.ROLE_REBALANCE_S
            self._rebalance(held, controllers)

    def _is_predecessors(self, role: str) -> bool:
        """Whether a role's key is of the process before this one.

        That process is gone; writes of it that are still on their way fail once the key is
        replaced, since they are conditional on the old key's mod revision.
        """
        context = self.context
        row = context.replica.roles.get(role)
        return (
            row is not None and row[0] == context.controller_id and row[1] != context.incarnation
        )

    def _claim(self, role: str) -> None:
        context = self.context
        row = context.replica.roles.get(role)
        key, value = role_key(role), [context.controller_id, context.incarnation]
        self.claiming.add(role)
        context.call(
            lambda status, result: self._on_claimed(role, value, status, result),
            Transaction,
            [(key, row[2] if row else 0)],
            [(key, value, self.lease.lease_id)],
            constants.LEADERSHIP_WRITE_PRIORITY,
        )

    def _on_claimed(self, role: str, value: list[Any], status: int, result: Any) -> None:
        self.claiming.discard(role)
        if status == 200:
            self.context.replica.apply(role_key(role), value, result[0])
            event("role_acquired", role=role, revision=result[0])
        elif status == 400:
            self.lease.lost("no_such_lease")

    def _rebalance(self, held: dict[str, str], controllers: list[str]) -> None:
        """Release a role when another controller has two fewer, so that it is claimed there."""
        context = self.context
        load = Counter(
            label for role, label in held.items() if role == FLEET or role in context.teams
        )
        mine = sorted(role for role in context.held_roles if role in context.teams)
        if not mine or load[context.controller_id] < 2 + min(load[label] for label in controllers):
            return
        # Writes of ours that come late are conditional on the key's mod revision.
        event("role_released", role=mine[0], roles=len(mine))
        key = role_key(mine[0])
        context.call(
            lambda status, result: self._on_released(key, status, result),
            Transaction,
            [(key, context.held_roles[mine[0]])],
            [(key,)],
            1,
        )

    def _on_released(self, key: str, status: int, result: Any) -> None:
        if status == 200:
            self.context.replica.apply(key, None, result[0])

    # --- what is held ---

    def refresh(self) -> list[str]:
        """Bring `held_roles` up to date with the records; return the roles acquired since.

        A role counts only when the replica has all changes up to the claim: no write of an
        earlier owner can come after it, so the records are then complete.
        """
        context, replica = self.context, self.context.replica
        changes = (replica.role_changes, context.incarnation)
        if self.computed_from == (*changes, replica.revision if self.awaiting_claims else 0):
            return []
        self.awaiting_claims = any(
            mod_revision > replica.revision for _, _, mod_revision in replica.roles.values()
        )
        self.computed_from = (*changes, replica.revision if self.awaiting_claims else 0)
        held = {
            role: mod_revision
            for role, (label, incarnation, mod_revision) in replica.roles.items()
            if label == context.controller_id
            and incarnation == context.incarnation
            and replica.revision >= mod_revision
        }
        acquired = [
            role
            for role, mod_revision in held.items()
            if context.held_roles.get(role) != mod_revision
        ]
        if held != context.held_roles:
            event("roles_held", roles=",".join(sorted(held)) or "none")
        context.held_roles = held
        return acquired
