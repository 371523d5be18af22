"""The `oakmux schedule` commands: cron tables, calendars, templates, entries and their firings."""

import hashlib
import re
import secrets
import sys
import tomllib
from collections import Counter
from datetime import datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from oakmux import constants
from oakmux.cli.client import EXIT_BAD, EXIT_FAILED, CliContext, fail, refusal_reason, request
from oakmux.cli.jobs import make_submission
from oakmux.codec.users import CLI_FIELDS

PATH = "/oakmux/schedules/"
INVALID_NAME_CHARS = re.compile(r"[^A-Za-z0-9_]+")


def call(context: CliContext, operation: str, **args: Any) -> dict:
    """Send a request to the controllers; exit with their reason if they refuse it."""
    status, answer = request(context, "POST", PATH + operation, args)
    if status not in (200, 201):
        if status == 404 and refusal_reason(answer) == "unknown path":
            fail("schedules are off: start controllers with serve --schedules FILE", EXIT_FAILED)
        fail(f"refused ({status}): {refusal_reason(answer)}", EXIT_FAILED)
    return answer if isinstance(answer, dict) else {}


def import_optional(name: str) -> Any:
    """Import a module that needs optional libraries; exit with a hint if one is missing."""
    import importlib

    try:
        return importlib.import_module(f"oakmux.schedules.{name}")
    except ImportError as error:
        extras = "schedules,replay" if name.startswith("replay") else "schedules"
        fail(f"{error.name} is missing: pip install 'oakmux[{extras}]'", EXIT_BAD)


def read_toml(path: str) -> dict:
    """Read a TOML file; exit with a one-line error if that fails."""
    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        fail(f"{path}: {error}", EXIT_BAD)


def policy_options(command: Any) -> Any:
    """Add the options for firings that overlap or are late."""
    for option in reversed(
        (
            click.option(
                "--overlap",
                type=click.Choice(("skip", "queue", "allow", "replace")),
                default="skip",
                show_default=True,
                help="What a firing does while the jobs of the previous one still run.",
            ),
            click.option(
                "--catch-up",
                type=click.Choice(("all", "last", "none")),
                default="all",
                show_default=True,
                help="Which firings missed in an outage are run after it.",
            ),
            click.option(
                "--window-s",
                type=int,
                default=3600,
                show_default=True,
                help="How late a firing may still run, in seconds.",
            ),
            click.option(
                "--jitter-s",
                type=int,
                default=0,
                show_default=True,
                help="Delay each entry by a fixed share of this many seconds, to spread the load.",
            ),
        )
    ):
        command = option(command)
    return command


def policy_fields(overlap: str, catch_up: str, window_s: int, jitter_s: int) -> dict:
    """Return the policy options as the fields of a request."""
    return {"overlap": overlap, "catch_up": catch_up, "window_s": window_s, "jitter_s": jitter_s}


def format_firing(row: dict) -> str:
    """Return the local time of a firing and, in brackets, any note about it."""
    return row["local"] + (f"  ({row['why']})" if row.get("why") else "")


@click.group()
def schedule() -> None:
    """Run jobs on a schedule, from cron tables and calendars.

    Names are TEAM/NAME. A firing submits the jobs of a template; see `schedule template`.
    """


# --- templates and calendars ---


@schedule.group()
def template() -> None:
    """Manage templates: the job, or jobs that wait on one another, that a firing submits."""


def parse_template_steps(value: dict) -> list[list]:
    """Return the steps of a template file: the fields of one job, or named [[jobs]] tables."""
    jobs = value.get("jobs") if "jobs" in value else [{"name": "main", **value}]
    if not isinstance(jobs, list) or not all(isinstance(job, dict) for job in jobs):
        fail("jobs: expected a list of tables", EXIT_BAD)
    extra = sorted(set(value) - {"jobs"}) if "jobs" in value else []
    if extra:
        fail(f"{extra[0]}: not allowed beside [[jobs]]", EXIT_BAD)
    steps = []
    for number, job in enumerate(jobs):
        job = dict(job)
        name, needs = str(job.pop("name", f"step{number}")), job.pop("waits_on", [])
        unknown = sorted(set(job) - set(CLI_FIELDS))
        if unknown:
            fail(f"{name}: unknown field {unknown[0]}", EXIT_BAD)
        if "team" not in job:
            fail(f"{name}: team is missing", EXIT_BAD)
        submission = make_submission({**job, "id": "job-0"})
        del submission["id"]
        steps.append([name, submission, needs])
    return steps


