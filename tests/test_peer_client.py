"""The peer client: batching of messages to other controllers."""

import asyncio

from oakmux import constants
from oakmux.codec.cbor import decode, encode
from oakmux.codec.peers import decode_batch
from oakmux.core.peer_messages import LendChanges, MachineView, Offer
from oakmux.transport.peer_client import PeerClient


def machine_view(machine: str) -> MachineView:
    return MachineView(1, machine, "10.1.0.1:1", "big", "a", False, 1, 1, 1, None, [], [])


def test_undecodable_messages_are_left_out_of_a_batch(caplog):
    rows = [["nonsense"], [], ["view", 1], [["lent"], 1.0], ["lent", 0.75]]
    batch = decode_batch(encode(["batch", "h1", rows, 5]))
    assert batch.messages == [LendChanges(0.75)] and batch.since == 5
    assert [row.getMessage().split(" why=")[0] for row in caplog.records] == [
        "event=peer_message_failed peer=h1"
    ] * 4


def test_machine_views_are_batched_until_an_urgent_message_is_sent():
    # Otherwise each changed heartbeat causes one request to each of six peers.
    sent: list[tuple[float, list]] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        peer = PeerClient("h0", "h1", "10.0.0.2:81", lambda command: None, lambda: 7)

        async def request(addr, method, path, body, timeout, limit):
            sent.append((loop.time() - start, [m[0] for m in decode(body)[2]]))
            return 200, encode(["peer", "h1", 1, 0.0, []])

        peer.client.request = request  # type: ignore[method-assign]
        start = loop.time()
        sender = asyncio.ensure_future(peer.send_batches())
        for name in ("m1", "m2"):
            peer.send(machine_view(name))
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.4)
        peer.send(machine_view("m1"))
        await asyncio.sleep(0.02)
        peer.send(Offer("m1", "job-1", 1, 1, 1, "h0"))
        await asyncio.sleep(0.4)
        sender.cancel()

    asyncio.run(scenario())
    assert [names for _, names in sent] == [["view", "view"], ["view", "offer"]]
    assert sent[0][0] >= constants.PEER_UPDATE_WINDOW_S
