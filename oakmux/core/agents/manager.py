"""The agent manager's side: workers that report to us, their queues, offers and commands."""

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.heartbeats import HeartbeatHandler
from oakmux.core.agents.reservation_queue import ReservationQueue
from oakmux.core.agents.tracked_workers import WorkerTable
from oakmux.core.agents.worker_commands import WorkerCommands
from oakmux.core.context import Context
from oakmux.core.leadership.leadership import Leadership


class AgentManager:
    """Hears workers, queues reservations, makes offers, gives commands; one part for each."""

    def __init__(self, context: Context, leadership: Leadership) -> None:
        self.context = context
        self.workers = WorkerTable()
        self.cancellations = CancellationLog(context, self.workers)
        self.queue = ReservationQueue(context, self.workers, self.cancellations)
        self.commands = WorkerCommands(context, self.workers, self.cancellations, leadership)
        self.heartbeats = HeartbeatHandler(
            context, self.workers, self.cancellations, leadership, self.commands, self.queue
        )
        self.commands.take = self.heartbeats.take
        self.next_look = 0.0

    def tick(self) -> None:
        """Send what is due to poked machines."""
        if self.commands.with_delayed_starts and self.context.now >= self.next_look:
            self.next_look = self.context.now + constants.TICK_S
            self.workers.to_reconcile |= self.commands.with_delayed_starts
            self.commands.with_delayed_starts = set()
        to_reconcile, self.workers.to_reconcile = self.workers.to_reconcile, set()
        for name in to_reconcile:
            self.commands.reconcile(name)
            self.queue.offer(name)