@template.command("put")
@click.argument("name")
@click.argument("file", type=click.Path())
@click.option("--check", "dry", is_flag=True, help="Only check the template.")
@click.pass_obj
def template_put(context: CliContext, name: str, file: str, dry: bool) -> None:
    """Check the TOML FILE in full and store it as the template NAME (TEAM/NAME)."""
    answer = call(
        context, "template", name=name, steps=parse_template_steps(read_toml(file)), dry=dry
    )
    context.show(answer, f"{name}: {'valid' if dry else 'stored'}, {answer['steps']} job(s)")


@template.command("list")
@click.argument("prefix", default="")
@click.pass_obj
def template_list(context: CliContext, prefix: str) -> None:
    """Show the templates whose names begin with PREFIX."""
    rows = call(context, "templates", prefix=prefix)["templates"]
    context.show(
        rows,
        "\n".join(
            f"{row['name']}: {', '.join(step[0] for step in row['steps'])} "
            f"(used by {row['used_by']})"
            for row in rows
        )
        or "no templates",
    )


@template.command("remove")
@click.argument("name")
@click.pass_obj
def template_remove(context: CliContext, name: str) -> None:
    """Remove a template that no entry uses."""
    context.show(call(context, "template-remove", name=name), f"{name}: removed")


@schedule.group()
def calendar() -> None:
    """Manage calendars that clients can write to over CalDAV."""


@calendar.command("add")
@click.argument("name")
@click.option("--title", default="")
@click.option(
    "--zone", default="UTC", show_default=True, help="Time zone of times that name none."
)
@click.option(
    "--template",
    "default_template",
    default="",
    help="Template (TEAM/NAME) of events that name none.",
)
@click.pass_obj
def calendar_add(
    context: CliContext, name: str, title: str, zone: str, default_template: str
) -> None:
    """Add the calendar NAME (TEAM/NAME), or change it."""
    answer = call(
        context, "calendar", name=name, title=title, zone=zone, template=default_template
    )
    context.show(answer, f"{name}: stored")


@calendar.command("list")
@click.argument("team")
@click.pass_obj
def calendar_list(context: CliContext, team: str) -> None:
    """Show a team's calendars."""
    rows = call(context, "calendars", team=team)["calendars"]
    context.show(
        rows,
        "\n".join(
            f"{team}/{row['name']}: {row['title']} ({row['zone']}, template "
            f"{row['template'] or 'none'})"
            for row in rows
        )
        or "no calendars",
    )


@calendar.command("remove")
@click.argument("name")
@click.pass_obj
def calendar_remove(context: CliContext, name: str) -> None:
    """Remove a calendar that has no entries."""
    context.show(call(context, "calendar-remove", name=name), f"{name}: removed")


@schedule.command()
@click.argument("team")
@click.pass_obj
def token(context: CliContext, team: str) -> None:
    """Make a token that lets CalDAV clients write TEAM's calendars.

    The token is shown only once. Add the printed line to the token file of every controller.
    """
    secret, line = import_optional("dav.tokens").make(team)
    context.show({"token": secret, "line": line}, f"token: {secret}\nline for the file: {line}")


# --- entries ---


