"""Messages between controllers: CBOR arrays `[tag, ...]`, many to a request."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec

from oakmux import constants
from oakmux.codec.cbor import Malformed, decode, encode
from oakmux.transport.http_client import Client, NoResponse, RequestNotSent
from oakmux.transport.rate_limit import pause

log = logging.getLogger("oakmux.peers")

PATH = "/peer"


# Messages that nobody waits for.
NEWS = frozenset(("view", "heard", "drain", "opening"))


class Answer(msgspec.Struct, array_like=True):
    """A peer's answer: how current its records are and what was cancelled since the revision that
    was named, all of it up to `until`; earlier versions don't say that."""

    tag: str
    label: str
    incarnation: int
    state_age: float
    cancelled: list[str]
    until: int = -1


class Batch(msgspec.Struct, array_like=True):
    """Messages of a peer, and the revision up to which it knows of all cancellations; earlier
    versions don't say that."""

    tag: str
    label: str
    messages: list[list[Any]]
    since: int = -1


def parse_batch(body: bytes) -> Batch:
    """Check a peer's request; raises Malformed."""
    try:
        return msgspec.convert(decode(body), Batch)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None


class PeerClient:
    """The way to one peer; what is lost of the machines' news is sent anew."""

    def __init__(
        self,
        label: str,
        peer: str,
        addr: str,
        put: Callable[[tuple], None],
        since: Callable[[], int],
    ) -> None:
        self.label = label
        self.peer = peer
        self.addr = addr
        self.put = put
        # Returns the revision up to which we know of all cancellations.
        self.since = since
        self.client = Client(constants.PEER_CONNECTIONS)
        self.outbox: list[tuple] = []
        self.woken = asyncio.Event()
        self.hurry = asyncio.Event()
        self.incarnation = -1

    def send(self, message: tuple) -> None:
        """Queue a message."""
        self.outbox.append(message)
        if len(self.outbox) > constants.PEER_OUTBOX:
            del self.outbox[: constants.PEER_OUTBOX // 2]
        self.woken.set()
        if message[0] not in NEWS:
            self.hurry.set()

    async def pump(self) -> None:
        """Send batches for ever, one at a time."""
        tries = 0
        while True:
            if not self.outbox:
                self.woken.clear()
                await self.woken.wait()
            await self._gather()
            batch, self.outbox = (
                self.outbox[: constants.PEER_BATCH],
                self.outbox[constants.PEER_BATCH :],
            )
            try:
                await self._send(batch)
                tries = 0
            except (RequestNotSent, NoResponse, Malformed) as error:
                log.debug("event=peer_failed peer=%s why=%s", self.peer, error)
                names = sorted({m[2] for m in batch + self.outbox if m[0] == "view"})
                self.outbox = []
                await pause(tries)
                tries = min(tries + 1, 3)
                self.put(("resend", self.peer, names))
            except Exception:
                log.exception("event=peer_failed peer=%s", self.peer)
                await pause(tries)

    async def _gather(self) -> None:
        """Wait until a batch is worth its request: longer for mere news of machines."""
        if len(self.outbox) < constants.PEER_BATCH and not self.hurry.is_set():
            try:
                async with asyncio.timeout(constants.PEER_UPDATE_WINDOW_S):
                    await self.hurry.wait()
            except TimeoutError:
                pass
        if len(self.outbox) < constants.PEER_BATCH:
            await asyncio.sleep(constants.PEER_BATCH_WINDOW_S)
        self.hurry.clear()

    async def _send(self, batch: list[tuple]) -> None:
        asked = asyncio.get_running_loop().time()
        body = encode(["batch", self.label, batch, self.since()])
        status, answer = await self.client.request(
            self.addr, "POST", PATH, body, constants.PEER_TIMEOUT_S, constants.PEER_BODY_BYTES
        )
        if status != 200:
            raise NoResponse(f"status {status}")
        try:
            word = msgspec.convert(decode(answer), Answer)
        except msgspec.ValidationError as error:
            raise Malformed(str(error)) from None
        if word.incarnation != self.incarnation:
            self.incarnation = word.incarnation
            self.put(("peer_new", self.peer))
        self.put(
            (
                "peer_alive",
                self.peer,
                word.incarnation,
                word.state_age,
                word.cancelled,
                asked,
                word.until,
            )
        )
