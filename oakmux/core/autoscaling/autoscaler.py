"""The fleet: what to rent, what to return, which machines are certainly gone."""

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.context import Context
from oakmux.core.fleet.demand import Demand
from oakmux.core.fleet.lists import Lists
from oakmux.core.fleet.returns import Returns
from oakmux.core.membership import FLEET


class Fleet:
    """Rents and returns, while we hold the fleet role."""

    def __init__(self, context: Context, cancellations: CancellationLog) -> None:
        self.context = context
        self.cancellations = cancellations
        self.lists = Lists(context)
        self.demand = Demand(context, cancellations, self.lists)
        self.returns = Returns(context, cancellations, self.lists)
        self.next_pass = 0.0

    def won(self) -> None:
        """Begin to hold the role."""
        self.lists.won()
        self.demand.won()

    def changed(self, job_id: str) -> None:
        """The records of a job changed."""
        if FLEET in self.context.held_roles:
            self.demand.changed(job_id)

    def tick(self) -> None:
        """Do what is due."""
        context = self.context
        if FLEET not in context.held_roles or not context.types:
            return
        self.lists.ask()
        if context.now >= self.next_pass and self.cancellations.store_fresh():
            self.next_pass = context.now + constants.FLEET_PASS_S
            self.lists.records()
            slots = self.demand.count()
            if not self.demand.unplaced:
                self.returns.consolidate(slots)
            self.returns.idle(slots)
            self.returns.return_bad()
