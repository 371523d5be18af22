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


def assign_roles(
    free: list[str], holders: dict[str, str], controllers: list[str]
) -> dict[str, str]:
    """Return the controller that should claim each free role: the one with the fewest roles.

    Ties are broken by hash. The same records give the same result on all controllers, and claims
    are conditional writes.
    """
    role_counts = Counter(
        controller_id for controller_id in holders.values() if controller_id in controllers
    )
    assigned = {}
    for role in sorted(free):
        assigned[role] = min(
            controllers,
            key=lambda controller_id: (
                role_counts[controller_id],
                hashlib.blake2b(f"{role}|{controller_id}".encode()).digest(),
            ),
        )
        role_counts[assigned[role]] += 1
    return assigned


class RoleClaims:
    """Claims this controller's share of the roles, and releases excess roles."""

    def __init__(self, context: Context, lease: ControllerLease) -> None:
        self.context = context
        self.lease = lease
        self.claiming: set[str] = set()
        self.next_rebalance_at = 0.0
        # The state of the records from which `held_roles` was last computed, and whether a claim
        # was newer than the replica at that time.
        self.computed_from: tuple[int, int, int] | None = None
        self.awaiting_claims = False

    # --- claiming ---

    def tick(self) -> None:
        """Claim free roles assigned to this controller, or rebalance if no role is free."""
        context = self.context
        controllers = sorted({*context.replica.live_controllers, context.controller_id})
        holders = {role: holder[0] for role, holder in context.replica.roles.items()}
        free = [role for role in (*context.teams, FLEET) if role not in holders]
        assigned = assign_roles(free, holders, controllers)
        # Roles of subsystems are not part of the assignment, on which all controllers must agree:
        # a controller without the subsystem, or of an earlier version, would wait for the others
        # and they for it. All controllers that run the subsystem try to claim its roles; the
        # condition lets one succeed.
        assigned.update(
            (role, context.controller_id) for role in context.extra_roles if role not in holders
        )
        for role in (*context.teams, FLEET, *context.extra_roles):
            claim = assigned.get(role) == context.controller_id or self._held_by_predecessor(role)
            if claim and role not in self.claiming:
                self._claim(role)
        if not assigned and context.now >= self.next_rebalance_at:
            self.next_rebalance_at = context.now + constants.ROLE_REBALANCE_S
            self._rebalance(holders, controllers)

    def _held_by_predecessor(self, role: str) -> bool:
        """Whether the previous process of this controller wrote a role's key.

        That process has ended. Its writes in flight fail once the key is replaced, since they are
        conditional on the old key's mod revision.
        """
        context = self.context
        holder = context.replica.roles.get(role)
        return (
            holder is not None
            and holder[0] == context.controller_id
            and holder[1] != context.incarnation
        )

    def _claim(self, role: str) -> None:
        context = self.context
        holder = context.replica.roles.get(role)
        key, value = role_key(role), [context.controller_id, context.incarnation]
        self.claiming.add(role)
        context.call(
            lambda status, result: self._on_claimed(role, value, status, result),
            Transaction,
            [(key, holder[2] if holder else 0)],
            [(key, value, self.lease.lease_id)],
            constants.LEADERSHIP_WRITE_PRIORITY,
        )

    def _on_claimed(self, role: str, value: list[Any], status: int, result: Any) -> None:
        self.claiming.discard(role)
        if status == 200:
            self.context.replica.apply(role_key(role), value, result[0])
            event(
                "role_acquired",
                role=role,
                revision=result[0],
                incarnation=self.context.incarnation,
                term=self.context.term,
            )
        elif status == 400:
            self.lease.on_lost("no_such_lease")

    def _rebalance(self, holders: dict[str, str], controllers: list[str]) -> None:
        """Release a role if another controller has at least two fewer; that one then claims it."""
        context = self.context
        role_counts = Counter(
            controller_id
            for role, controller_id in holders.items()
            if role == FLEET or role in context.teams
        )
        held_teams = sorted(role for role in context.held_roles if role in context.teams)
        if not held_teams or role_counts[context.controller_id] < 2 + min(
            role_counts[controller_id] for controller_id in controllers
        ):
            return
        # Late writes of this controller fail: they are conditional on the key's mod revision.
        event("role_released", role=held_teams[0], roles=len(held_teams))
        key = role_key(held_teams[0])
        context.call(
            lambda status, result: self._on_released(key, status, result),
            Transaction,
            [(key, context.held_roles[held_teams[0]])],
            [(key,)],
            1,
        )

    def _on_released(self, key: str, status: int, result: Any) -> None:
        if status == 200:
            self.context.replica.apply(key, None, result[0])

    # --- held roles ---

    def refresh(self) -> list[str]:
        """Update `held_roles` from the records; return the roles acquired since the last call.

        A role counts as held only when the replica has all changes up to the claim. No write of
        an earlier owner can succeed after the claim, so the replica is then complete.
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
            for role, (controller_id, incarnation, mod_revision) in replica.roles.items()
            if controller_id == context.controller_id
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
