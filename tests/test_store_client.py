"""The store client: how it shares the allowed rate of requests among controllers and uses."""

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


def with_state(play):
    """Run `play` with a store client whose requests are only recorded."""

    async def run():
        sent, put = [], []
        state = StoreClient(settings_for("h0", 3), put.append)

        async def request(_, method, path, *rest):
            sent.append(path)
            return 200, encode({"epoch": 1})

        state.client.request = request
        tasks = [asyncio.create_task(state.dispatch(line)) for line in (state.reads, state.writes)]
        await play(state, sent, put)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def stop_clock():
    """Stop the running loop's clock, so that no bucket refills while a busy machine is slow."""
    loop = asyncio.get_running_loop()
    now = loop.time()
    loop.time = lambda: now


async def turns(count=20):
    for _ in range(count):
        await asyncio.sleep(0)


def test_a_lease_renewal_does_not_wait_for_a_write_without_tokens():
    # One line for all once let leases end behind a change that waited seconds for its rate.
    async def play(state, sent, put):
        state.write_tokens.level = -1e6
        state.write_tokens.refilled_at = asyncio.get_running_loop().time()
        state.submit(messages.Transaction(1, [], [("k", 1, None)], 1))
        await turns()
        state.submit(messages.RenewLease(2, 7))
        await turns()
        assert sent == [f"{PATH_LEASES}/7/renew"]

    with_state(play)


def test_a_users_write_may_borrow_from_the_rate_but_not_without_bound():
    # Behind an owner's transaction of several changes, submissions waited up to two seconds.
    async def play(state, sent, put):
        state.write_tokens.refilled_at = asyncio.get_running_loop().time()
        state.burst_allowance.reset(
            state.write_tokens.refilled_at - 2 * constants.USER_ADVANCE_GROWTH_S
        )
        state.write_tokens.level = -state.write_tokens.rate
        state.submit(messages.Transaction(1, [], [("k", 1, None)], 1))
        state.submit(messages.Transaction(2, [], [("user", 1, None)], 0))
        await turns()
        assert sent == [PATH_TRANSACTIONS]
        assert state.write_tokens.level < -state.write_tokens.rate
        state.write_tokens.level = -3 * state.write_tokens.rate
        state.submit(messages.Transaction(3, [], [("user", 1, None)], 0))
        await turns()
        assert len(sent) == 1

    with_state(play)


def test_controllers_that_start_together_stay_within_the_stores_burst():
    # Each went two seconds ahead of its share at once: thirty to forty submissions of a cold
    # start were refused 429. The service allows one second's worth of changes.
    async def play(state, sent, put):
        stop_clock()
        limit = settings_for("h0", 3).facts.store.write_rps
        for number in range(int(limit)):
            state.submit(messages.Transaction(number, [], [("user", 1, None)], 0))
        await turns(int(limit))
        assert len(sent) > 0.2 * limit
        assert 3 * len(sent) <= limit
        # The others come in time or hear at once that they can't be served.
        for number in range(int(4 * limit)):
            state.submit(messages.Transaction(number, [], [("user", 1, None)], 0))
        assert (
            sum(isinstance(one, messages.OperationDone) and one.status == 503 for one in put)
            > 2 * limit
        )
        waiting = len(state.writes.heap)
        assert waiting <= state.write_tokens.rate * (constants.STORE_QUEUE_TIMEOUT_S + 1)

    with_state(play)


def test_a_rejection_reduces_how_much_users_may_borrow():
    async def play(state, sent, put):
        now = asyncio.get_running_loop().time()
        state.burst_allowance.reset(now - 2 * constants.USER_ADVANCE_GROWTH_S)
        assert (
            state.burst_allowance.allowed(now)
            == state.write_tokens.rate * constants.USER_ADVANCE_S
        )

        async def outage(*_):
            return 503, b""

        state.client.request = outage
        state.submit(messages.Transaction(1, [], [("k", 1, None)], 1))
        await turns()
        assert messages.OperationDone(1, 503, None) in put
        assert (
            state.burst_allowance.allowed(asyncio.get_running_loop().time())
            < state.write_tokens.rate
        )

    with_state(play)


def test_tokens_are_lent_once_and_only_by_controllers_with_a_surplus():
    async def play(state, sent, put):
        state.write_tokens.wait(asyncio.get_running_loop().time(), 0)
        before = state.write_tokens.level
        given = state.lend(5.0)
        assert given == 5.0
        assert state.write_tokens.level == pytest.approx(before - 5.0)
        assert state.lend(1e9) < before  # never more than there is
        state.write_tokens.level = -1e6
        state.submit(messages.Transaction(1, [], [("k", 1, None)], 1))
        await turns()
        assert state.lend(1.0) == 0.0  # it waits itself
        assert isinstance(put[0], messages.BorrowQuota)
        assert not sent
        state.credit(2e6)
        await turns()
        assert sent == [PATH_TRANSACTIONS]

    with_state(play)


def test_role_and_lease_writes_precede_users_writes():
    # Roles of a controller that fell stayed free behind a flood of submissions to its heirs.
    async def play(state, sent, put):
        state.write_tokens.refilled_at = asyncio.get_running_loop().time()
        state.write_tokens.level = 0.0
        for number in range(50):
            state.submit(messages.Transaction(number, [], [("user", 1, None)], 0))
        state.submit(
            messages.Transaction(99, [], [("role", 1, None)], constants.LEADERSHIP_WRITE_PRIORITY)
        )
        assert state.writes.heap[0][4].operation == 99
        state.write_tokens.level = -1e6  # the share is spent for a long time
        state.submit(
            messages.Transaction(100, [], [("role", 1, None)], constants.LEADERSHIP_WRITE_PRIORITY)
        )
        assert not any(one.operation == 100 for one in put)  # refused is what users are, not this

    with_state(play)
