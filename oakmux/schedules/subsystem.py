"""The controller's subsystem for schedules; created only where schedules are enabled."""

from oakmux.core.context import Context
from oakmux.core.controller import CommandHandler
from oakmux.core.messages import Command
from oakmux.schedules.api import ScheduleApi
from oakmux.schedules.dispatcher import CLOCK_ROLE, FiringDispatcher
from oakmux.schedules.messages import ServeScheduleRequest, SetTimeOfDay
from oakmux.schedules.records import NAMESPACE, RESERVED_JOB_PREFIX, ScheduleStore
from oakmux.schedules.wall_clock import WallClock


class SchedulesSubsystem:
    """Connects records, wall clock, dispatcher and API to a controller."""

    def __init__(self, context: Context) -> None:
        self.store = ScheduleStore()
        self.wall_clock = WallClock(context)
        self.dispatcher = FiringDispatcher(context, self.store, self.wall_clock)
        self.api = ScheduleApi(context, self.store, self.wall_clock)
        self.context = context
        context.replica.namespaces[NAMESPACE] = self.store
        context.extra_roles.append(CLOCK_ROLE)
        context.reserved_job_prefix = RESERVED_JOB_PREFIX
        self.commands: dict[type[Command], CommandHandler] = {
            SetTimeOfDay: lambda command: self.wall_clock.synchronize(command.time_ms),
            ServeScheduleRequest: self.api.handle_request,
        }

    def tick(self) -> None:
        """Retry waiting requests and dispatch due firings."""
        if not self.context.replica.loaded:
            return
        if not self.store.change_log_start:
            self.store.change_log_start = self.context.replica.revision
        self.api.tick()
        self.dispatcher.tick()