@schedule.command()
@click.argument("name")
@click.option("--cron", help="Five cron fields, or an alias like @daily.")
@click.option(
    "--at", "moment", help="Time of a single firing, in ISO form, like 2026-12-24T18:00."
)
@click.option("--zone", default="UTC", show_default=True)
@click.option(
    "--template",
    "template_name",
    required=True,
    help="Template (TEAM/NAME) that a firing submits.",
)
@click.option("--until", help="No firings after this time (ISO form, in the zone).")
@click.option(
    "--deadline-s", type=float, help="Seconds from a firing until its jobs should be complete."
)
@click.option("--note", default="")
@policy_options
@click.pass_obj
def add(
    context: CliContext,
    name: str,
    cron: str | None,
    moment: str | None,
    zone: str,
    template_name: str,
    until: str | None,
    deadline_s: float | None,
    note: str,
    **policy_values: Any,
) -> None:
    """Add the entry NAME (TEAM/NAME), or change it. A change applies to firings from now on."""
    if (cron is None) == (moment is None):
        fail("give either --cron or --at", EXIT_BAD)
    rule: Any = {"cron": cron, "zone": zone}
    if moment is not None:
        rule = ["calendar", zone, "", parse_wall_time(moment)]
    entry = {
        "name": name,
        "rule": rule,
        "template": template_name,
        "policy": policy_fields(**policy_values),
        "note": note,
        "deadline_s": deadline_s,
    }
    if until is not None:
        zones = import_optional("zones")
        try:
            entry["until"] = zones.instant(parse_wall_time(until), zone)
        except zones.UnknownZoneError as error:
            fail(str(error), EXIT_BAD)
    answer = call(context, "put", entries=[entry])
    upcoming = call(context, "next", name=name, count=1)["turns"]
    context.show(
        answer,
        f"{name}: stored, next firing " + (format_firing(upcoming[0]) if upcoming else "never"),
    )


def parse_wall_time(text: str) -> int:
    """Return an ISO time without a zone as wall time (see `zones.as_wall`); exit if invalid."""
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        fail(f"{text}: not a time like 2026-12-24T18:00", EXIT_BAD)
    if moment.tzinfo is not None:
        fail(f"{text}: a UTC offset is not allowed here; give the zone with --zone", EXIT_BAD)
    return int(import_optional("zones").as_wall(moment))


def slug(text: str) -> str:
    """Return a text as part of a name: other characters become dashes, long texts are cut."""
    return INVALID_NAME_CHARS.sub("-", text).strip("-")[: constants.SLUG_CHARS] or "entry"


def qualified_name(team: str, name: str) -> str:
    """Return a template's full name; a name without a team gets the entry's."""
    return name if "/" in name else f"{team}/{name}"


class EntryImporter:
    """Builds entries from the lines or events of a file and gives them unique names."""

    def __init__(
        self, team: str, prefix: str, default_template: str | None, mapping: dict
    ) -> None:
        self.team = team
        self.prefix = prefix
        self.default_template = default_template
        self.commands = mapping.get("commands", {})
        self.users = mapping.get("users", {})
        self.names: Counter[str] = Counter()

    def entry(self, line: Any, policy: dict) -> dict:
        """Return the entry of a cron table line; its name is derived from the line's content."""
        program = line.command.split()[0] if line.command.split() else ""
        team = self.users.get(line.user, self.team)
        template_name = (
            self.commands.get(line.command)
            or self.commands.get(program)
            or self.commands.get(Path(program).name)
            or line.environment.get("OAKMUX_TEMPLATE")
            or self.default_template
            or slug(Path(program).stem)
        )
        note = line.command + (f" <<< {line.stdin!r}" if line.stdin else "")
        return {
            "name": self.name(
                team,
                Path(program).stem,
                "|".join((line.user, line.rule.text, line.rule.zone, line.command, line.stdin)),
            ),
            "rule": {"cron": line.rule.text, "zone": line.rule.zone},
            "template": qualified_name(team, template_name),
            "policy": policy,
            "note": note[: constants.NOTE_CHARS],
        }

    def name(self, team: str, stem: str, text: str) -> str:
        """Return a unique name that stays the same as long as the line does."""
        digest = hashlib.blake2b(text.encode(), digest_size=4).hexdigest()
        name = f"{team}/{self.prefix}.{slug(stem)}.{digest}"
        self.names[name] += 1
        return name if self.names[name] == 1 else f"{name}.{self.names[name]}"


