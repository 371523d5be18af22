"""The link between this controller and its peers, itself included."""

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

# How old an answer says that our records are while we have never reached the store, in seconds.
OLDEST_STORE_AGE_S = 1e6


class PeerLink:
    """Hands received messages to their handlers, and sends what peers are told periodically."""

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
        # Handlers that need to know which controller sent the message.
        self.sender_handlers: dict[type[PeerMessage], Callable[[str, Any], None]] = {
            peer_messages.MachinesAlive: self.views.receive_alive,
            peer_messages.MachineView: self.views.receive_view,
        }

    def receive(self, command: messages.ReceivePeerMessages) -> None:
        """Take a peer's messages; answer how current we are and what was cancelled."""
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
        """Handle the messages that we sent to ourselves, and those that they lead to."""
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
        except Exception:  # one message must not keep others from being handled
            log.exception("event=peer_message_failed peer=%s", sender)

    def tick(self) -> None:
        """Tell the peers what they are told periodically, when it is due."""
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
        """Use machines again whose drain the autoscaler, a peer, has not repeated for a while."""
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
        """Ask each peer for its part of the store changes that we lack."""
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
