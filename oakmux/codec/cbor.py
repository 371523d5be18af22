"""CBOR bodies: encoding, decoding, the error for bad input and the limits of field values."""

import math
from typing import Any

import cbor2

MAX_INT = 2**64
"""Integers of messages are smaller."""

MAX_TEXT = 200
"""Length of the longest name, and of an error's text."""

MAX_AMOUNT = 1e12
"""Quantities are smaller; in seconds, gigabytes or cores."""


class MalformedError(Exception):
    """A message that can't be understood; the text is the short reason."""


def encode(value: Any) -> bytes:
    """Encode a body."""
    return cbor2.dumps(value)


def decode(body: bytes) -> Any:
    """Decode a body; raises MalformedError."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds for hostile bytes
        raise MalformedError("not CBOR") from error


def is_amount(value: float | None) -> bool:
    """Whether an optional quantity is finite, not negative and below MAX_AMOUNT."""
    return value is None or (math.isfinite(value) and 0 <= value < MAX_AMOUNT)
