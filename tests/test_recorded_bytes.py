"""Bytes that a controller sends and stores, and how it reads bytes, compared with a recording.

`data/recorded_bytes.json` holds what an earlier version wrote and read. A difference means that a
protocol or the stored data changed, which breaks upgrades of one controller at a time.
`RECORD_BYTES=1 python -m tests.test_recorded_bytes` records anew; no test does, and a test fails
if a case is not recorded.

Digests of whole runs show changes of behaviour. Controllers iterate over sets of names, so some
orders depend on the hash seed of the process. Therefore the effects of one step are sorted by
their bytes, so are the guards and writes of a transaction, and numbers of offers and operations
are left out. In some runs the machines chosen for a gang depend on the hash seed as well; the four
runs here gave the same digests with each of 90 hash seeds.
"""

import json
import os
import sys
from pathlib import Path
from typing import Any

import cbor2
import pytest

from tests import recorded

FILE = Path(__file__).parent / "data" / "recorded_bytes.json"
RECORDED: dict[str, Any] = json.loads(FILE.read_text()) if FILE.exists() else {}


def jsonable(value: Any) -> Any:
    """Return a value as it is after a JSON round trip."""
    return json.loads(json.dumps(value))


def readable_form(data: bytes) -> Any:
    """Return bytes in readable form: decoded CBOR or text."""
    if data.startswith((b"HTTP/", b"POST ", b"GET ")):
        head, _, body = data.partition(b"\r\n\r\n")
        return [head.decode().split("\r\n"), readable_form(body) if body else None]
    try:
        return jsonable(cbor2.loads(data))
    except Exception:  # not CBOR, or CBOR that JSON can't hold
        return data.decode("latin-1")


def record() -> dict[str, Any]:
    """Return the recording of the present version."""
    return {
        "written": {
            name: {"hex": data.hex(), "shown": readable_form(data)}
            for name, data in recorded.outputs().items()
        },
        "read": {
            name: {
                "hex": data.hex(),
                "shown": readable_form(data),
                "gives": recorded.read(name, data),
            }
            for name, data in recorded.inputs().items()
        },
        "runs": {name: recorded.summarize_run(name) for name in recorded.RUNS},
    }


@pytest.fixture(scope="module")
def current_outputs() -> dict[str, bytes]:
    """Return the bytes that the present version writes."""
    return recorded.outputs()


def test_the_recorded_cases_are_exactly_the_known_cases(current_outputs):
    assert set(current_outputs) == set(RECORDED["written"])
    assert set(recorded.inputs()) == set(RECORDED["read"])
    assert set(recorded.RUNS) == set(RECORDED["runs"])


@pytest.mark.parametrize("name", RECORDED.get("written", ()))
def test_written_bytes_are_unchanged(name, current_outputs):
    row = RECORDED["written"][name]
    assert readable_form(current_outputs[name]) == row["shown"]
    assert current_outputs[name].hex() == row["hex"]


@pytest.mark.parametrize("name", RECORDED.get("read", ()))
def test_recorded_input_is_read_with_the_same_result(name):
    row = RECORDED["read"][name]
    assert jsonable(recorded.read(name, bytes.fromhex(row["hex"]))) == row["gives"]


@pytest.mark.parametrize("name", RECORDED.get("runs", ()))
def test_a_simulated_run_is_unchanged(name):
    current, expected = jsonable(recorded.summarize_run(name)), RECORDED["runs"][name]
    for field in ("told", "kinds", "first"):
        assert current[field] == expected[field]
    assert current == expected


if __name__ == "__main__":
    if not os.environ.get("RECORD_BYTES"):
        sys.exit("set RECORD_BYTES=1 to overwrite the recording")
    FILE.write_text(json.dumps(record(), indent=1, ensure_ascii=False) + "\n")
