"""Settings files, upcoming limits and unused constants."""

import subprocess
import sys
from pathlib import Path

import pytest

from oakmux import constants, settings

CONFIG = """
label = "h0"
area = "a"
public_addr = "127.0.0.1:8080"
internal_addr = "127.0.0.1:8081"
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[facts]
zones = ["a"]
[[facts.teams]]
name = "red"
gpus_max = 4
[facts.workers]
report_s = 1
lease_s = 10
gang_wait_s = 30
gang_peer_s = 8
cancel_s = 30
[facts.state]
rps = 100
write_rps = 20
value_kb = 8
txn_ops = 12
[facts.cloud]
rps = 5
list_lag_s = 5
"""


UPCOMING_LIMITS = "\n[facts.state.next]\nwrite_rps = 1e6\nvalue_kb = 2.0\ntxn_ops = 4\n"


@pytest.fixture
def config_file(tmp_path):
    """Return the path of a valid settings file."""
    file = tmp_path / "c.toml"
    file.write_text(CONFIG)
    return file


def test_valid_settings_are_loaded(config_file):
    assert settings.load(str(config_file)).facts.teams[0].gpus_max == 4.0


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("rps = 100", "rps = -1", "facts.state.rps"),
        ("[facts]", "[facts]\nsize = -1", "facts.size"),
        ("gpus_max = 4", "gpus_max = -4", "facts.teams.*gpus_max"),
        ("127.0.0.1:2", "nowhere", "external.state"),
        ("lease_s = 10", "", "lease_s"),
        ("[facts]", "[facts", "TOML"),
    ],
)
def test_settings_errors_name_the_field(config_file, old, new, field):
    config_file.write_text(CONFIG.replace(old, new, 1))
    with pytest.raises(settings.SettingsError, match=field):
        settings.load(str(config_file))


# Guards against a service that never gets its roles: the store refuses keys with spaces, or of
# more than 200 bytes, each time.
@pytest.mark.parametrize("name", ["audit panel", "x" * 151, ""])
@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('name = "red"', 'name = "{}"', "facts.teams.*name"),
        ('label = "h0"', 'label = "{}"', "label"),
    ],
)
def test_names_that_no_key_can_hold_are_refused(config_file, old, new, field, name):
    assert old in CONFIG
    config_file.write_text(CONFIG.replace(old, new.format(name), 1))
    with pytest.raises(settings.SettingsError, match=field):
        settings.load(str(config_file))


def test_the_strictest_of_present_and_upcoming_limits_applies(config_file):
    config_file.write_text(CONFIG + UPCOMING_LIMITS)
    limits = settings.load(str(config_file)).facts.store
    strictest = limits.strictest
    assert (strictest.rps, strictest.write_rps, strictest.value_kb, strictest.txn_ops) == (
        limits.rps,
        limits.write_rps,
        2.0,
        4,
    )


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("value_kb = 2.0", "value_kb = 0", "facts.state.next.value_kb"),
        ("txn_ops = 4", "txn_ops = 1", "txn_ops"),
        ("txn_ops = 4", "txn_ops = 'x'", "txn_ops"),
    ],
)
def test_errors_of_upcoming_limits_name_the_field(config_file, old, new, field):
    config_file.write_text(CONFIG + UPCOMING_LIMITS.replace(old, new))
    with pytest.raises(settings.SettingsError, match=field):
        settings.load(str(config_file))


def test_invalid_settings_exit_with_one_line_and_code_2(tmp_path):
    file = tmp_path / "c.toml"
    file.write_text(CONFIG.replace('zones = ["a"]', "zones = []"))
    result = subprocess.run(
        [sys.executable, "run.py", "--config", str(file)],
        text=True,
        capture_output=True,
        check=False,
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert "facts.zones" in result.stderr


def test_constants_are_used():
    source = "".join(p.read_text() for p in Path("oakmux").rglob("*.py"))
    unused = [n for n in dir(constants) if n.isupper() and f"constants.{n}" not in source]
    assert unused == []
