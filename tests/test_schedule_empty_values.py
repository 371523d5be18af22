"""Null, empty lists and empty texts in requests about schedules: none means its opposite."""

import pytest

from oakmux.schedules import calendars
from tests.timed import JOB, ScheduleSimulation, settled_simulation

NOON = "2026-12-01T12:00:30+00:00"
ENTRY = {
    "name": "red/n",
    "rule": {"cron": "0 3 * * *", "zone": "UTC"},
    "template": "red/t",
}
NULLABLE = ("policy", "until", "paused", "deadline_s", "note", "etag", "component", "uid")


@pytest.fixture(scope="module")
def sim() -> ScheduleSimulation:
    return settled_simulation(NOON)


def put(sim: ScheduleSimulation, **fields) -> tuple[int, dict]:
    return sim.request("put", entries=[{**ENTRY, **fields}])


def stored(sim: ScheduleSimulation, name: str) -> dict:
    status, body = sim.request("show", name=name)
    assert status == 200
    return {key: value for key, value in body.items() if key not in ("name", "next")}


def test_a_null_field_of_an_entry_is_the_same_as_an_omitted_one(sim):
    """Guards against null stored as the text None, and null that ends an entry's pause."""
    assert put(sim, name="red/omitted")[0] in (200, 201)
    nulls = dict.fromkeys(NULLABLE)
    assert put(sim, name="red/null", **nulls)[0] in (200, 201)
    assert put(sim, name="red/null-2", **nulls)[0] in (200, 201)  # null is no UID of its own
    policy = {"overlap": None, "catch_up": None, "window_s": None, "jitter_s": None}
    assert put(sim, name="red/null-policy", policy=policy)[0] in (200, 201)
    expected = stored(sim, "red/omitted")
    assert expected["until"] is None
    for name in ("red/null", "red/null-2", "red/null-policy"):
        assert stored(sim, name) == expected


def test_an_edit_with_a_null_pause_keeps_an_entry_paused(sim):
    """Guards against a paused entry that fires again after an edit with `paused` null."""
    assert put(sim, name="red/paused", paused=True)[0] in (200, 201)
    assert put(sim, name="red/paused", paused=None, note="edited")[0] in (200, 201)
    assert stored(sim, "red/paused")["paused"] is True
    assert put(sim, name="red/paused", paused=False)[0] in (200, 201)
    assert stored(sim, "red/paused")["paused"] is False


@pytest.mark.parametrize(
    ("field", "value", "status"),
    [
        ("rule", None, 400),
        ("rule", "", 400),
        ("rule", [], 400),
        ("rule", {}, 400),
        ("rule", {"cron": "", "zone": "UTC"}, 422),
        ("rule", {"cron": "0 3 * * *", "zone": ""}, 422),
        ("rule", ["cron", "UTC", ""], 422),
        ("rule", ["", "UTC", "0 3 * * *"], 422),
        ("template", None, 400),
        ("template", [], 400),
        ("template", "", 422),
        ("policy", [], 400),
        ("policy", "", 400),
        ("policy", {"overlap": ""}, 422),
        ("policy", {"overlap": []}, 400),
        ("policy", {"window_s": ""}, 400),
        ("until", "", 400),
        ("until", [], 400),
        ("until", False, 400),
        ("paused", "", 400),
        ("paused", [], 400),
        ("paused", "false", 400),
        ("deadline_s", "", 400),
        ("deadline_s", [], 400),
        ("deadline_s", 0.0, 422),
        ("note", [], 400),
        ("uid", [], 400),
        ("name", "", 422),
        ("name", None, 422),
        ("name", [], 422),
    ],
)
def test_an_empty_value_of_an_entry_is_refused(sim, field, value, status):
    """Guards against an entry without end, pause, policy or rule since its value was empty."""
    sim.request("remove", name="red/refused")  # of a case that was not refused
    answered, reason = put(sim, **{"name": "red/refused", field: value})
    assert answered == status, reason
    assert sim.request("show", name="red/refused")[0] == 404


def test_an_empty_etag_matches_no_entry(sim):
    """Guards against a change that another client's newer version should have refused."""
    assert put(sim, name="red/tagged", etag="a1")[0] in (200, 201)
    changed = [{**ENTRY, "name": "red/tagged", "note": "changed"}]
    assert sim.request("put", entries=changed, if_match="")[0] == 412
    assert sim.request("remove", name="red/tagged", if_match="")[0] == 412
    assert sim.request("remove", name="red/tagged", if_match=[])[0] == 400
    assert sim.request("put", entries=[{**ENTRY, "name": "red/none"}], if_match="")[0] == 412
    assert stored(sim, "red/tagged")["note"] == ""
    assert sim.request("put", entries=changed, if_match="a1")[0] in (200, 201)
    assert sim.request("remove", name="red/tagged", if_match=None)[0] == 200


def test_a_null_prefix_lists_all_entries_and_templates(sim):
    assert put(sim, name="red/listed")[0] in (200, 201)
    for operation, field in (("list", "entries"), ("templates", "templates")):
        status, every = sim.request(operation)
        assert status == 200
        assert every[field]
        assert sim.request(operation, prefix=None, after=None) == (200, every)
        assert sim.request(operation, prefix=[])[0] == 400


def test_a_calendar_with_an_empty_zone_is_refused(sim):
    assert sim.request("calendar", name="red/empty", zone="")[0] == 422
    assert sim.request("calendar", name="red/empty", zone=[])[0] == 400
    assert sim.request("calendar", name="red/null", zone=None, title=None, template=None)[0] == 201
    rows = sim.request("calendars", team="red")[1]["calendars"]
    assert [(row["name"], row["title"], row["zone"]) for row in rows] == [("null", "null", "UTC")]
    for names, count in (([], 0), (None, 0)):
        assert len(sim.request("objects", calendar="red/null", names=names)[1]["objects"]) == count


@pytest.mark.parametrize(("field", "value"), [("flavours", []), ("flavours", [""]), ("site", "")])
def test_a_template_whose_jobs_allow_no_machine_is_refused(sim, field, value):
    """Guards against `wrong_place`: firings whose jobs start although they allow no type."""
    sim.request("template-remove", name="red/nowhere")  # of a case that was not refused
    status, reason = sim.request(
        "template", name="red/nowhere", steps=[["main", {**JOB, field: value}, []]]
    )
    assert status == 422, reason
    assert sim.request("templates", prefix="red/nowhere")[1]["templates"] == []


def test_an_event_with_an_empty_recurrence_is_refused():
    """Guards against an event that happens once since its recurrence is empty."""
    event = "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:x\r\nBEGIN:VEVENT\r\nUID:u1\r\n"
    event += "DTSTART:20260101T100000Z\r\n{}END:VEVENT\r\nEND:VCALENDAR\r\n"
    assert calendars.parse(event.format(""), "UTC").rule.text == ""
    with pytest.raises(calendars.CalendarError, match="RRULE"):
        calendars.parse(event.format("RRULE:\r\n"), "UTC")
