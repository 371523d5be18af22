"""The protocol between controllers: batches of messages `[kind, ...]`, and their answers.

Fields that earlier versions do not send come last and have defaults.
"""

from typing import Any

import msgspec

from oakmux.codec.cbor import Malformed, decode

PATH_PEERS = "/peer"

UNKNOWN_REVISION = -1
"""Stands for a revision that an earlier version does not send."""


class PeerAnswer(msgspec.Struct, array_like=True):
    """The answer to a batch: how current the peer's records are, and what was cancelled."""

    kind: str
    controller_id: str
    incarnation: int
    records_age_s: float
    cancelled: list[str]
    """Jobs cancelled since the revision that the batch named."""
    complete_until: int = UNKNOWN_REVISION
    """Revision up to which `cancelled` is complete."""


class PeerBatch(msgspec.Struct, array_like=True):
    """Messages of a peer."""

    kind: str
    controller_id: str
    messages: list[list[Any]]
    cancellations_until: int = UNKNOWN_REVISION
    """Revision up to which the peer knows all cancellations."""


def batch_body(
    controller_id: str, messages: list[tuple[Any, ...]], cancellations_until: int
) -> list[Any]:
    """Return the request that sends messages to a peer."""
    return ["batch", controller_id, messages, cancellations_until]


def parse_batch(body: bytes) -> PeerBatch:
    """Read a peer's request; raises Malformed."""
    try:
        return msgspec.convert(decode(body), PeerBatch)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None


def parse_peer_answer(body: bytes) -> PeerAnswer:
    """Read a peer's answer to a batch; raises Malformed."""
    try:
        return msgspec.convert(decode(body), PeerAnswer)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None
