"""The store's API: transactions, items, lists, watches and leases."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from oakmux.codec.cbor import MalformedError

PATH_ITEMS = "/kv"
PATH_TRANSACTIONS = "/txn"
PATH_LEASES = "/grants"
PATH_WATCH = "/watch"

Item = tuple[str, Any, int]
"""(key, value, mod revision); a plain tuple, since lists and watches hold many."""

Condition = tuple[str, int]
"""(key, mod revision that it must have); 0 if the key must not exist."""

Write = tuple[Any, ...]
"""(key, value, lease or None) to put an item, or (key,) to delete it."""


class TransactionResult(NamedTuple):
    """The outcome of a transaction."""

    revision: int
    failed_keys: list[str]
    """Keys whose conditions did not hold."""


class ItemPage(NamedTuple):
    """A page of a list, with the revision at which it was read."""

    items: list[Item]
    has_more: bool
    revision: int


class WatchEvents(NamedTuple):
    """Changes up to a revision; a deleted key has the value None."""

    events: list[Item]
    revision: int


class VersionedValue(NamedTuple):
    """The value of a key and its mod revision."""

    value: Any
    mod_revision: int


def transaction_body(conditions: Sequence[Condition], writes: Sequence[Write]) -> dict[str, Any]:
    """Return the body of a transaction request."""
    return {
        "guards": [{"path": key, "stamp": mod_revision} for key, mod_revision in conditions],
        "writes": [_write_body(write) for write in writes],
    }


def _write_body(write: Write) -> dict[str, Any]:
    if len(write) == 1:
        return {"delete": write[0]}
    key, value, lease = write
    body = {"write": key, "v": value}
    if lease is not None:
        body["permit"] = lease
    return body


def parse_transaction_result(answer: Any) -> TransactionResult:
    """Read the answer to a transaction; raises MalformedError."""
    try:
        failed_keys = [str(key) for key in answer.get("failed", ())]
        return TransactionResult(int(answer["epoch"]), failed_keys)
    except (TypeError, KeyError, ValueError, AttributeError):
        raise MalformedError("malformed answer to a transaction") from None


def parse_item_page(answer: Any) -> ItemPage:
    """Read a page of a list; raises MalformedError."""
    try:
        items = [(row["path"], row["v"], row["stamp"]) for row in answer["rows"]]
        return ItemPage(items, bool(answer["has_next"]), int(answer["epoch"]))
    except (TypeError, KeyError, ValueError):
        raise MalformedError("malformed answer to a list request") from None


def parse_value(answer: Any) -> VersionedValue:
    """Read the answer to a read of one key; raises MalformedError."""
    try:
        return VersionedValue(answer["v"], int(answer["stamp"]))
    except (TypeError, KeyError, ValueError):
        raise MalformedError("malformed answer to a key's read") from None


def parse_watch_events(answer: Any) -> WatchEvents:
    """Read the answer to a watch; raises MalformedError."""
    try:
        events: list[Item] = []
        for event in answer["events"]:
            if "delete" in event:
                events.append((event["delete"], None, event["stamp"]))
            else:
                events.append((event["write"], event["v"], event["stamp"]))
        return WatchEvents(events, int(answer["epoch"]))
    except (TypeError, KeyError, ValueError):
        raise MalformedError("malformed answer to a watch") from None


def parse_missing_key(answer: Any) -> int:
    """Return the revision at which a read found no such key; raises MalformedError."""
    return parse_transaction_result(answer).revision


def lease_body(duration_s: float) -> dict[str, Any]:
    """Return the body of a lease request."""
    return {"life_ms": int(duration_s * 1000)}


def parse_lease(answer: Any) -> int:
    """Return the id of the lease that was granted; raises MalformedError."""
    try:
        return int(answer["permit"])
    except (TypeError, KeyError, ValueError):
        raise MalformedError("malformed answer to a lease request") from None
