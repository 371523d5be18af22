"""CalDAV over TLS and the `oakmux schedule` commands, against a service on loopback."""

import base64
import json
import ssl
import subprocess
import sys
from datetime import UTC, datetime, timedelta
from http.client import HTTPSConnection

import caldav
import pytest
from caldav.lib import error as dav_error
from click.testing import CliRunner

from oakmux.cli import main
from tests.loopback import DATA

CERT = str(DATA / "loopback-only.pem")
EVENT = """BEGIN:VCALENDAR
VERSION:2.0
PRODID:-//test//EN
BEGIN:VEVENT
UID:{uid}
DTSTAMP:20260101T000000Z
DTSTART;TZID=Europe/Berlin:20260105T023000
RRULE:FREQ=DAILY
SUMMARY:nightly match
X-OAKMUX-TEMPLATE:{template}
END:VEVENT
END:VCALENDAR
"""


@pytest.fixture(scope="module")
def service(tmp_path_factory):
    folder = str(tmp_path_factory.mktemp("loopback"))
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.loopback", folder], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    yield json.loads(process.stdout.readline())
    process.kill()
    process.wait()
    process.stdout.close()


def dav_client(service: dict, team: str = "red", token: str | None = None) -> caldav.DAVClient:
    return caldav.DAVClient(
        url=f"https://localhost:{service['dav']}/dav/",
        username=team,
        password=token or service["tokens"][team],
        ssl_verify_cert=CERT,
    )


def send_request(
    service: dict, method: str, path: str, body: bytes = b"", team: str = "red", **headers: str
) -> tuple[int, bytes]:
    """Send a raw HTTP request; return status and body."""
    context = ssl.create_default_context(cafile=CERT)
    conn = HTTPSConnection("localhost", service["dav"], timeout=10, context=context)
    login = base64.b64encode(f"{team}:{service['tokens'][team]}".encode()).decode()
    conn.request(
        method,
        path,
        body,
        {
            "Authorization": f"Basic {login}",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        },
    )
    answer = conn.getresponse()
    data = answer.read()
    conn.close()
    return answer.status, data


def make_event(uid: str = "a", template: str = "t") -> str:
    return EVENT.format(uid=uid, template=template)


def run_command(service: dict, *args: str, code: int = 0) -> str:
    """Run a command; check its exit code and return its output."""
    result = CliRunner().invoke(
        main, ["--server", f"127.0.0.1:{service['public']}", *args], catch_exceptions=False
    )
    assert result.exit_code == code, result.output
    return result.output


def test_caldav_client_creates_searches_syncs_and_deletes_events(service):
    principal = dav_client(service).principal()
    calendar = principal.make_calendar(name="Nightly runs", cal_id="nightly")
    assert [str(item.url) for item in principal.calendars()] == [str(calendar.url)]
    saved = calendar.save_event(make_event("one"))
    assert [item.icalendar_component["UID"] for item in calendar.events()] == ["one"]
    matches = calendar.search(
        start=datetime.now(UTC),
        end=datetime.now(UTC) + timedelta(days=3),
        event=True,
        expand=False,
    )
    assert len(matches) == 1
    token = calendar.objects_by_sync_token(load_objects=False).sync_token
    second = calendar.save_event(make_event("two"))
    changed = calendar.objects_by_sync_token(sync_token=token, load_objects=False)
    assert [str(item.url) for item in changed] == [str(second.url)]
    saved.delete()
    with pytest.raises(dav_error.NotFoundError):
        saved.load()
    status, body = send_request(
        service, "PUT", "/dav/red/nightly/other.ics", make_event("two").encode()
    )
    assert status == 403
    assert "has this UID" in body.decode()
    entry = json.loads(run_command(service, "--json", "schedule", "list", "red/nightly/"))
    assert [row["rule"] for row in entry] == ["FREQ=DAILY"]
    run_command(service, "schedule", "calendar", "remove", "red/nightly", code=1)
    second.delete()
    calendar.delete()
    assert principal.calendars() == []


