"""The agent manager: the part of a controller that handles workers and their heartbeats."""

from oakmux import constants
from oakmux.core.agents.cancellation_log import CancellationLog
from oakmux.core.agents.command_log import CommandLog
from oakmux.core.agents.heartbeats import HeartbeatHandler
from oakmux.core.agents.reservation_queue import ReservationQueue
from oakmux.core.agents.tracked_workers import WorkerTable
from oakmux.core.agents.worker_commands import WorkerCommands
from oakmux.core.agents.worker_terms import WorkerTerms
from oakmux.core.context import Context
from oakmux.core.leadership.leadership import Leadership


class AgentManager:
    """Connects heartbeats, reservation queues, worker commands and the cancellation log."""

    def __init__(self, context: Context, leadership: Leadership) -> None:
        self.context = context
        self.workers = WorkerTable()
        self.cancellations = CancellationLog(context, self.workers)
        self.queue = ReservationQueue(context, self.workers, self.cancellations)
        self.log = CommandLog(context)
        self.terms = WorkerTerms(context, leadership)
        self.commands = WorkerCommands(
            context, self.workers, self.cancellations, leadership, self.terms, self.log
        )
        self.heartbeats = HeartbeatHandler(
            context,
            self.workers,
            self.cancellations,
            leadership,
            self.commands,
            self.queue,
            self.terms,
            self.log,
        )
        self.commands.accept_heartbeat = self.heartbeats.accept_heartbeat
        self.next_delayed_check_at = 0.0

    def tick(self) -> None:
        """Reconcile machines that need it, and check delayed starts once per tick."""
        if (
            self.commands.machines_with_delayed_starts
            and self.context.now >= self.next_delayed_check_at
        ):
            self.next_delayed_check_at = self.context.now + constants.TICK_S
            self.workers.to_reconcile |= self.commands.machines_with_delayed_starts
            self.commands.machines_with_delayed_starts = set()
        to_reconcile, self.workers.to_reconcile = self.workers.to_reconcile, set()
        for name in to_reconcile:
            self.commands.reconcile(name)
            self.queue.offer(name)
        self.log.tick()
