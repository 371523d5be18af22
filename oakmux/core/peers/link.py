"""Message exchange between this controller and its peers, including messages to itself."""

import logging
from collections.abc import Callable
from typing import Any

from oakmux import constants
from oakmux.core import messages, peer_messages
from oakmux.core.agents.manager import AgentManager
from oakmux.core.context import Context
from oakmux.core.leadership.roles import FLEET
from oakmux.core.peer_messages import PeerMessage
from oakmux.core.peers.machine_views import MachineViews
from oakmux.core.scheduling.scheduler import ShardScheduler

log = logging.getLogger("oakmux.core")

# Largest age of records in answers to peers (s), sent until the store is first reached.
OLDEST_STORE_AGE_S = 1e6


class PeerLink:
    """Dispatches received messages to their handlers, and sends the periodic messages to peers."""

    def __init__(self, context: Context, agents: AgentManager, scheduler: ShardScheduler) -> None:
        self.context = context
        self.agents = agents
        self.views = MachineViews(context, agents.heartbeats)
        self.next_announcement_at = 0.0
        self.handlers: dict[type[PeerMessage], Callable[[Any], None]] = {
            peer_messages.Reserve: agents.queue.reserve,
            peer_messages.Offer: scheduler.binder.on_offer,
            peer_messages.DeclineOffer: agents.queue.decline,
            peer_messages.MoveTask: agents.commands.move,
            peer_messages.DrainMachines: self._drain,
            peer_messages.MachinesTerminated: self._mark_terminated,
            peer_messages.AnnounceBackfill: context.backfill.announced,
            peer_messages.BorrowChanges: self._lend_quota,
            peer_messages.LendChanges: self._credit_quota,
        }
        # Handlers that need the sender's controller id.
        self.sender_handlers: dict[type[PeerMessage], Callable[[str, Any], None]] = {
            peer_messages.MachinesAlive: self.views.receive_alive,
            peer_messages.MachineView: self.views.receive_view,
        }

    def receive(self, command: messages.ReceivePeerMessages) -> None:
        """Handle a peer's messages; answer with the age of the records and the cancelled jobs."""
        for message in command.messages:
            self._handle(command.sender, message)
        context = self.context
        cancelled, until = self.agents.cancellations.list_for_peer(command.known_revision)
        context.answer(
            command.request,
            200,
            (
                "peer",
                context.controller_id,
                context.incarnation if context.replica.loaded else 0,
                min(context.now - context.store_seen_at, OLDEST_STORE_AGE_S),
                cancelled,
                until,
            ),
        )

    def deliver_local(self) -> None:
        """Handle messages that this controller sent to itself, and those that result."""
        context = self.context
        for _ in range(constants.PROPAGATION_ROUNDS):
            if not context.inbox:
                return
            received, context.inbox = context.inbox, []
            for message in received:
                self._handle(context.controller_id, message)

    def _handle(self, sender: str, message: PeerMessage) -> None:
        try:
            handler = self.handlers.get(type(message))
            if handler is not None:
                handler(message)
            else:
                self.sender_handlers[type(message)](sender, message)
        except Exception:  # one bad message must not block the others
            log.exception("event=peer_message_failed peer=%s", sender)

    def tick(self) -> None:
        """Send the periodic messages to peers when they are due."""
        context = self.context
        if context.now < self.next_announcement_at:
            return
        self.next_announcement_at = context.now + constants.PEER_HEARTBEAT_S
        self.agents.cancellations.drop_recorded()
        self._end_expired_drains()
        self.views.announce_alive()

    def _drain(self, message: peer_messages.DrainMachines) -> None:
        for name in message.machines:
            self.context.drain(name)

    def _end_expired_drains(self) -> None:
        """End drains that the autoscaler, on a peer, has not repeated for DRAIN_NOTICE_TTL_S."""
        context = self.context
        if FLEET in context.held_roles:
            return
        expired = [
            name
            for name, drained_at in context.draining.items()
            if context.now - drained_at > constants.DRAIN_NOTICE_TTL_S
        ]
        for name in expired:
            context.undrain(name)

    def _mark_terminated(self, message: peer_messages.MachinesTerminated) -> None:
        for name in message.machines:
            self.context.mark_terminated(name)
            self.agents.workers.tracked.pop(name, None)

    # --- shares of the rate of store changes ---

    def borrow_quota(self, command: messages.BorrowQuota) -> None:
        """Request an equal part of the missing store changes from each peer."""
        members = self.context.settings.peers
        for member in members:
            changes = constants.BORROW_FACTOR * command.changes / len(members)
            self.context.send(
                member.controller_id,
                peer_messages.BorrowChanges(self.context.controller_id, changes),
            )

    def _lend_quota(self, message: peer_messages.BorrowChanges) -> None:
        self.context.emit(messages.LendQuota(message.controller_id, message.changes))

    def _credit_quota(self, message: peer_messages.LendChanges) -> None:
        self.context.emit(messages.CreditQuota(message.changes))
