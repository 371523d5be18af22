"""Client of a peer: messages between controllers, sent in batches."""

import asyncio
import logging
from collections.abc import Callable

from oakmux import constants
from oakmux.codec.cbor import MalformedError
from oakmux.codec.peers import PATH_PEERS, decode_answer, encode_batch
from oakmux.core import messages, peer_messages
from oakmux.core.peer_messages import PeerMessage
from oakmux.transport.http_client import Client, NoResponseError, RequestNotSentError
from oakmux.transport.rate_limit import pause

log = logging.getLogger("oakmux.peers")

# Messages that no operation waits for, so that they may be batched for longer.
DEFERRABLE = (
    peer_messages.MachineView,
    peer_messages.MachinesAlive,
    peer_messages.DrainMachines,
    peer_messages.AnnounceBackfill,
)


class PeerClient:
    """Sends messages to one peer; lost machine updates are sent again."""

    def __init__(
        self,
        controller_id: str,
        peer: str,
        addr: str,
        put: Callable[[messages.Command], None],
        cancellations_until: Callable[[], int],
    ) -> None:
        self.controller_id = controller_id
        self.peer = peer
        self.addr = addr
        self.put = put
        # Returns the revision up to which this controller has all cancellations.
        self.cancellations_until = cancellations_until
        self.client = Client(constants.PEER_CONNECTIONS)
        self.outbox: list[PeerMessage] = []
        self.woken = asyncio.Event()
        self.urgent = asyncio.Event()
        self.incarnation = -1

    def send(self, message: PeerMessage) -> None:
        """Queue a message."""
        self.outbox.append(message)
        if len(self.outbox) > constants.PEER_OUTBOX:
            del self.outbox[: constants.PEER_OUTBOX // 2]
        self.woken.set()
        if not isinstance(message, DEFERRABLE):
            self.urgent.set()

    async def send_batches(self) -> None:
        """Send batches for ever, one at a time."""
        failures = 0
        while True:
            if not self.outbox:
                self.woken.clear()
                await self.woken.wait()
            await self._wait_for_batch()
            batch, self.outbox = (
                self.outbox[: constants.PEER_BATCH],
                self.outbox[constants.PEER_BATCH :],
            )
            try:
                await self._send(batch)
                failures = 0
            except (RequestNotSentError, NoResponseError, MalformedError) as error:
                log.debug("event=peer_failed peer=%s why=%s", self.peer, error)
                machines = sorted(
                    {
                        message.machine
                        for message in batch + self.outbox
                        if isinstance(message, peer_messages.MachineView)
                    }
                )
                self.outbox = []
                await pause(failures)
                failures = min(failures + 1, 3)
                self.put(messages.ResendViews(self.peer, machines))
            except Exception:
                log.exception("event=peer_failed peer=%s", self.peer)
                await pause(failures)

    async def _wait_for_batch(self) -> None:
        """Wait for more messages to send in one request; longer for deferrable messages only."""
        if len(self.outbox) < constants.PEER_BATCH and not self.urgent.is_set():
            try:
                async with asyncio.timeout(constants.PEER_UPDATE_WINDOW_S):
                    await self.urgent.wait()
            except TimeoutError:
                pass
        if len(self.outbox) < constants.PEER_BATCH:
            await asyncio.sleep(constants.PEER_BATCH_WINDOW_S)
        self.urgent.clear()

    async def _send(self, batch: list[PeerMessage]) -> None:
        requested_at = asyncio.get_running_loop().time()
        body = encode_batch(self.controller_id, batch, self.cancellations_until())
        status, answer = await self.client.request(
            self.addr,
            "POST",
            PATH_PEERS,
            body,
            constants.PEER_TIMEOUT_S,
            constants.PEER_BODY_BYTES,
        )
        if status != 200:
            raise NoResponseError(f"status {status}")
        reply = decode_answer(answer)
        if reply.incarnation != self.incarnation:
            self.incarnation = reply.incarnation
            self.put(messages.PeerRestarted(self.peer))
        self.put(
            messages.PeerAnswered(
                self.peer,
                reply.incarnation,
                reply.store_age_s,
                reply.cancelled,
                requested_at,
                reply.until,
            )
        )
