"""The part of a controller that keeps schedules; made only where they are switched on."""

from collections.abc import Callable

from oakmux.core.world import World
from oakmux.schedules.clock import CLOCK, Clock, Daytime
from oakmux.schedules.desk import Desk
from oakmux.schedules.records import KIND, RESERVED, Store


class Schedules:
    """Joins records, clock and desk to a controller."""

    def __init__(self, world: World) -> None:
        self.store = Store()
        self.daytime = Daytime(world)
        self.clock = Clock(world, self.store, self.daytime)
        self.desk = Desk(world, self.store, self.daytime)
        self.world = world
        world.replica.guests[KIND] = self.store
        world.more_roles.append(CLOCK)
        world.reserved = RESERVED
        self.commands: dict[str, Callable[..., None]] = {
            "time": self.daytime.say,
            "schedules": self.desk.request,
        }

    def tick(self) -> None:
        """Make turns that are due and go on with requests."""
        if not self.world.replica.loaded:
            return
        if not self.store.log_since:
            self.store.log_since = self.world.replica.epoch
        self.desk.tick()
        self.clock.tick()
