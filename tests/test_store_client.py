"""The store client: sharing of the allowed request rate among controllers and uses."""

import asyncio

import pytest

from oakmux import constants
from oakmux.codec.cbor import encode
from oakmux.codec.store import PATH_LEASES, PATH_TRANSACTIONS
from oakmux.core import messages
from oakmux.transport.rate_limit import TokenBucket
from oakmux.transport.store_client import StoreClient
from tests.fakes import settings_for


def test_the_token_bucket_keeps_its_rate():
    bucket, now, sent = TokenBucket(10.0), 0.0, 0
    while now < 10.0:
        if bucket.wait(now, 1) <= 0:
            bucket.consume(1)
            sent += 1
        else:
            now += 0.01
    assert 100 <= sent <= 111


def with_store_client(scenario):
    """Run `scenario` with a store client that only records its requests."""

    async def run():
        sent, commands = [], []
        client = StoreClient(settings_for("h0", 3), commands.append)

        async def request(_, method, path, *rest):
            sent.append(path)
            return 200, encode({"epoch": 1})

        client.client.request = request
        tasks = [
            asyncio.create_task(client.dispatch(queue)) for queue in (client.reads, client.writes)
        ]
        await scenario(client, sent, commands)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def stop_clock():
    """Stop the running loop's clock, so that no bucket refills if the test machine is slow."""
    loop = asyncio.get_running_loop()
    now = loop.time()
    loop.time = lambda: now


async def run_loop(count=20):
    for _ in range(count):
        await asyncio.sleep(0)


def test_a_lease_renewal_does_not_wait_behind_a_rate_limited_write():
    # In a single queue, leases would expire behind a write that waits seconds for tokens.
    async def scenario(client, sent, commands):
        client.write_tokens.level = -1e6
        client.write_tokens.refilled_at = asyncio.get_running_loop().time()
        client.submit(messages.Transaction(1, [], [("k", 1, None)], 1))
        await run_loop()
        client.submit(messages.RenewLease(2, 7))
        await run_loop()
        assert sent == [f"{PATH_LEASES}/7/renew"]

    with_store_client(scenario)


def test_users_writes_may_exceed_the_rate_only_within_a_bound():
    # Otherwise submissions wait up to 2 s behind an owner's transaction of several changes.
    async def scenario(client, sent, commands):
        client.write_tokens.refilled_at = asyncio.get_running_loop().time()
        client.burst_allowance.reset(
            client.write_tokens.refilled_at - 2 * constants.USER_ADVANCE_GROWTH_S
        )
        client.write_tokens.level = -client.write_tokens.rate
        client.submit(messages.Transaction(1, [], [("k", 1, None)], 1))
        client.submit(messages.Transaction(2, [], [("user", 1, None)], 0))
        await run_loop()
        assert sent == [PATH_TRANSACTIONS]
        assert client.write_tokens.level < -client.write_tokens.rate
        client.write_tokens.level = -3 * client.write_tokens.rate
        client.submit(messages.Transaction(3, [], [("user", 1, None)], 0))
        await run_loop()
        assert len(sent) == 1

    with_store_client(scenario)


def test_controllers_that_start_together_stay_within_the_stores_burst():
    # The store allows a burst of 1 s of writes. If each controller at once advanced 2 s of its
    # share, 30 to 40 submissions of a cold start would get 429.
    async def scenario(client, sent, commands):
        stop_clock()
        limit = settings_for("h0", 3).facts.store.write_rps
        for number in range(int(limit)):
            client.submit(messages.Transaction(number, [], [("user", 1, None)], 0))
        await run_loop(int(limit))
        assert len(sent) > 0.2 * limit
        assert 3 * len(sent) <= limit
        # The others are sent in time or refused at once.
        for number in range(int(4 * limit)):
            client.submit(messages.Transaction(number, [], [("user", 1, None)], 0))
        assert (
            sum(
                isinstance(command, messages.OperationDone) and command.status == 503
                for command in commands
            )
            > 2 * limit
        )
        queued = len(client.writes.heap)
        assert queued <= client.write_tokens.rate * (constants.STORE_QUEUE_TIMEOUT_S + 1)

    with_store_client(scenario)


def test_a_rejection_reduces_how_much_users_may_borrow():
    async def scenario(client, sent, commands):
        now = asyncio.get_running_loop().time()
        client.burst_allowance.reset(now - 2 * constants.USER_ADVANCE_GROWTH_S)
        assert (
            client.burst_allowance.allowed(now)
            == client.write_tokens.rate * constants.USER_ADVANCE_S
        )

        async def outage(*_):
            return 503, b""

        client.client.request = outage
        client.submit(messages.Transaction(1, [], [("k", 1, None)], 1))
        await run_loop()
        assert messages.OperationDone(1, 503, None) in commands
        assert (
            client.burst_allowance.allowed(asyncio.get_running_loop().time())
            < client.write_tokens.rate
        )

    with_store_client(scenario)


def test_tokens_are_lent_once_and_only_by_controllers_with_a_surplus():
    async def scenario(client, sent, commands):
        client.write_tokens.wait(asyncio.get_running_loop().time(), 0)
        before = client.write_tokens.level
        lent = client.lend(5.0)
        assert lent == 5.0
        assert client.write_tokens.level == pytest.approx(before - 5.0)
        assert client.lend(1e9) < before  # never more than the present level
        client.write_tokens.level = -1e6
        client.submit(messages.Transaction(1, [], [("k", 1, None)], 1))
        await run_loop()
        assert client.lend(1.0) == 0.0  # its own write waits for tokens
        assert isinstance(commands[0], messages.BorrowQuota)
        assert not sent
        client.credit(2e6)
        await run_loop()
        assert sent == [PATH_TRANSACTIONS]

    with_store_client(scenario)


def test_role_and_lease_writes_precede_users_writes():
    # Otherwise roles of a crashed controller stay free behind many submissions to its successors.
    async def scenario(client, sent, commands):
        client.write_tokens.refilled_at = asyncio.get_running_loop().time()
        client.write_tokens.level = 0.0
        for number in range(50):
            client.submit(messages.Transaction(number, [], [("user", 1, None)], 0))
        client.submit(
            messages.Transaction(99, [], [("role", 1, None)], constants.LEADERSHIP_WRITE_PRIORITY)
        )
        assert client.writes.heap[0][4].operation == 99
        client.write_tokens.level = -1e6  # the share is spent for a long time
        client.submit(
            messages.Transaction(100, [], [("role", 1, None)], constants.LEADERSHIP_WRITE_PRIORITY)
        )
        # Only users' writes are refused.
        assert not any(command.operation == 100 for command in commands)

    with_store_client(scenario)
