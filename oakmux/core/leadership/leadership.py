"""Terms, the lease that says we live, and which roles (teams, the fleet) are ours."""

import hashlib
from collections import Counter
from typing import Any

from oakmux import constants
from oakmux.core.context import Context, event
from oakmux.core.state.formats import tasks_per_block
from oakmux.core.state.keys import FORMAT_KEY, TERM_KEY, controller_key, role_key, version_key

FLEET = "#fleet"


def assign_roles(free: list[str], held: dict[str, str], nodes: list[str]) -> dict[str, str]:
    """Return who should claim each free role: the controller with the fewest, chance by hash.

    All controllers come to the same answer from the same records, and claims are guarded.
    """
    load = Counter(node for node in held.values() if node in nodes)
    chosen = {}
    for role in sorted(free):
        chosen[role] = min(
            nodes,
            key=lambda node: (load[node], hashlib.blake2b(f"{role}|{node}".encode()).digest()),
        )
        load[chosen[role]] += 1
    return chosen


class Leadership:
    """Keeps our term, our lease and our roles."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.lease: int | None = None
        self.lease_since = 0.0
        self.next_renew = 0.0
        self.busy: set[str] = set()
        self.raise_above = 0
        self.want_term = True
        self.key_written = False
        self.key_written_at = 0.0
        self.next_try = 0.0
        self.next_yield = 0.0
        # What the roles were last seen at, and whether a claim is newer than our records then.
        self.roles_seen: tuple[int, int, int] | None = None
        self.awaiting_claims = False

    def need_term_above(self, fencing_token: int) -> None:
        """Ask for a term above a token that a worker showed."""
        if fencing_token >= self.context.term:
            self.raise_above = max(self.raise_above, fencing_token)
            self.want_term = True

    def tick(self) -> None:
        """Do what is due."""
        context = self.context
        if (
            not context.replica.loaded
            or context.replica.unknown_format
            or context.now < self.next_try
        ):
            return
        self._negotiate_format()
        if self.want_term and "term" not in self.busy:
            self._raise_term()
        if not context.incarnation:
            return
        if self.lease is None:
            if "lease" not in self.busy:
                self.busy.add("lease")
                context.call(self._granted, "grant", constants.CONTROLLER_LEASE_S)
            return
        if context.now >= self.next_renew and "renew" not in self.busy:
            self.busy.add("renew")
            self.next_renew = context.now + constants.LEASE_RENEWAL_S
            context.call(self._renewed, "renew", self.lease)
        if (
            self.key_written
            and context.replica.live_controllers.get(context.label) != context.incarnation
            and context.now - self.key_written_at > constants.STORE_STALE_S
        ):
            # A late write of the process before us has put its own life and lease there: once
            # that lease ends the key is gone, and others would share out roles without us.
            self.key_written = False
        if not self.key_written and "node" not in self.busy:
            self.busy.add("node")
            context.call(
                self._key_written,
                "txn",
                [],
                [(controller_key(context.label), context.incarnation, self.lease)],
                constants.LEADERSHIP_WRITE_PRIORITY,
            )
        if self.key_written and context.now - self.lease_since > constants.ROLE_CLAIM_DELAY_S:
            self._acquire_roles()

    def _negotiate_format(self) -> None:
        """Say durably what we can read; switch to the latest format that all controllers can.

        The key has no lease: a process that was started anew has replaced the old one for good,
        so once every label stands there, no process writes an earlier format or can't read this.
        """
        replica, label = self.context.replica, self.context.label
        if "version" in self.busy or replica.format >= replica.known_format:
            return
        key = version_key(label)
        value: Any = replica.known_format
        guards: list[tuple[str, int]] = []
        if replica.versions.get(label, 0) >= replica.known_format:
            labels = [label, *(member.controller_id for member in self.context.settings.peers)]
            common = min(replica.versions.get(name, 0) for name in labels)
            if common <= replica.format or label != min([label, *replica.live_controllers]):
                return
            key, guards = FORMAT_KEY, [(FORMAT_KEY, replica.format_revision)]
            # Tasks to a chunk stay as they were recorded first.
            tasks_per_record = replica.tasks_per_record or tasks_per_block(
                self.context.facts.store.value_kb
            )
            value = [common, tasks_per_record]
        self.busy.add("version")
        self.context.call(
            lambda s, r: self._version_done(key, value, s, r),
            "txn",
            guards,
            [(key, value, None)],
            0,
        )

    def _version_done(self, key: str, value: Any, status: int, result: Any) -> None:
        self.busy.discard("version")
        if status == 200:
            self.context.replica.apply(key, value, result[0])
            event("version", key=key, value=value)
        else:  # if another was first, the watch brings it
            self.next_try = self.context.now + constants.BACKOFF_FIRST_S

    def _raise_term(self) -> None:
        value, mod_revision = self.context.replica.term
        self.busy.add("term")
        new = max(value, self.raise_above, self.context.term) + 1
        self.context.call(
            lambda status, result: self._term_done(new, status, result),
            "txn",
            [(TERM_KEY, mod_revision)],
            [(TERM_KEY, new, None)],
            constants.LEADERSHIP_WRITE_PRIORITY,
        )

    def _term_done(self, new: int, status: int, result: Any) -> None:
        context = self.context
        self.busy.discard("term")
        if status == 200:
            context.replica.apply(TERM_KEY, new, result[0])
            context.term = new
            context.incarnation = context.incarnation or new
            self.want_term = new <= self.raise_above
            event("term", term=new)
        elif status == 409:
            # Others raise it too, as all do at a cold start; what fails counts as a change.
            self.next_try = context.now + context.rng.uniform(
                0.0, constants.TERM_RETRY_SPREAD_S * context.settings.size
            )
            context.call(self._term_read, "get", TERM_KEY, 0)
            self.busy.add("term")
        else:
            # The raise may still be carried out late; its number is then simply unused.
            self.next_try = context.now + constants.BACKOFF_FIRST_S

    def _term_read(self, status: int, result: Any) -> None:
        self.busy.discard("term")
        if status == 200:
            self.context.replica.apply(TERM_KEY, *result)

    def _granted(self, status: int, result: Any) -> None:
        self.busy.discard("lease")
        if status == 200:
            self.lease = result
            self.lease_since = self.context.now
            self.next_renew = self.context.now + constants.LEASE_RENEWAL_S
            self.key_written = False
        else:
            self.next_try = self.context.now + constants.BACKOFF_FIRST_S

    def _renewed(self, status: int, _: Any) -> None:
        self.busy.discard("renew")
        if status == 404:
            self.on_lease_lost("lease_ended")

    def on_lease_lost(self, why: str) -> None:
        """The lease is gone: our roles with it."""
        event("lost_lease", why=why, roles=len(self.context.held_roles))
        self.lease = None
        self.key_written = False

    def _key_written(self, status: int, _: Any) -> None:
        self.busy.discard("node")
        if status == 200:
            self.key_written = True
            self.key_written_at = self.context.now
        elif status == 400:
            self.on_lease_lost("no_such_lease")
        else:
            self.next_try = self.context.now + constants.BACKOFF_FIRST_S

    def _acquire_roles(self) -> None:
        context = self.context
        nodes = sorted({*context.replica.live_controllers, context.label})
        roles = [*context.teams, FLEET]
        held = {role: row[0] for role, row in context.replica.roles.items()}
        due = assign_roles([role for role in roles if role not in held], held, nodes)
        # Further roles are no part of that count, in which all controllers must agree: one that
        # runs without the subsystem, or is of an earlier version, would wait for others, and
        # others for it. Whoever keeps the subsystem claims them; the guard lets one have them.
        due.update((role, context.label) for role in context.extra_roles if role not in held)
        roles += context.extra_roles
        for role in roles:
            row = context.replica.roles.get(role)
            # A key that bears our label and another life is our dead predecessor's: its late
            # writes fail once we replace it, since they are guarded by the old key's stamp.
            dead = row is not None and row[0] == context.label and row[1] != context.incarnation
            if role in self.busy or not (dead or due.get(role) == context.label):
                continue
            self.busy.add(role)
            key = role_key(role)
            value = [context.label, context.incarnation]
            context.call(
                lambda s, r, role=role, value=value: self._role_acquired(role, value, s, r),
                "txn",
                [(key, row[2] if row else 0)],
                [(key, value, self.lease)],
                constants.LEADERSHIP_WRITE_PRIORITY,
            )
        if not due and context.now >= self.next_yield:
            self.next_yield = context.now + constants.ROLE_REBALANCE_S
            self._rebalance(held, nodes)

    def _rebalance(self, held: dict[str, str], nodes: list[str]) -> None:
        """Give up a role when another controller has two fewer, so that it is claimed there."""
        context = self.context
        load = Counter(
            node for role, node in held.items() if role == FLEET or role in context.teams
        )
        mine = sorted(role for role in context.held_roles if role in context.teams)
        if not mine or load[context.label] < 2 + min(load[node] for node in nodes):
            return
        # Writes of ours that come late are guarded by the key's stamp, as after a takeover.
        event("yield", role=mine[0], roles=len(mine))
        key = role_key(mine[0])
        context.call(
            lambda s, r: self._role_released(key, s, r),
            "txn",
            [(key, context.held_roles[mine[0]])],
            [(key,)],
            1,
        )

    def _role_released(self, key: str, status: int, result: Any) -> None:
        if status == 200:
            self.context.replica.apply(key, None, result[0])

    def _role_acquired(self, role: str, value: list, status: int, result: Any) -> None:
        self.busy.discard(role)
        if status == 200:
            self.context.replica.apply(role_key(role), value, result[0])
            event("claimed", role=role, revision=result[0])
        elif status == 400:
            self.on_lease_lost("no_such_lease")

    def refresh_roles(self) -> list[str]:
        """Bring my_roles up to date; return those won since.

        A role counts only when the replica has all changes up to the claim: no write of an
        earlier owner can come after it, so the records are then complete.
        """
        context = self.context
        roles_seen = (
            context.replica.role_changes,
            context.incarnation,
            context.replica.revision if self.awaiting_claims else 0,
        )
        if roles_seen == self.roles_seen:
            return []
        self.awaiting_claims = any(
            mod_revision > context.replica.revision
            for _, _, mod_revision in context.replica.roles.values()
        )
        self.roles_seen = (
            *roles_seen[:2],
            context.replica.revision if self.awaiting_claims else 0,
        )
        held = {
            role: mod_revision
            for role, (label, incarnation, mod_revision) in context.replica.roles.items()
            if label == context.label
            and incarnation == context.incarnation
            and context.replica.revision >= mod_revision
        }
        won = [
            role
            for role, mod_revision in held.items()
            if context.held_roles.get(role) != mod_revision
        ]
        if held != context.held_roles:
            event("roles", roles=",".join(sorted(held)) or "none")
        context.held_roles = held
        return won
