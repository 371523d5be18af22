"""The store's API: transactions, items, lists, watches and leases."""

from typing import Any

from oakmux.codec.cbor import Malformed

PATH_KV = "/kv"
PATH_TXN = "/txn"
PATH_LEASES = "/grants"
PATH_WATCH = "/watch"


def txn_body(guards: list[tuple[str, int]], writes: list[tuple]) -> dict:
    """Return a transaction; a write is (key, value, lease) or (key,) to delete."""
    then = []
    for write in writes:
        if len(write) == 1:
            then.append({"delete": write[0]})
        else:
            put = {"write": write[0], "v": write[1]}
            if write[2] is not None:
                put["permit"] = write[2]
            then.append(put)
    return {"guards": [{"path": k, "stamp": s} for k, s in guards], "writes": then}


def parse_txn(value: Any) -> tuple[int, list[str]]:
    """Return (revision, failed keys) of a transaction's answer."""
    try:
        return int(value["epoch"]), [str(k) for k in value.get("failed", ())]
    except (TypeError, KeyError, ValueError, AttributeError):
        raise Malformed("transaction's answer") from None


def parse_list(value: Any) -> tuple[list[tuple[str, Any, int]], bool, int]:
    """Return (items, more, revision) of a list."""
    try:
        rows = [(row["path"], row["v"], row["stamp"]) for row in value["rows"]]
        return rows, bool(value["has_next"]), int(value["epoch"])
    except (TypeError, KeyError, ValueError):
        raise Malformed("list's answer") from None


def parse_item(value: Any) -> tuple[Any, int]:
    """Return (value, version) of a key."""
    try:
        return value["v"], int(value["stamp"])
    except (TypeError, KeyError, ValueError):
        raise Malformed("key's answer") from None


def parse_events(value: Any) -> tuple[list[tuple[str, Any, int]], int]:
    """Return (events, revision) of a watch; a deleted key has the value None."""
    try:
        events = []
        for event in value["events"]:
            if "delete" in event:
                events.append((event["delete"], None, event["stamp"]))
            else:
                events.append((event["write"], event["v"], event["stamp"]))
        return events, int(value["epoch"])
    except (TypeError, KeyError, ValueError):
        raise Malformed("watch's answer") from None


def lease_body(life_s: float) -> dict:
    """Return the request for a lease."""
    return {"life_ms": int(life_s * 1000)}


def parse_lease(value: Any) -> int:
    """Return the lease that was granted."""
    try:
        return int(value["permit"])
    except (TypeError, KeyError, ValueError):
        raise Malformed("lease's answer") from None
