"""The peer client: batching of messages to other controllers."""

import asyncio

from oakmux import constants
from oakmux.codec.cbor import decode, encode
from oakmux.transport.peer_client import PeerClient


def test_machine_views_are_batched_unless_an_urgent_message_goes_to_that_peer():
    # Each changed report was a request to six peers by itself.
    sent: list[tuple[float, list]] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        peer = PeerClient("h0", "h1", "10.0.0.2:81", lambda command: None, lambda: 7)

        async def request(addr, method, path, body, timeout, most):
            sent.append((loop.time() - start, [m[0] for m in decode(body)[2]]))
            return 200, encode(["peer", "h1", 1, 0.0, []])

        peer.client.request = request  # type: ignore[method-assign]
        start = loop.time()
        pump = asyncio.ensure_future(peer.pump())
        for name in ("m1", "m2"):
            peer.send(("view", 1, name))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.4)
        peer.send(("view", 1, "m1"))
        await asyncio.sleep(0.02)
        peer.send(("offer", "m1"))
        await asyncio.sleep(0.4)
        pump.cancel()

    asyncio.run(scenario())
    assert [names for _, names in sent] == [["view", "view"], ["view", "offer"]]
    assert sent[0][0] >= constants.PEER_UPDATE_WINDOW_S
