"""Validation of messages: submissions, job ids and heartbeats."""

import pytest

from oakmux.codec.cbor import MalformedError
from oakmux.codec.users import parse_job, parse_job_id
from oakmux.codec.workers import parse_heartbeat
from tests.helpers.samples import SUBMISSION


def test_a_valid_submission_is_parsed():
    job = parse_job(SUBMISSION)
    assert (job.kind, job.priority, job.tasks, job.cpus, job.types) == ("gang", 2, 16, 8.0, ["g8"])
    assert [
        parse_job({**SUBMISSION, **more}).waits_on
        for more in (
            {},
            {"waits_on": None},
            {"waits_on": []},
            {"waits_on": ["job-2", "job-1", "job-2"]},
        )
    ] == [(), (), (), ("job-2", "job-1")]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("pieces", 0),
        ("pieces", 100_001),
        ("pieces", 1.5),
        ("pieces", True),
        ("vcpus", -1.0),
        ("vcpus", float("nan")),
        ("memory_gb", float("inf")),
        ("vcpus", "8"),
        ("shape", "blob"),
        ("rank", "first"),
        ("flavours", "g8"),
        ("together", 1),
        ("owner", ""),
        ("due_s", -1),
        ("lane", None),
        ("waits_on", "job-1"),
        ("waits_on", ["job-x"]),
        ("waits_on", [7]),
        ("waits_on", {"job-1": 1}),
    ],
)
def test_an_invalid_field_is_malformed(field, value):
    with pytest.raises(MalformedError):
        parse_job({**SUBMISSION, field: value})


@pytest.mark.parametrize("job_id", ["job-", "job-1x", "JOB-1", "job-1/2", 7, None, "job-1\n"])
def test_an_invalid_job_id_is_malformed(job_id):
    with pytest.raises(MalformedError):
        parse_job_id({**SUBMISSION, "id": job_id})


HEARTBEAT = {
    "box": "n-1",
    "addr": "10.1.0.1:9000",
    "flavour": "g8",
    "site": "a",
    "loaner": True,
    "tenure": 1,
    "tick": 88,
    "baton": 41,
    "warning_s": None,
    "pieces": [{"piece": "job-1/3", "try": 2, "status": "ended", "cause": "done"}],
}


def test_a_valid_heartbeat_is_parsed():
    assert parse_heartbeat(HEARTBEAT).tasks == {("job-1/3", 2): ("exited", "done", False)}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("tenure", -1),
        ("pieces", [{}]),
        ("box", ""),
        ("tick", "1"),
        ("pieces", [{"piece": "x", "try": 1, "status": "running"}]),
    ],
)
def test_an_invalid_heartbeat_is_malformed(field, value):
    with pytest.raises(MalformedError):
        parse_heartbeat({**HEARTBEAT, field: value})