def parse_calendar_file(text: str, zone: str) -> list[tuple[str, Any]]:
    """Return (UID, calendar object or error text) of each event or to-do in a file."""
    calendars = import_optional("calendars")
    from icalendar import Calendar as ICalendar  # installed if `calendars` is

    try:
        parsed = ICalendar.from_ical(text)
    except ValueError as error:
        fail(f"invalid iCalendar file: {error}", EXIT_BAD)
    groups: dict[str, list] = {}
    for component in parsed.subcomponents:
        if component.name != "VTIMEZONE":
            groups.setdefault(str(component.get("UID", "")), []).append(component)
    objects: list[tuple[str, Any]] = []
    for uid, group in groups.items():
        single = ICalendar()
        single.add("VERSION", "2.0")
        for component in [c for c in parsed.subcomponents if c.name == "VTIMEZONE"] + group:
            single.add_component(component)
        try:
            objects.append((uid, calendars.parse(single.to_ical().decode(), zone)))
        except calendars.CalendarError as error:
            objects.append((uid, str(error)))
    return objects


def parse_file(
    file: str, importer: EntryImporter, zone: str, system: bool, policy: dict
) -> tuple[list[tuple[str, dict]], list[str]]:
    """Return ([(location, entry)], [problem]) of a cron table or an iCalendar file."""
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{file}: {error}", EXIT_BAD)
    if text.lstrip().upper().startswith("BEGIN:VCALENDAR"):
        rows, problems = [], []
        for uid, parsed in parse_calendar_file(text, zone):
            if isinstance(parsed, str):
                problems.append(f"{file}: UID {uid}: {parsed}")
                continue
            template_name = parsed.template or importer.default_template or slug(parsed.note)
            rows.append(
                (
                    f"UID {uid}",
                    {
                        "name": importer.name(importer.team, parsed.note, uid),
                        "rule": msgspec.to_builtins(parsed.rule),
                        "policy": {**policy, **parsed.policy},
                        "template": qualified_name(importer.team, template_name),
                        "note": parsed.note,
                        "deadline_s": parsed.deadline_s,
                        **({"paused": True} if parsed.inactive else {}),
                    },
                )
            )
        return rows, problems
    zones, crontab = import_optional("zones"), import_optional("crontab")
    try:
        zones.zone(zone)
    except zones.UnknownZoneError as error:
        fail(str(error), EXIT_BAD)
    lines, bad = crontab.parse(text, zone, system)
    return (
        [(f"line {line.number}", importer.entry(line, policy)) for line in lines],
        [f"{file}: {problem.text}" for problem in bad],
    )


def batches(rows: list, size: int) -> list[list]:
    """Split a list into batches of at most `size`."""
    return [rows[n : n + size] for n in range(0, len(rows), size)]


def check_entries(
    context: CliContext, file: str, rows: list[tuple[str, dict]]
) -> tuple[list[dict], list[str]]:
    """Have the controllers check entries; return the valid ones and the problems found."""
    good: list[dict] = []
    problems: list[str] = []
    for batch in batches(rows, constants.CHECK_BATCH):
        answer = call(context, "check", entries=[entry for _, entry in batch])
        for (where, entry), row in zip(batch, answer["entries"], strict=True):
            if "error" in row:
                problems.append(f"{file}: {where}: {row['error']}")
            else:
                good.append(entry)
    return good, problems


def load_entries(
    context: CliContext,
    file: str,
    team: str,
    prefix: str | None,
    default_template: str | None,
    mapping: str | None,
    zone: str,
    system: bool,
    **policy_values: Any,
) -> tuple[list[dict], list[str], str]:
    """Read and check a file; return entries, problems and the prefix of the entry names."""
    importer = EntryImporter(
        team,
        prefix or slug(Path(file).stem),
        default_template,
        read_toml(mapping) if mapping else {},
    )
    rows, problems = parse_file(file, importer, zone, system, policy_fields(**policy_values))
    good, rejected = check_entries(context, file, rows)
    return good, problems + rejected, f"{team}/{importer.prefix}."


def import_options(command: Any) -> Any:
    """Add the options of `import` and `check`."""
    for option in reversed(
        (
            click.argument("file", type=click.Path()),
            click.option("--team", required=True, help="Team that owns the entries."),
            click.option(
                "--template",
                "default_template",
                help="Template of lines that name none (default: the command's name).",
            ),
            click.option(
                "--map",
                "mapping",
                type=click.Path(),
                help="TOML file: [commands] command = template, [users] user = team.",
            ),
            click.option("--prefix", help="Prefix of the entry names (default: the file's name)."),
            click.option(
                "--zone",
                default="UTC",
                show_default=True,
                help="Time zone of lines without CRON_TZ or TZ, and of floating times.",
            ),
            click.option(
                "--system", is_flag=True, help="The table has a user column, like /etc/crontab."
            ),
        )
    ):
        command = option(command)
    return command


