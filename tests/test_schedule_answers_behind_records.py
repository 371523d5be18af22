"""Answers about schedules by a controller whose records are behind those of another."""

import pytest

from tests.timed import ScheduleSimulation, settled_simulation

# One controller has all records, the watch of the other one is late.
CURRENT, BEHIND = "h0", "h1"


@pytest.fixture
def sim() -> ScheduleSimulation:
    """Return a deployment with a paused entry."""
    sim = settled_simulation("2026-12-01T12:00:30+00:00")
    assert sim.put_cron_entry("red/n", "0 3 * * *")[0] in (200, 201)
    assert sim.request("pause", name="red/n")[0] == 200
    sim.run(1)
    sim.stalled_watches = {BEHIND}
    return sim


def repeat_at_current_records(sim: ScheduleSimulation, operation: str, **args) -> tuple[int, dict]:
    """Check that a request is not answered by old records; return its answer by current ones."""
    assert sim.request(operation, label=BEHIND, **args)[0] == 503
    sim.stalled_watches.clear()
    sim.run(0.5)
    return sim.request(operation, label=BEHIND, **args)


def test_a_pause_is_not_confirmed_by_an_older_one(sim):
    """Guards against an entry that fires although its pause was confirmed."""
    assert sim.request("resume", label=CURRENT, name="red/n")[0] == 200
    assert repeat_at_current_records(sim, "pause", name="red/n")[0] == 200
    assert sim.request("show", label=CURRENT, name="red/n")[1]["paused"] is True


def test_an_unchanged_entry_is_not_confirmed_by_an_older_one(sim):
    """Guards against an edit that is confirmed, though another one had replaced the entry."""
    assert sim.put_cron_entry("red/n", "0 4 * * *")[0] in (200, 201)
    entry = {
        "name": "red/n",
        "rule": {"cron": "0 3 * * *", "zone": "UTC"},
        "template": "red/t",
        "policy": {},
    }
    assert repeat_at_current_records(sim, "put", entries=[entry])[0] in (200, 201)
    assert sim.request("show", label=CURRENT, name="red/n")[1]["rule"] == "0 3 * * *"


@pytest.mark.parametrize("operation", ["show", "next", "history", "remove", "resume"])
def test_an_entry_that_another_controller_stored_is_known(sim, operation):
    """Guards against 404 for an entry whose storing was confirmed."""
    status, _ = sim.request(
        "put",
        label=CURRENT,
        entries=[
            {
                "name": "red/new",
                "rule": {"cron": "0 3 * * *", "zone": "UTC"},
                "template": "red/t",
            }
        ],
    )
    assert status in (200, 201)
    assert repeat_at_current_records(sim, operation, name="red/new")[0] == 200


def test_a_list_holds_what_other_controllers_stored(sim):
    assert sim.put_template("red/t2")[0] == 200
    for operation, field in (("templates", "templates"), ("list", "entries")):
        sim.stalled_watches = {BEHIND}
        sim.run(1.0)
        name = f"red/{operation}"
        if operation == "list":
            assert sim.put_cron_entry(name, "0 3 * * *")[0] in (200, 201)
        else:
            assert sim.put_template(name)[0] == 200
        status, body = repeat_at_current_records(sim, operation)
        assert status == 200
        assert name in [row["name"] for row in body[field]]
