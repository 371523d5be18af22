"""The keeper's side: workers that report to us, their queues, offers and commands."""

from oakmux import constants
from oakmux.core.context import Context
from oakmux.core.keeper.kept import Ward
from oakmux.core.keeper.orders import Orders
from oakmux.core.keeper.queue import Queue
from oakmux.core.keeper.reports import Reports
from oakmux.core.keeper.word import Word
from oakmux.core.membership import Membership


class Keeper:
    """Hears workers, queues reservations, makes offers, gives commands; one part for each."""

    def __init__(self, context: Context, membership: Membership) -> None:
        self.context = context
        self.ward = Ward()
        self.word = Word(context, self.ward)
        self.queue = Queue(context, self.ward, self.word)
        self.orders = Orders(context, self.ward, self.word, membership)
        self.reports = Reports(context, self.ward, self.word, membership, self.orders, self.queue)
        self.orders.take = self.reports.take
        self.next_look = 0.0

    def tick(self) -> None:
        """Send what is due to poked machines."""
        if self.orders.delaying and self.context.now >= self.next_look:
            self.next_look = self.context.now + constants.TICK_S
            self.ward.poke |= self.orders.delaying
            self.orders.delaying = set()
        poke, self.ward.poke = self.ward.poke, set()
        for name in poke:
            self.orders.direct(name)
            self.queue.offer(name)
