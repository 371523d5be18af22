"""Settings for schedules and load spreading, and errors reported in one line."""

import subprocess
import sys
from pathlib import Path

import pytest

from oakmux import settings
from oakmux.schedules import plugin
from oakmux.schedules.dav import tokens
from tests.loopback import write_settings

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    "text, expected",
    [
        ("[caldav]\nlisten = 127.0.0.1:1\n", "tokens: is missing"),
        ("[caldav]\nlisten = nowhere\ntokens = tokens\nplain = yes\n", "not an address"),
        ("[caldav]\nlisten = 127.0.0.1:1\ntokens = none\nplain = yes\n", "tokens"),
        ("[caldav]\nlisten = 127.0.0.1:1\ntokens = bad\nplain = yes\n", "line 2: not TEAM SALT"),
        ("[caldav]\nlisten = 127.0.0.1:1\ntokens = tokens\n", "set plain = yes"),
        (
            "[caldav]\nlisten = 127.0.0.1:1\ntokens = tokens\ncertificate = tokens\n"
            "key = tokens\n",
            "certificate or key",
        ),
        ("[schedules]\nenabled = no\n", "start without"),
        ("[schedules]\nenabled = 7\n", "boolean"),
        ("[schedule]\n", "unknown section"),
        ("[schedules]\ncolour = red\n", "unknown setting"),
        ("enabled = yes\n", "no section"),
    ],
)
def test_invalid_schedule_settings_are_reported_in_one_line(tmp_path, text, expected):
    write_settings(tmp_path, 1, ["red"])
    (tmp_path / "bad").write_text("# one\nred salt hash\n")
    file = tmp_path / "s.ini"
    file.write_text(text)
    with pytest.raises(settings.SettingsError, match=expected) as raised:
        plugin.load(str(file))
    assert "\n" not in str(raised.value)


def test_the_deploy_examples_for_schedules_are_valid():
    assert plugin.load(str(ROOT / "deploy" / "schedules.ini")).caldav is None


def test_a_token_belongs_to_one_team_and_is_stored_as_a_hash():
    token, row = tokens.make("red")
    assert token not in row
    known = tokens.Tokens([(row.split()[0], *(bytes.fromhex(f) for f in row.split()[1:]))])
    assert [known.team(token), known.team(token), known.team(token + "x")] == ["red", "red", None]


def test_the_schedules_package_is_not_loaded_unless_enabled():
    """A controller without schedules runs with requirements.txt alone."""
    code = (
        "import sys, oakmux.service, oakmux.cli; bad = [m for m in sys.modules if "
        "m.split('.')[0] in ('cronsim', 'dateutil', 'icalendar', 'lark', 'defusedxml') or "
        "m.startswith('oakmux.schedules')]; sys.exit(', '.join(bad) or 0)"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT).returncode == 0


@pytest.mark.parametrize(
    "text, expected",
    [
        ("[spread]\nopenings = perhaps\n", "boolean"),
        ("[spread]\nfloor_share = 0.9\n", "0.5"),
        ("[spread]\nfloor_share = much\n", "float"),
        ("[spread]\nfloors = 1\n", "unknown setting"),
        ("[spreads]\n", "unknown section"),
        ("openings = yes\n", "no section"),
    ],
)
def test_invalid_load_spreading_settings_are_reported_in_one_line(tmp_path, text, expected):
    path = tmp_path / "spread.ini"
    path.write_text(text)
    with pytest.raises(settings.SettingsError) as error:
        settings.load_scheduling_options(str(path))
    assert expected in str(error.value)
    assert "\n" not in str(error.value)


def test_the_deploy_example_for_load_spreading_enables_backfill():
    assert settings.load_scheduling_options(
        str(ROOT / "deploy" / "spread.ini")
    ) == settings.SchedulingOptions(backfill=True)
