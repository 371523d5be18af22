"""CBOR bodies: encoding, decoding, the error for bad input and the limits of field values."""

import math
from typing import Any

import cbor2

# Limits of the values that a message may hold.
MAX_INT = 2**64
MAX_TEXT = 200
MAX_AMOUNT = 1e12


class Malformed(Exception):
    """A message that can't be understood; the text is the short reason."""


def encode(value: Any) -> bytes:
    """Encode a body."""
    return cbor2.dumps(value)


def decode(body: bytes) -> Any:
    """Decode a body; raises Malformed."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds for hostile bytes
        raise Malformed("not CBOR") from error


def check_amount(name: str, value: float | None) -> None:
    """Check an optional quantity, finite and not negative; raises Malformed."""
    if value is not None and not (math.isfinite(value) and 0 <= value < MAX_AMOUNT):
        raise Malformed(f"{name}: out of range")
