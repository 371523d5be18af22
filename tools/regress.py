"""Run regression tests on the operators' bench, and judge the runs from the bench's journal.

The bench and its site files are outside the repository, in the folder given by `--kit` or
OAKMUX_KIT. `check` needs only the journal and docs/baseline.toml. All figures are from simulated
machines.

Exit codes: 0 no regression, 1 a broken rule, a failed day, a lower score or no run, 2 bad input.
"""

import json
import subprocess
import sys
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import click

ROOT = Path(__file__).resolve().parent.parent
# A site's score may be this much below its baseline: the bench documents that
# two runs differ by up to this much.
NOISE_MARGIN = 0.03
# Path of the bench below the kit folder.
BENCH_PATH = "more/hunt/bin/fleetbench"
# Site files below the kit folder, without `.toml`, grouped by the runs that use them.
OPS_SITES = ("more/umoja-giving-arusha-ops", "more/semarang-yearbook-utility-ops")
USUAL_SITES = (
    *OPS_SITES,
    "change/umoja-giving-arusha-next",
    "change/semarang-yearbook-utility-next",
)
FLEET_SITES = (
    "more/fleet/umoja-giving-arusha-fleet",
    "more/fleet/semarang-yearbook-utility-fleet",
)
# Sites whose recorded days have two faults at the same time; hunts use them.
HUNT_SITES = ("more/hunt/umoja-giving-arusha-hunt", "more/hunt/semarang-yearbook-utility-hunt")
GROWN_SITES = ("next/umoja-giving-arusha-grown", "next/semarang-yearbook-utility-grown")
# Default number of days in a hunt.
HUNT_DAYS = 4


class Baseline(NamedTuple):
    """Scores and processor time of a site, and the journal entry and commit they come from."""

    figure: float
    entry: str
    commit: str
    days: dict[str, float]
    cpu_s: float


class Finding(NamedTuple):
    """One line of the verdict.

    `rank` is 0 for a broken rule, 1 for a failed day, 2 for a lower score and 3 for a remark.
    """

    rank: int
    text: str

    @property
    def bad(self) -> bool:
        """Whether this finding alone fails the check."""
        return self.rank < 3


def read_entry(path: Path) -> dict[str, Any]:
    """Read a journal entry; a truncated or foreign file is returned as a failed run."""
    try:
        entry = json.loads(path.read_bytes())
        if not isinstance(entry, dict) or not isinstance(entry.get("days", []), list):
            raise ValueError("not a journal entry")
        return entry
    except (OSError, ValueError) as error:
        return {
            "id": path.stem.rpartition("-")[2],
            "cmd": "score",
            "ok": False,
            "site": None,
            "error": f"unreadable: {error}",
            "days": [],
            "argv": [],
        }


def read_baseline(path: Path) -> dict[tuple[str, str], Baseline]:
    """Read the baselines, by site and "quick" or "full"; raises ValueError on a bad file."""
    baselines: dict[tuple[str, str], Baseline] = {}
    try:
        for row in tomllib.loads(path.read_text()).get("site", []):
            baselines[(row["name"], row["run"])] = Baseline(
                float(row["figure"]),
                str(row["entry"]),
                str(row["commit"]),
                dict(row.get("days", {})),
                float(row.get("cpu_s", 0.0)),
            )
    except (OSError, tomllib.TOMLDecodeError, KeyError, TypeError) as error:
        raise ValueError(f"{path}: {error!r}") from None
    return baselines


def run_kind(entry: dict[str, Any]) -> str:
    """Return the kind of an entry's run: quick or full."""
    return "quick" if "--quick" in entry.get("argv", ()) else "full"


def cpu_s(entry: dict[str, Any]) -> float:
    """Return the processor time of all days of an entry in seconds; wall time if not recorded."""
    total = 0.0
    for day in entry.get("days", ()):
        spent = day.get("spent") or {}
        parts = [sum(spent[name]) for name in ("world", "processes") if name in spent]
        total += sum(parts) if parts else day.get("wall_s") or 0.0
    return total


def weakest_aim(day: dict[str, Any]) -> str:
    """Return the text and score of the aim with the lowest score on a day."""
    aims = [row for row in day.get("aims") or [] if row[1] is not None]
    if not aims:
        return "no aim was scored"
    text, score = min(aims, key=lambda row: row[1])
    return f"weakest {text} [{score:.2f}]"