def test_unauthorized_requests_are_rejected(service):
    with pytest.raises(dav_error.AuthorizationError):
        dav_client(service, token="wrong").principal()
    dav_client(service, "blue").principal().make_calendar(name="B", cal_id="own")
    assert send_request(service, "GET", "/dav/blue/own/a.ics")[0] == 403
    assert send_request(service, "PUT", "/dav/blue/own/a.ics", make_event().encode())[0] == 403
    assert send_request(service, "PROPFIND", "/dav/blue/", Depth="1")[0] == 403
    assert send_request(service, "GET", "/dav/blue/own/a.ics", team="blue")[0] == 404


def test_concurrent_edits_are_not_lost(service):
    dav_client(service).principal().make_calendar(name="Edits", cal_id="edits")
    path = "/dav/red/edits/a.ics"
    assert send_request(service, "PUT", path, make_event().encode(), If_None_Match="*")[0] == 201
    assert send_request(service, "PUT", path, make_event().encode(), If_None_Match="*")[0] == 412
    assert send_request(service, "PUT", path, make_event().encode(), If_Match='"no"')[0] == 412
    assert send_request(service, "DELETE", path, If_Match='"no"')[0] == 412
    assert send_request(service, "GET", path)[1].decode() == make_event()


@pytest.mark.parametrize(
    "text, status, word",
    [
        ("rubbish", 400, "iCalendar"),
        ("\x00\x01", 400, "iCalendar"),
        (EVENT.format(uid="x", template="nowhere"), 403, "no template"),
        (make_event().replace("FREQ=DAILY", "FREQ=SECONDLY"), 403, "finest"),
        (make_event().replace("FREQ=DAILY", "FREQ=DAILY;BYDAY=XX"), 400, ""),
        (make_event().replace("Europe/Berlin", "Mars/Base"), 403, "zone"),
        (make_event().replace("UID:a\n", ""), 403, "UID"),
        (make_event().replace("VEVENT", "VJOURNAL"), 403, "VEVENT"),
        (make_event() + "X" * 70_000, 413, ""),
    ],
)
def test_an_invalid_object_is_rejected_as_a_whole(service, text, status, word):
    send_request(service, "MKCALENDAR", "/dav/red/bad/")
    got, body = send_request(service, "PUT", "/dav/red/bad/a.ics", text.encode())
    assert got == status
    assert word in body.decode()
    assert send_request(service, "GET", "/dav/red/bad/a.ics")[0] == 404
    assert json.loads(run_command(service, "--json", "schedule", "list", "red/bad/")) == []


@pytest.mark.parametrize(
    "method, path, body, status",
    [
        ("PROPFIND", "/dav/red/", b"<a", 400),
        (
            "PROPFIND",
            "/dav/red/",
            b'<!DOCTYPE a [<!ENTITY x "y">]><propfind xmlns="DAV:">&x;</propfind>',
            400,
        ),
        ("PROPFIND", "/dav/red/", b'<!DOCTYPE a SYSTEM "file:///etc/passwd"><a/>', 400),
        ("PROPFIND", "/dav/red/", b"<a>" * 16_000, 400),
        ("REPORT", "/dav/red/none/", b"<x/>", 400),
        ("GET", "/dav/red/%00/../..", b"", 404),
        ("BREW", "/dav/red/", b"", 400),
        ("LOCK", "/dav/red/", b"", 501),
        ("PUT", "/dav/red/none/a.ics", make_event().encode(), 404),
        ("PUT", "/dav/red/long/" + "a" * 200, make_event().encode(), 403),
        ("GET", "/dav/red/", b"", 405),
        ("DELETE", "/dav/red/", b"", 403),
        ("GET", "/x", b"", 404),
    ],
)
def test_bad_requests_get_an_error_status_and_service_continues(
    service, method, path, body, status
):
    # 405: the calendar exists already.
    assert send_request(service, "MKCALENDAR", "/dav/red/long/")[0] in (201, 405)
    assert send_request(service, method, path, body)[0] == status
    assert send_request(service, "OPTIONS", "/dav/")[0] == 200


