"""Stored records: their encoding, and how a replica applies them."""

import json

from oakmux.codec.cbor import decode, encode
from oakmux.core.state.codecs import decode_block, encode_block
from oakmux.core.state.formats import tasks_per_block
from oakmux.core.state.keys import block_key, job_key
from oakmux.core.state.records import Binding, TaskBlock
from oakmux.core.state.replica import Replica


def test_records_round_trip_within_the_value_limit():
    zone = "z" * 40
    tasks = tasks_per_block(8.0)
    bindings = {
        i: Binding(2**40, f"n-{2**40}", 2**20, 2**40, zone)
        for i in range(100_000 - tasks, 100_000)
    }
    block = TaskBlock(9, 7, (1 << 63) | 5, bindings)
    value = decode(encode(encode_block(block, 1)))
    decoded = decode_block(value, 9)
    assert (decoded.last_attempt, decoded.completed_mask, decoded.bindings) == (
        block.last_attempt,
        block.completed_mask,
        block.bindings,
    )
    assert len(json.dumps(value)) <= 8 * 1024


def test_a_replica_ignores_older_revisions():
    replica = Replica()
    bindings = encode_block(TaskBlock(0, 1, 0, {0: Binding(1, "m", 1, 1, "a")}), 1)
    replica.apply(job_key("job-1"), ["queued", "red", None, 1, 2], 5)
    replica.apply(block_key("job-1", 0), bindings, 6)
    replica.apply(block_key("job-1", 0), encode_block(TaskBlock(0, 1, 0, {}), 1), 4)
    assert replica.bindings.by_machine == {"m": {("job-1", 0): Binding(1, "m", 1, 1, "a")}}
    replica.apply(block_key("job-1", 0), None, 8)
    # A late answer must not restore a deleted block.
    replica.apply(block_key("job-1", 0), bindings, 7)
    assert replica.bindings.by_machine == {}
    replica.apply(job_key("job-1"), ["done", "red", None, 1, 2], 9)
    replica.apply(job_key("job-1"), ["queued", "red", None, 1, 2], 5)
    assert replica.jobs["job-1"].state == "done"
