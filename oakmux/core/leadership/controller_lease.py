"""This controller's lease, and the attached key that marks the controller as live."""

from typing import Any

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.leadership.retry import RetryTimer
from oakmux.core.messages import GrantLease, RenewLease, Transaction
from oakmux.core.state.keys import controller_key
from oakmux.logs import event


class ControllerLease:
    """Creates and renews the lease; the keys of held roles are attached to the same lease."""

    def __init__(self, context: Context, retry: RetryTimer) -> None:
        self.context = context
        self.retry = retry
        self.lease_id: int | None = None
        self.granted_at = 0.0
        self.next_renewal_at = 0.0
        self.key_written = False
        self.key_written_at = 0.0
        self.granting = False
        self.renewing = False
        self.writing_key = False

    def tick(self) -> None:
        """Create the lease, or renew it and write the key when due."""
        if self.lease_id is None:
            self._grant()
            return
        self._renew()
        self._check_key()
        self._write_key()

    def settled(self) -> bool:
        """Whether the key is written, and old enough that all controllers count this one."""
        lease_age_s = self.context.now - self.granted_at
        return (
            self.lease_id is not None
            and self.key_written
            and lease_age_s > constants.ROLE_CLAIM_DELAY_S
        )

    def on_lost(self, reason: str) -> None:
        """Reset the state after the lease ended, which deletes all attached keys."""
        event("lease_lost", why=reason, roles=len(self.context.held_roles))
        self.lease_id = None
        self.key_written = False

    def _grant(self) -> None:
        if not self.granting:
            self.granting = True
            self.context.call(self._on_granted, GrantLease, constants.CONTROLLER_LEASE_S)

    def _on_granted(self, status: int, result: Any) -> None:
        self.granting = False
        if status == 200:
            self.lease_id = result
            self.granted_at = self.context.now
            self.next_renewal_at = self.context.now + constants.LEASE_RENEWAL_S
            self.key_written = False
        else:
            self.retry.back_off()

    def _renew(self) -> None:
        if self.context.now >= self.next_renewal_at and not self.renewing:
            self.renewing = True
            self.next_renewal_at = self.context.now + constants.LEASE_RENEWAL_S
            self.context.call(self._on_renewed, RenewLease, self.lease_id)

    def _on_renewed(self, status: int, _: Any) -> None:
        self.renewing = False
        if status == 404:
            self.on_lost("lease_ended")

    def _check_key(self) -> None:
        """Schedule a rewrite of the key if its record shows another incarnation.

        A late write of the previous process has attached the key to that process's lease. When
        that lease ends, the key is deleted, and other controllers would assign the roles without
        this controller.
        """
        context = self.context
        if (
            self.key_written
            and context.replica.live_controllers.get(context.controller_id) != context.incarnation
            and context.now - self.key_written_at > constants.STORE_STALE_S
        ):
            self.key_written = False

    def _write_key(self) -> None:
        if self.key_written or self.writing_key:
            return
        context = self.context
        self.writing_key = True
        context.call(
            self._on_key_written,
            Transaction,
            [],
            [(controller_key(context.controller_id), context.incarnation, self.lease_id)],
            constants.LEADERSHIP_WRITE_PRIORITY,
        )

    def _on_key_written(self, status: int, _: Any) -> None:
        self.writing_key = False
        if status == 200:
            self.key_written = True
            self.key_written_at = self.context.now
        elif status == 400:
            self.on_lost("no_such_lease")
        else:
            self.retry.back_off()
