"""The owner's side: sampling machines, binding tasks, writing the records."""

from oakmux.core.index import Index
from oakmux.core.keeper import Keeper
from oakmux.core.owner.binding import Binder
from oakmux.core.owner.copies import Copies
from oakmux.core.owner.gangs import Gangs
from oakmux.core.owner.sampling import Sampler
from oakmux.core.owner.state import Open
from oakmux.core.spread.waiting import Waiting
from oakmux.core.world import World


class Owner:
    """Places the jobs of the teams that we own. Its parts share the open jobs."""

    def __init__(self, world: World, keeper: Keeper) -> None:
        self.open: dict[str, Open] = {}
        self.copies = Copies(world)
        self.index = Index(world)
        self.gangs = Gangs(world, self.index, self.open)
        self.waiting = Waiting(world, self.open)
        self.binder = Binder(world, keeper, self.copies, self.open, self.waiting)
        self.sampler = Sampler(world, self.index, self.copies, self.binder, self.gangs,
                               self.waiting)

    def lost(self) -> None:
        """Drop what belongs to teams that are no longer ours."""
        self.copies.drop_lost()
        self.binder.drop_lost()