def judge_days(entry: dict[str, Any]) -> Iterable[Finding]:
    """Yield the findings on an entry that need no baseline: broken rules, failed days, unfinished
    runs.
    """
    site = entry.get("site") or "unknown site"
    prefix = f"{site} ({entry.get('id')})"
    if not entry.get("ok"):
        yield Finding(1, f"{prefix}: unfinished: {entry.get('error') or 'no reason given'}")
    if entry.get("cmd") != "real" and not entry.get("days"):
        yield Finding(1, f"{prefix}: no day was played")
    for day in entry.get("days", ()):
        name = f"{prefix} day {day.get('name')}"
        for rule, count in sorted((day.get("rules") or {}).items()):
            yield Finding(0, f"{name}: rule {rule} broken {count} times")
        if day.get("fault"):
            yield Finding(1, f"{name}: failed: {str(day['fault']).splitlines()[0]}")
        elif day.get("kind") != "real" and day.get("score") is None:
            yield Finding(1, f"{name}: not played")
        if day.get("restarts"):
            yield Finding(1, f"{name}: {day['restarts']:g} controllers ended by themselves")
        if day.get("ok") is False:
            yield Finding(1, f"{name}: failed")


def judge(entry: dict[str, Any], baseline: Baseline | None) -> list[Finding]:
    """Return the findings on one entry, most severe first."""
    findings = list(judge_days(entry))
    site, figure = entry.get("site"), entry.get("score")
    if figure is not None:
        if baseline is None:
            findings.append(
                Finding(3, f"{site}: {figure:.3f}, no baseline for a {run_kind(entry)} run")
            )
        else:
            findings += compare(entry, baseline, figure)
    return sorted(findings, key=lambda row: row.rank)


def compare(entry: dict[str, Any], baseline: Baseline, figure: float) -> Iterable[Finding]:
    """Compare an entry with its baseline: the site's score, then each day if that fell."""
    site = entry["site"]
    fell = baseline.figure - figure > NOISE_MARGIN
    yield Finding(
        2 if fell else 3,
        f"{site}: {baseline.figure:.3f} ({baseline.entry}) -> {figure:.3f} "
        f"({entry.get('id')}){': fell' if fell else ''}",
    )
    for day in entry.get("days", ()):
        old_score = baseline.days.get(day.get("name"))
        if fell and old_score is not None and day.get("score") is not None:
            yield Finding(
                3,
                f"{site} day {day['name']}: {old_score:.2f} -> {day['score']:.2f}; "
                f"{weakest_aim(day)}",
            )
    if baseline.cpu_s:
        yield Finding(3, f"{site}: processor time {baseline.cpu_s:.0f} s -> {cpu_s(entry):.0f} s")


def newest_entries(journal: Path, old_names: set[str] = frozenset()) -> list[dict[str, Any]]:  # type: ignore[assignment]
    """Return the newest score of each site and kind of run, from files not in `old_names`.

    If `old_names` is not empty, also return each hunt and real run that is not in it.
    """
    latest: dict[tuple, dict[str, Any]] = {}
    for path in sorted(journal.glob("*.json")):
        if path.name in old_names:
            continue
        entry = read_entry(path)
        if entry.get("cmd") == "score":
            latest[("score", entry.get("site"), run_kind(entry))] = entry
        elif old_names and entry.get("cmd") in ("hunt", "real"):
            latest[(entry["cmd"], entry.get("id"))] = entry
    return list(latest.values())


def verdict(entries: list[dict[str, Any]], baselines: dict[tuple[str, str], Baseline]) -> int:
    """Print the findings, most severe first; return the exit code (1 without entries)."""
    findings = [
        row
        for entry in entries
        for row in judge(entry, baselines.get((entry.get("site") or "", run_kind(entry))))
    ]
    for row in sorted(findings, key=lambda row: row.rank):
        click.echo(f"{'BAD' if row.bad else '   '} {row.text}")
    return 1 if not entries or any(row.bad for row in findings) else 0


def baseline_row(entry: dict[str, Any], commit: str) -> str:
    """Return an entry as a section of docs/baseline.toml, without its `fresh` days."""
    days = ", ".join(
        f"{json.dumps(day['name'])} = {day['score']:.3f}"
        for day in entry["days"]
        if not day["name"].startswith("fresh")
    )
    return (
        f'[[site]]\nname = "{entry["site"]}"\nrun = "{run_kind(entry)}"\n'
        f'figure = {entry["score"]:.3f}\nentry = "{entry["id"]}"\ncommit = "{commit}"\n'
        f"cpu_s = {cpu_s(entry):.0f}\ndays = {{ {days} }}\n"
    )


