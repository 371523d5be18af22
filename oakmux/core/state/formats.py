"""Formats of the records, and the limits on the size of their values.

Every version reads all earlier formats. A format is written once every controller is known to read
it; until then the one before is.
"""

from typing import Any

import msgspec

from oakmux import constants
from oakmux.settings import StoreLimits

# The format of the first version.
FORMAT_FIRST = 1
# Adds compact task blocks and jobs that depend on others.
FORMAT_COMPACT = 2
# Adds binding batches.
FORMAT_BATCHES = 3
# The latest format that this version can read and write.
FORMAT = FORMAT_BATCHES


def value_bytes(value: Any) -> int:
    """Return the size of a value as the store counts it: in JSON."""
    return len(msgspec.json.encode(value))


def value_limit(limits: StoreLimits) -> int:
    """Return the most bytes that one of our values may take."""
    return int(limits.value_kb * 1024) - constants.VALUE_SLACK_BYTES


def tasks_per_block(value_kb: float) -> int:
    """Return how many tasks share a task block, so that its value stays below the limit."""
    return max(1, min(constants.BLOCK_TASKS, int(value_kb * 1024 / constants.BINDING_BYTES)))