@schedule.command("import")
@import_options
@click.option("--skip-bad", is_flag=True, help="Store the valid entries and list the others.")
@click.option(
    "--prune",
    is_flag=True,
    help="Remove entries of an earlier import that are no longer in the file.",
)
@policy_options
@click.pass_obj
def import_file(context: CliContext, skip_bad: bool, prune: bool, **options: Any) -> None:
    """Store the entries of a cron table or an iCalendar FILE: all of them, or none.

    All lines are checked, here and by a controller, before the first is stored. Importing the
    file again leaves the state of unchanged lines as it is.
    """
    entries, problems, name_prefix = load_entries(context, **options)
    for problem in problems:
        click.echo(problem, err=True)
    if problems and not skip_bad:
        fail(f"nothing stored: {len(problems)} bad of {len(problems) + len(entries)}", EXIT_BAD)
    for batch in batches(entries, constants.PUT_BATCH):
        call(context, "put", entries=batch)
    removed = []
    if prune:
        kept = {entry["name"] for entry in entries}
        removed = [
            row["name"] for row in fetch_entries(context, name_prefix) if row["name"] not in kept
        ]
        for name in removed:
            call(context, "remove", name=name)
    context.show(
        {"stored": [entry["name"] for entry in entries], "left_out": problems, "removed": removed},
        f"{len(entries)} entries stored, {len(problems)} left out, {len(removed)} removed",
    )


@schedule.command()
@import_options
@policy_options
@click.pass_obj
def check(context: CliContext, **options: Any) -> None:
    """Check a cron table or an iCalendar FILE as `import` does, but store nothing."""
    entries, problems, _ = load_entries(context, **options)
    context.show(
        {"good": [entry["name"] for entry in entries], "problems": problems},
        "\n".join([*problems, f"{len(entries)} valid, {len(problems)} bad"]),
    )
    if problems:
        sys.exit(EXIT_BAD)


def fetch_entries(context: CliContext, prefix: str) -> list[dict]:
    """Return all entries whose names begin with `prefix`, page by page."""
    rows: list[dict] = []
    while True:
        answer = call(context, "list", prefix=prefix, after=rows[-1]["name"] if rows else "")
        rows += answer["entries"]
        if not answer["more"] or not answer["entries"]:
            return rows


@schedule.command("list")
@click.argument("prefix", default="")
@click.pass_obj
def list_entries(context: CliContext, prefix: str) -> None:
    """Show the entries whose names begin with PREFIX (such as TEAM/)."""
    rows = fetch_entries(context, prefix)
    context.show(
        rows,
        "\n".join(
            f"{row['name']}: {row['rule']} {row['zone']} -> {row['template']}, "
            + (
                "paused"
                if row["paused"]
                else f"next {format_firing(row['next'][0])}"
                if row["next"]
                else "no upcoming firings"
            )
            + (f", last {row['last']['outcome']}" if row["last"] else "")
            for row in rows
        )
        or "no entries",
    )


@schedule.command()
@click.argument("name")
@click.pass_obj
def show(context: CliContext, name: str) -> None:
    """Show all fields of an entry."""
    answer = call(context, "show", name=name)
    context.show(
        answer,
        "\n".join(f"{key}: {value}" for key, value in answer.items() if key != "rule_record"),
    )


@schedule.command("next")
@click.argument("name")
@click.option("--count", default=10, show_default=True)
@click.pass_obj
def next_firings(context: CliContext, name: str, count: int) -> None:
    """Show the upcoming firings and how daylight saving changes affect them."""
    answer = call(context, "next", name=name, count=count)
    lines = [format_firing(row) for row in answer["turns"]] or ["no upcoming firings"]
    if answer["paused"]:
        lines.insert(0, "paused: none of these run until the entry is resumed")
    context.show(answer, "\n".join([*lines, *answer["skipped"]]))