def run_bench(kit: Path, args: list[str]) -> None:
    """Run the bench in the repository; its output goes to this process's output."""
    bench = kit / BENCH_PATH
    if not bench.exists():
        raise click.UsageError(f"no bench at {bench}: set --kit to the folder that holds it")
    click.echo(f"running {bench.name} {' '.join(args)}")
    subprocess.run([str(bench), *args], cwd=ROOT, check=False)


def site_paths(kit: Path, names: Iterable[str]) -> list[str]:
    """Return the paths of the named site files."""
    return [str(kit / f"{name}.toml") for name in names]


@click.group(help=__doc__)
@click.option(
    "--kit",
    type=click.Path(file_okay=False, path_type=Path),
    envvar="OAKMUX_KIT",
    help="Folder with the operators' bench and its site files.",
)
@click.option(
    "--baseline",
    type=click.Path(dir_okay=False, path_type=Path),
    default=ROOT / "docs" / "baseline.toml",
    show_default=True,
)
@click.option(
    "--journal",
    type=click.Path(file_okay=False, path_type=Path),
    default=ROOT / "journal",
    show_default=True,
)
@click.pass_context
def main(ctx: click.Context, kit: Path | None, baseline: Path, journal: Path) -> None:
    """Read the baselines and options that the commands share."""
    try:
        baselines = read_baseline(baseline)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    ctx.obj = (kit.resolve() if kit else None, baselines, journal)


def _run_and_judge(obj: tuple, runs: list[list[str]]) -> None:
    kit, baselines, journal = obj
    old_names = {path.name for path in journal.glob("*.json")}
    for args in runs:
        run_bench(kit, args)
    sys.exit(verdict(newest_entries(journal, old_names), baselines))


def _kit_folder(obj: tuple) -> Path:
    if obj[0] is None:
        raise click.UsageError("set --kit or OAKMUX_KIT to the folder that holds the bench")
    return obj[0]


@main.command()
@click.option(
    "--fleet",
    is_flag=True,
    help="Run the fleet sites too: for changes to storage, "
    "membership, timers or messages between machines.",
)
@click.option("--why", required=True, help="One sentence for the journal.")
@click.pass_obj
def quick(obj: tuple, fleet: bool, why: str) -> None:
    """Run the two hardest days of each site; for use before each merge."""
    kit = _kit_folder(obj)
    names = USUAL_SITES + (FLEET_SITES if fleet else ())
    _run_and_judge(obj, [["score", *site_paths(kit, names), "--quick", "--why", why]])


@main.command()
@click.option("--why", required=True, help="One sentence for the journal.")
@click.option("--days", default=HUNT_DAYS, show_default=True, help="Days of each hunt.")
@click.pass_obj
def full(obj: tuple, why: str, days: int) -> None:
    """Run all sites in full, then hunts on the double-fault, fleet and ops sites; for use at
    every third merge.
    """
    kit = _kit_folder(obj)
    hunts = [
        ["hunt", site, "--days", str(days), "--why", why]
        for site in site_paths(kit, HUNT_SITES + FLEET_SITES + OPS_SITES)
    ]
    _run_and_judge(
        obj,
        [
            ["score", *site_paths(kit, FLEET_SITES + USUAL_SITES + GROWN_SITES), "--why", why],
            *hunts,
        ],
    )


@main.command()
@click.pass_obj
def check(obj: tuple) -> None:
    """Judge the newest score of each site and kind of run that has a baseline."""
    _, baselines, journal = obj
    sys.exit(
        verdict(
            [
                entry
                for entry in newest_entries(journal)
                if (entry.get("site") or "", run_kind(entry)) in baselines
            ],
            baselines,
        )
    )


@main.command()
@click.argument("entries", nargs=-1, required=True)
@click.option("--commit", required=True, help="Commit that the entries measure.")
@click.pass_obj
def rows(obj: tuple, entries: tuple[str, ...], commit: str) -> None:
    """Print journal ENTRIES as sections of docs/baseline.toml.

    The commit that changes the baseline states why.
    """
    for path in sorted(obj[2].glob("*.json")):
        entry = read_entry(path)
        if entry.get("id") in entries and entry.get("score") is not None:
            click.echo(baseline_row(entry, commit))


if __name__ == "__main__":
    main()
