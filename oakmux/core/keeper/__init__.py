"""The keeper's side: workers that report to us, their queues, offers and commands."""

from oakmux import constants
from oakmux.core.keeper.kept import Ward
from oakmux.core.keeper.orders import Orders
from oakmux.core.keeper.queue import Queue
from oakmux.core.keeper.reports import Reports
from oakmux.core.keeper.word import Word
from oakmux.core.membership import Membership
from oakmux.core.world import World


class Keeper:
    """Hears workers, queues reservations, makes offers, gives commands; one part for each."""

    def __init__(self, world: World, membership: Membership) -> None:
        self.world = world
        self.ward = Ward()
        self.word = Word(world, self.ward)
        self.queue = Queue(world, self.ward, self.word)
        self.orders = Orders(world, self.ward, self.word, membership)
        self.reports = Reports(world, self.ward, self.word, membership, self.orders, self.queue)
        self.orders.take = self.reports.take
        self.next_look = 0.0

    def tick(self) -> None:
        """Send what is due to poked machines."""
        if self.orders.delaying and self.world.now >= self.next_look:
            self.next_look = self.world.now + constants.TICK_S
            self.ward.poke |= self.orders.delaying
            self.orders.delaying = set()
        poke, self.ward.poke = self.ward.poke, set()
        for name in poke:
            self.orders.direct(name)
            self.queue.offer(name)
