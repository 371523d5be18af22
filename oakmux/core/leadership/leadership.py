"""Leadership: coordinates this controller's term, lease, record format and roles."""

from oakmux.core.context import Context
from oakmux.core.leadership.controller_lease import ControllerLease
from oakmux.core.leadership.format_negotiation import FormatNegotiation
from oakmux.core.leadership.retry import RetryTimer
from oakmux.core.leadership.roles import RoleClaims
from oakmux.core.leadership.terms import TermAllocator


class Leadership:
    """The term, lease and roles of this controller."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.retry = RetryTimer(context)
        self.format = FormatNegotiation(context, self.retry)
        self.terms = TermAllocator(context, self.retry)
        self.lease = ControllerLease(context, self.retry)
        self.roles = RoleClaims(context, self.lease)

    def need_term_above(self, fencing_token: int) -> None:
        """Request a term above a fencing token that a worker has accepted."""
        self.terms.need_above(fencing_token)

    def refresh_roles(self) -> list[str]:
        """Update the held roles; return the roles acquired since the last call."""
        return self.roles.refresh()

    def tick(self) -> None:
        """Run the due operations of all parts, unless a retry delay is active."""
        context = self.context
        if not context.replica.loaded or context.replica.unknown_format or not self.retry.due():
            return
        self.format.tick()
        self.terms.tick()
        if not context.incarnation:
            return
        self.lease.tick()
        if self.lease.settled():
            self.roles.tick()
