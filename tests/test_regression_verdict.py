"""The verdict on regression runs, from complete, truncated and unfinished journal entries."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from tools import regress

ROOT = Path(__file__).resolve().parent.parent
# Journal entries: a full score without broken rules, a run whose day `rough` was too slow, the
# production version on a deployment that it was not made for, and an interrupted benchmark.
FULL_SCORE, SLOW_DAY, RULES_BROKEN, INTERRUPTED = "ba8a545f", "c6a72347", "4a9605d4", "6459fd8b"


def read_entry(entry_id: str) -> dict:
    return regress.read_entry(next((ROOT / "journal").glob(f"*-{entry_id}.json")))


def baseline_of(figure: float, **days: float) -> regress.Baseline:
    return regress.Baseline(figure, "0", "0", days, 100.0)


def failures(entry: dict, baseline: regress.Baseline | None = None) -> list[str]:
    return [row.text for row in regress.judge(entry, baseline) if row.bad]


def test_a_score_drop_below_the_noise_passes():
    assert failures(read_entry(FULL_SCORE), baseline_of(0.655)) == []
    assert failures(read_entry(FULL_SCORE)) == []  # without a baseline


def test_a_regression_names_the_day_and_its_weakest_objective():
    rows = regress.judge(read_entry(FULL_SCORE), baseline_of(0.70, troubles=0.75))
    assert [row.text for row in rows if row.bad] == [
        "umoja-giving-arusha-grown: 0.700 (0) -> 0.632 (ba8a545f): fell"
    ]
    assert any("day troubles: 0.75 -> 0.63; weakest guarantee 5 s" in row.text for row in rows)
    assert any("processor time 100 s -> " in row.text for row in rows)


def test_broken_rules_are_reported_first():
    rows = regress.judge(read_entry(RULES_BROKEN), baseline_of(1.0))
    assert rows[0].rank == 0
    assert "rule invented broken 12 times" in rows[0].text
    assert [row.rank for row in rows] == sorted(row.rank for row in rows)


def test_a_day_that_was_too_slow_fails():
    assert any("day rough: failed: too slow" in text for text in failures(read_entry(SLOW_DAY)))


@pytest.mark.parametrize(
    "change, message",
    [
        ({"restarts": 2.0}, "2 controllers ended by themselves"),
        ({"score": None}, "not played"),
        ({"rules": {"quota": 1}}, "rule quota broken 1 times"),
    ],
)
def test_a_failed_day_fails_whatever_its_score(change, message):
    entry = read_entry(FULL_SCORE)
    entry["days"][0].update(change)
    assert any(message in text for text in failures(entry, baseline_of(0.1)))


def test_truncated_and_unfinished_entries_fail(tmp_path):
    text = next((ROOT / "journal").glob(f"*-{FULL_SCORE}.json")).read_bytes()
    (tmp_path / "20261201T000000-aaaaaaaa.json").write_bytes(text[: len(text) // 2])
    truncated = regress.read_entry(tmp_path / "20261201T000000-aaaaaaaa.json")
    assert any("unreadable" in row for row in failures(truncated))
    assert any("the run did not finish" in row for row in failures(read_entry(INTERRUPTED)))
    empty = {**read_entry(FULL_SCORE), "days": []}
    assert any("no day was played" in row for row in failures(empty, baseline_of(0.1)))


def test_check_reads_the_newest_score_of_each_site_and_sets_the_exit_code(tmp_path):
    baseline, journal = tmp_path / "baseline.toml", tmp_path / "journal"
    journal.mkdir()
    entry = read_entry(FULL_SCORE)
    (journal / "20261201T000001-a.json").write_text(json.dumps({**entry, "score": 0.2}))
    (journal / "20261201T000002-b.json").write_text(json.dumps(entry))
    baseline.write_text(regress.baseline_row(entry, "abc"))
    args = ["--baseline", str(baseline), "--journal", str(journal)]
    assert CliRunner().invoke(regress.main, [*args, "check"]).exit_code == 0
    (journal / "20261201T000003-c.json").write_text(json.dumps({**entry, "score": 0.2}))
    result = CliRunner().invoke(regress.main, [*args, "check"])
    assert result.exit_code == 1
    assert "fell" in result.output
    baseline.write_text("[[site]]\nname = 3\n")
    assert CliRunner().invoke(regress.main, [*args, "check"]).exit_code == 2
    assert (
        CliRunner().invoke(regress.main, ["quick", "--why", "x"], env={"OAKMUX_KIT": ""}).exit_code
        == 2
    )


def test_the_baseline_in_the_repository_names_entries_of_the_journal():
    for (site, kind), row in regress.read_baseline(ROOT / "docs" / "baseline.toml").items():
        entry = read_entry(row.entry)
        assert (entry["site"], regress.run_kind(entry)) == (site, kind)
        assert entry["score"] == pytest.approx(row.figure, abs=0.001)


def test_runs_use_the_newest_bench_and_a_full_one_searches_double_faults(tmp_path):
    bench = tmp_path / "more" / "hunt" / "bin" / "fleetbench"
    bench.parent.mkdir(parents=True)
    bench.write_text(f'#!/bin/sh\necho "$@" >> {tmp_path}/calls\n')
    bench.chmod(0o755)
    for command, hunt_count in (["quick"], 0), (["full", "--days", "2"], 6):
        (tmp_path / "calls").unlink(missing_ok=True)
        result = CliRunner().invoke(regress.main, ["--kit", str(tmp_path), *command, "--why", "x"])
        assert result.exit_code == 1  # the run left no journal entry
        score, *hunts = (tmp_path / "calls").read_text().splitlines()
        assert score.startswith("score ")
        assert score.count("-ops.toml") == 2
        assert len(hunts) == hunt_count
        assert all(row.startswith("hunt ") for row in hunts)
        assert sum("-hunt.toml --days 2" in row for row in hunts) == (2 if hunt_count else 0)