@schedule.command()
@click.argument("name")
@click.pass_obj
def history(context: CliContext, name: str) -> None:
    """Show the latest firings, with their outcomes and jobs."""
    rows = call(context, "history", name=name)["turns"]
    context.show(
        rows,
        "\n".join(
            f"{row['local']}  {row['outcome']}{' ' + row['note'] if row['note'] else ''}"
            + "".join(f"  {job}: {state}" for job, state in row["jobs"].items())
            for row in rows
        )
        or "no firings yet",
    )


@schedule.command()
@click.argument("name")
@click.pass_obj
def pause(context: CliContext, name: str) -> None:
    """Stop firing until the entry is resumed; firings missed meanwhile are not caught up."""
    context.show(call(context, "pause", name=name), f"{name}: paused")


@schedule.command()
@click.argument("name")
@click.pass_obj
def resume(context: CliContext, name: str) -> None:
    """Resume firing from now on."""
    context.show(call(context, "resume", name=name), f"{name}: resumed")


@schedule.command("run-now")
@click.argument("name")
@click.pass_obj
def run_now(context: CliContext, name: str) -> None:
    """Fire an entry once, immediately, even if it is paused."""
    answer = call(context, "run-now", name=name, word=secrets.token_hex(8))
    context.show(answer, f"{name}: {', '.join(answer['jobs'])}")


@schedule.command()
@click.argument("name")
@click.pass_obj
def remove(context: CliContext, name: str) -> None:
    """Remove an entry. Jobs that it has submitted continue."""
    context.show(call(context, "remove", name=name), f"{name}: removed")


@schedule.command()
@click.option("--entries", default=1000, show_default=True)
@click.option("--days", default=365, show_default=True)
@click.option("--start", default="2026-01-01", show_default=True, help="First day, UTC.")
@click.option("--seed", default=1, show_default=True)
@click.pass_obj
def replay(context: CliContext, entries: int, days: int, start: str, seed: int) -> None:
    """Simulate a year of firings while controllers crash; exit 1 if any firing is wrong.

    Needs no running controllers. Every firing is compared with an independent oracle that goes
    minute by minute.
    """
    year = import_optional("replay.year")
    zones = import_optional("zones")
    result = year.replay(entries, days, seed, zones.instant(parse_wall_time(start), "UTC"))
    text = [
        f"{result.entries} entries, {days} days from {start}, seed {seed}: "
        f"{result.firings} firings, {result.made} run, {result.skipped} skipped because the "
        f"previous one still ran; {result.seconds:.0f} s",
        "faults: " + ", ".join(f"{n} {name}" for name, n in result.troubles.items()),
        "lateness (ms): "
        + ", ".join(f"{name} {value:.0f}" for name, value in result.late_ms.items()),
        f"lost {len(result.lost)}, unexpected {len(result.besides)}, duplicate "
        f"{len(result.doubled)}, early {result.early}",
    ]
    text += [*result.lost[:5], *result.besides[:5], *result.doubled[:5]]
    context.show({**result._asdict(), "good": result.good}, "\n".join(text))
    if not result.good:
        sys.exit(EXIT_FAILED)


@schedule.command()
@click.option("--entries", default=5000, show_default=True)
@click.option(
    "--rate",
    default=75.0,
    show_default=True,
    help="Limit of state service changes per second for firings.",
)
@click.option("--seed", default=1, show_default=True)
@click.pass_obj
def burst(context: CliContext, entries: int, rate: float, seed: int) -> None:
    """Measure many firings due in the same second, on the same model as `replay`."""
    year = import_optional("replay.year")
    result = year.burst(
        entries, rate, seed, import_optional("zones").instant(parse_wall_time("2026-06-01"), "UTC")
    )
    context.show(
        result._asdict(),
        (
            f"{result.made} of {result.entries} firings run at {result.rate:g} changes/s: "
            f"the last {result.last_late_s:.1f} s late, "
            f"the last urgent one {result.urgent_late_s:.1f} s; "
            f"{result.changes_a_turn:.2f} changes per firing\n"
            f"ticks (ms): "
            + ", ".join(f"{k} {v:.1f}" for k, v in result.tick_ms.items())
            + f"; planning took {result.plan_s:.2f} s of processor time"
        ),
    )
