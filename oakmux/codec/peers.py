"""Requests between controllers: batches of messages `[tag, field, ...]`, and their answers."""

import logging
from collections.abc import Sequence
from typing import Any

import msgspec

from oakmux.codec.cbor import MAX_TEXT, MalformedError, decode, encode
from oakmux.core import peer_messages
from oakmux.core.peer_messages import PeerMessage

log = logging.getLogger("oakmux.peers")

PATH_PEERS = "/peer"

_TYPES = {message_type.TAG: message_type for message_type in peer_messages.ALL_TYPES}


class BatchRow(msgspec.Struct, array_like=True):
    """A request in its wire form; earlier versions don't send `since`."""

    tag: str
    sender: str
    messages: list[list[Any]]
    since: int = -1


class MessageBatch(msgspec.Struct, frozen=True):
    """The messages of a request.

    `since` is the revision up to which the sender has all cancellations; -1 if it sends none.
    """

    sender: str
    messages: list[PeerMessage]
    since: int


class PeerAnswer(msgspec.Struct, array_like=True):
    """A peer's answer to a request.

    `store_age_s` is the age of the peer's records in seconds. `cancelled` names the jobs cancelled
    after the request's `since`, up to the revision `until`; earlier versions don't send `until`.
    """

    tag: str
    controller_id: str
    incarnation: int
    store_age_s: float
    cancelled: list[str]
    until: int = -1


def encode_message(message: PeerMessage) -> list[Any]:
    """Return a message in its wire form."""
    row = [message.TAG, *msgspec.structs.astuple(message)]
    if isinstance(message, peer_messages.Reserve) and not message.preempt:
        del row[-1]
    return row


def decode_message(row: Sequence[Any]) -> PeerMessage:
    """Return the message that a row encodes; raises MalformedError."""
    try:
        return _TYPES[row[0]](*row[1:])
    except (IndexError, KeyError, TypeError) as error:
        raise MalformedError(
            f"malformed peer message {str(row[:1])[:MAX_TEXT]}: {error!r}"
        ) from None


def encode_batch(sender: str, messages: Sequence[PeerMessage], since: int) -> bytes:
    """Return the body of a request."""
    return encode(["batch", sender, [encode_message(message) for message in messages], since])


def decode_batch(body: bytes) -> MessageBatch:
    """Return the messages of a request; raises MalformedError.

    A single malformed message, such as one of a later version, is logged and left out.
    """
    try:
        row = msgspec.convert(decode(body), BatchRow)
    except msgspec.ValidationError as error:
        raise MalformedError(str(error)) from None
    messages = []
    for message in row.messages:
        try:
            messages.append(decode_message(message))
        except MalformedError as error:
            log.error("event=peer_message_failed peer=%s why=%s", row.sender, error)
    return MessageBatch(row.sender, messages, row.since)


def decode_answer(body: bytes) -> PeerAnswer:
    """Return a peer's answer; raises MalformedError."""
    try:
        return msgspec.convert(decode(body), PeerAnswer)
    except msgspec.ValidationError as error:
        raise MalformedError(str(error)) from None
