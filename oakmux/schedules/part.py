"""The part of a controller that keeps schedules; made only where they are switched on."""

from collections.abc import Callable

from oakmux.core.context import Context
from oakmux.schedules.clock import CLOCK, Clock, Daytime
from oakmux.schedules.desk import JobApi
from oakmux.schedules.records import KIND, RESERVED, Store


class Schedules:
    """Joins records, clock and desk to a controller."""

    def __init__(self, context: Context) -> None:
        self.store = Store()
        self.daytime = Daytime(context)
        self.clock = Clock(context, self.store, self.daytime)
        self.desk = JobApi(context, self.store, self.daytime)
        self.context = context
        context.replica.namespaces[KIND] = self.store
        context.extra_roles.append(CLOCK)
        context.reserved = RESERVED
        self.commands: dict[str, Callable[..., None]] = {
            "time": self.daytime.say,
            "schedules": self.desk.request,
        }

    def tick(self) -> None:
        """Make turns that are due and go on with requests."""
        if not self.context.replica.loaded:
            return
        if not self.store.log_since:
            self.store.log_since = self.context.replica.revision
        self.desk.tick()
        self.clock.tick()
