"""Null, empty lists and empty texts in submissions and records: none means its opposite."""

import json

import pytest
from click.testing import CliRunner

from oakmux.cli import main
from oakmux.codec.cbor import MalformedError
from oakmux.codec.users import parse_job
from oakmux.core import messages
from oakmux.core.state.codecs import decode_job, encode_job
from tests.fakes import TYPE, Simulation, spec
from tests.helpers.samples import SUBMISSION

SMALL_JOB = {
    **SUBMISSION,
    "owner": "red",
    "shape": "array",
    "pieces": 1,
    "vcpus": 1.0,
    "memory_gb": 4.0,
    "flavours": None,
    "site": None,
    "together": False,
    "spread": False,
    "due_s": None,
    "waits_on": None,
}
NULLABLE = ("flavours", "site", "due_s", "waits_on")
EMPTY_VALUES = (None, [], "", {})
ACCEPTED_EMPTY_VALUES = [
    ("flavours", None, "types", None),
    ("flavours", [], "types", []),
    ("flavours", [""], "types", [""]),
    ("site", None, "zone", None),
    ("site", "", "zone", ""),
    ("due_s", None, "deadline_s", None),
    ("due_s", 0.0, "deadline_s", 0.0),
    ("waits_on", None, "waits_on", ()),
    ("waits_on", [], "waits_on", ()),
]


@pytest.mark.parametrize(("field", "value", "name", "parsed"), ACCEPTED_EMPTY_VALUES)
def test_an_empty_value_is_read_as_it_was_sent(field, value, name, parsed):
    """Guards against `wrong_place`: an empty list of machine types read as any (review/8)."""
    assert getattr(parse_job({**SMALL_JOB, field: value}), name) == parsed


@pytest.mark.parametrize("field", NULLABLE)
def test_an_omitted_field_is_the_same_as_null(field):
    omitted = {name: value for name, value in SMALL_JOB.items() if name != field}
    assert parse_job(omitted) == parse_job({**SMALL_JOB, field: None})


@pytest.mark.parametrize("value", EMPTY_VALUES, ids=["null", "list", "text", "map"])
@pytest.mark.parametrize("field", [name for name in SMALL_JOB if name not in ("id", "colour")])
def test_every_other_empty_value_is_malformed(field, value):
    if any(row[:2] == (field, value) for row in ACCEPTED_EMPTY_VALUES):
        return
    with pytest.raises(MalformedError):
        parse_job({**SMALL_JOB, field: value})


@pytest.mark.parametrize(
    "fields",
    [{"flavours": []}, {"flavours": [""]}, {"flavours": ["none"]}, {"site": ""}],
    ids=["no type", "empty type", "unknown type", "empty zone"],
)
def test_a_job_that_allows_no_machine_is_refused_by_every_controller(fields):
    """Guards against `wrong_place`: a job that allows no machine type starts on one (review/8)."""
    sim = Simulation(1)
    sim.run(8)
    job = parse_job({**SMALL_JOB, **fields})
    for label in sim.labels:
        answers = sim.send_request(label, messages.SubmitJob, "job-1", job, "")
        sim.run(0.5)
        assert [status for status, _ in answers] == [422]
    sim.reported_state.clear()
    sim.query("job-1")
    sim.run(20)
    assert sim.refusals["job-1"] == 404
    assert sim.starts == 0


def test_a_deadline_of_zero_is_not_taken_for_none():
    sim = Simulation(1)
    sim.run(8)
    sim.submit("job-1", spec(deadline_s=0.0))
    sim.run(1)
    job = sim.cores["h0"].context.replica.jobs["job-1"]
    assert job.due_ms == job.submitted_ms


@pytest.mark.parametrize("types", [None, [], [TYPE.name]])
def test_a_record_never_allows_more_machine_types_than_its_job(types):
    """Guards against records in which a list of machine types was replaced by any."""
    job = spec(types=types, waits_on=("job-7",))
    assert decode_job(encode_job("queued", "red", job, 0, 1)).spec == job
    for state in ("done", "cancelled"):
        ended = decode_job(encode_job(state, "red", job, 0, 1)).spec
        assert (ended.types is None) == (types is None)
        assert set(ended.types or ()) <= set(types or ())


@pytest.mark.parametrize("suffix", ["toml", "json"])
def test_the_command_line_sends_empty_values_as_they_are(tmp_path, monkeypatch, suffix):
    bodies = []

    def answer(_server, _method, _path, body=None):
        bodies.append(body)
        return 422, {"error": "a task fits no allowed machine type"}

    monkeypatch.setattr("oakmux.cli.client.send_request", answer)
    path = tmp_path / f"job.{suffix}"
    path.write_text(
        'id = "job-1"\nteam = "red"\ntypes = []\n'
        if suffix == "toml"
        else json.dumps({"id": "job-1", "team": "red", "types": [], "zone": None})
    )
    arguments = ["--server", "127.0.0.1:1", "submit", "--file", str(path)]
    assert CliRunner().invoke(main, [*arguments, "--zone", ""]).exit_code == 1
    assert bodies[-1]["flavours"] == []
    assert bodies[-1]["site"] == ""
