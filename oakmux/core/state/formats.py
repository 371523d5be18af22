"""Formats of the records, and the limits on the size of their values.

Every version reads all earlier formats. A format is written only once every controller is known to
read it; until then the previous format is written.
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
    """Return the size of a value as counted by the store: the bytes of its JSON."""
    return len(msgspec.json.encode(value))


def value_limit(limits: StoreLimits) -> int:
    """Return the maximum bytes of a value that a controller writes."""
    return (
        min(int(limits.value_kb * 1024), constants.MAX_VALUE_BYTES) - constants.VALUE_SLACK_BYTES
    )


def tasks_per_block(value_kb: float) -> int:
    """Return the number of tasks in a task block that keeps its value below the limit."""
    return max(1, min(constants.BLOCK_TASKS, int(value_kb * 1024 / constants.BINDING_BYTES)))
