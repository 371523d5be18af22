"""CBOR bodies: encoding, decoding, the error for malformed input and limits of field values."""

import math
from typing import Any

import cbor2

MAX_INT = 2**64
"""Integers in messages must be below this."""

MAX_TEXT = 200
"""Longest accepted name, and longest text of an error, in characters."""

MAX_AMOUNT = 1e12
"""Quantities must be below this; in seconds, gigabytes or cores."""


class MalformedError(Exception):
    """A message is malformed; the text gives the reason in short."""


def encode(value: Any) -> bytes:
    """Encode a body."""
    return cbor2.dumps(value)


def decode(body: bytes) -> Any:
    """Decode a body; raises MalformedError."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # hostile bytes make the decoder raise many types
        raise MalformedError("not CBOR") from error


def is_amount(value: float | None) -> bool:
    """Whether an optional quantity is finite, not negative and below MAX_AMOUNT."""
    return value is None or (math.isfinite(value) and 0 <= value < MAX_AMOUNT)