TABLE = """# as it stood on the old machine
MAILTO=""
CRON_TZ=Asia/Jakarta
OAKMUX_TEMPLATE=t
30 2 * * 1-5 /opt/recon/nightly --all
@weekly /opt/archive/print.sh %season%2026
"""


def test_cron_table_import_is_all_or_nothing(service, tmp_path):
    table = tmp_path / "old.tab"
    table.write_text(TABLE + "61 * * * * /bin/x\n* * * * *\n")
    text = run_command(service, "schedule", "import", str(table), "--team", "red", code=2)
    assert "line 7, column 1: minute: 0 to 59" in text
    assert "nothing stored: 2 bad of 4" in text
    assert run_command(service, "schedule", "list", "red/old.") == "no entries\n"
    run_command(service, "schedule", "check", str(table), "--team", "red", code=2)
    table.write_text(TABLE)
    assert "2 entries stored" in run_command(
        service, "schedule", "import", str(table), "--team", "red"
    )
    rows = json.loads(run_command(service, "--json", "schedule", "list", "red/old."))
    assert [row["zone"] for row in rows] == ["Asia/Jakarta"] * 2
    assert (
        run_command(service, "schedule", "next", rows[0]["name"], "--count", "2").count("+07:00")
        == 2
    )
    table.write_text(TABLE.replace("@weekly", "#@weekly"))
    text = run_command(service, "schedule", "import", str(table), "--team", "red", "--prune")
    assert "1 entries stored, 0 left out, 1 removed" in text
    (row,) = json.loads(run_command(service, "--json", "schedule", "list", "red/old."))
    for command in ("pause", "resume", "show", "history"):
        run_command(service, "schedule", command, row["name"])
    assert "job-97" in run_command(service, "schedule", "run-now", row["name"])
    assert "by hand" in run_command(service, "schedule", "history", row["name"])
    run_command(service, "schedule", "remove", row["name"])
    run_command(service, "schedule", "show", row["name"], code=1)


def test_an_icalendar_file_is_imported(service, tmp_path):
    file = tmp_path / "season.ics"
    first, second = (
        make_event("1"),
        make_event("2").replace("FREQ=DAILY", "FREQ=WEEKLY;BYDAY=MO,WE"),
    )
    both = first.replace("END:VCALENDAR\n", "") + second.partition("-//test//EN\n")[2]
    file.write_text(both)
    assert "2 entries stored" in run_command(
        service, "schedule", "import", str(file), "--team", "red"
    )
    rows = json.loads(run_command(service, "--json", "schedule", "list", "red/season."))
    assert sorted(row["rule"] for row in rows) == ["FREQ=DAILY", "FREQ=WEEKLY;BYDAY=MO,WE"]


def test_template_and_single_entry_commands(service, tmp_path):
    file = tmp_path / "t.toml"
    file.write_text('team = "red"\ncpus = 0.5\n')
    assert "stored, 1 job" in run_command(
        service, "schedule", "template", "put", "red/hand", str(file)
    )
    run_command(
        service,
        "schedule",
        "add",
        "red/once",
        "--at",
        "2031-01-01T10:00",
        "--template",
        "red/hand",
        "--zone",
        "Africa/Nairobi",
    )
    assert "2031-01-01T10:00:00+03:00" in run_command(service, "schedule", "next", "red/once")
    run_command(service, "schedule", "template", "remove", "red/hand", code=1)
    run_command(service, "schedule", "remove", "red/once")
    run_command(service, "schedule", "template", "remove", "red/hand")
    assert "red/t: main" in run_command(service, "schedule", "template", "list")
    file.write_text('team = "red"\ncpu = 1\n')
    assert "unknown field cpu" in run_command(
        service, "schedule", "template", "put", "red/x", str(file), code=2
    )
    assert "token: " in run_command(service, "schedule", "token", "red")
