"""The command line for operators and users."""

import configparser
import json
import sys
import time
import tomllib
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any, NoReturn

import click

from oakmux import __version__, constants, settings
from oakmux.codec.cbor import Malformed, decode, encode
from oakmux.codec.users import (
    CANCEL_SUFFIX,
    CLI_FIELDS,
    CLI_KINDS,
    CLI_PRIORITIES,
    PATH_HEALTH,
    PATH_JOBS,
    parse_job,
    parse_job_id,
    parse_job_summary,
    submission_body,
)
from oakmux.core.model import JOB_ID

DEFAULT_INI = "~/.config/oakmux/oakmux.ini"
EXIT_FAILED, EXIT_BAD, EXIT_UNREACHABLE = 1, 2, 3
DEFAULTS: dict[str, Any] = {
    "class": "default",
    "kind": "array",
    "priority": "normal",
    "tasks": 1,
    "cpus": 1.0,
    "gpus": 0.0,
    "memory_gb": 1.0,
    "image": "default",
    "image_gb": 0.0,
    "one_zone": False,
    "spread": False,
    "spot": False,
    "estimate_s": 0.0,
    "checkpoint_s": 0.0,
    "save_s": 0.0,
}


class Context:
    """What all commands share."""

    def __init__(self, servers: list[str], as_json: bool) -> None:
        self.servers = servers
        self.as_json = as_json

    def show(self, value: Any, text: str) -> None:
        """Print a result for people or for programs."""
        click.echo(json.dumps(value) if self.as_json else text)

    def need_servers(self) -> list[str]:
        """Return the controllers' addresses or end with a hint."""
        if not self.servers:
            fail("no controllers: name them with --server or in the INI file", EXIT_BAD)
        return self.servers


def fail(text: str, code: int) -> NoReturn:
    """End with one line and an exit code."""
    click.echo(f"oakmux: {text}", err=True)
    sys.exit(code)


def load_ini(path: str | None) -> list[str]:
    """Return the controllers that the operator's INI file names."""
    file = Path(path or DEFAULT_INI).expanduser()
    if not file.exists():
        if path:
            fail(f"{path}: no such file", EXIT_BAD)
        return []
    parser = configparser.ConfigParser()
    try:
        parser.read_string(file.read_text(encoding="utf-8"))
    except (configparser.Error, UnicodeDecodeError, OSError) as error:
        fail(f"{file}: {str(error).splitlines()[0]}", EXIT_BAD)
    servers = parser.get("oakmux", "servers", fallback="").replace(",", " ").split()
    for server in servers:
        check_server(server, f"{file}: servers")
    return servers


def check_server(server: str, where: str) -> None:
    """End with one line if an address can't be one."""
    try:
        settings.split_addr(server)
    except ValueError as error:
        fail(f"{where}: {error}", EXIT_BAD)


def ask_one(server: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Make one request; raises OSError or HTTPException when there is no answer."""
    host, port = settings.split_addr(server)
    conn = HTTPConnection(host, port, timeout=constants.CLOUD_TIMEOUT_S)
    try:
        conn.request(method, path, None if body is None else encode(body))
        answer = conn.getresponse()
        data = answer.read(constants.MAX_BODY_BYTES)
        return answer.status, decode(data) if data else None
    finally:
        conn.close()


def ask(context: Context, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Ask one controller after another until one can answer."""
    trouble = ""
    for attempt in range(constants.CLI_ROUNDS):
        for server in context.need_servers():
            try:
                status, answer = ask_one(server, method, path, body)
            except (OSError, HTTPException, Malformed) as error:
                trouble = f"{server}: {error or 'no answer'}"
                continue
            if status not in (429, 503, 504):
                return status, answer
            trouble = f"{server}: status {status}"
        if attempt + 1 < constants.CLI_ROUNDS:
            time.sleep(constants.RETRY_AFTER_S)
    fail(f"no controller could answer ({trouble})", EXIT_UNREACHABLE)


def reason(answer: Any) -> str:
    """Return why a request was refused."""
    return str(answer.get("error", answer)) if isinstance(answer, dict) else "no reason given"


def line(job: dict) -> str:
    """Return a job's state for people."""
    job_id, state, completed_tasks, running_tasks, waits_on = parse_job_summary(job)
    text = f"{job_id}: {state} (done {completed_tasks}, running {running_tasks})"
    return f"{text}, waits on {', '.join(waits_on)}" if waits_on else text


class Commands(click.Group):
    """The commands, and those of subsystems, which are loaded only when they are named."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), "schedule"])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command."""
        if cmd_name == "schedule":
            from oakmux.schedules.commands import schedule

            return schedule
        return super().get_command(ctx, cmd_name)


@click.group(cls=Commands)
@click.version_option(__version__)
@click.option(
    "--server",
    "servers",
    multiple=True,
    metavar="HOST:PORT",
    help="A controller's public address; may be given several times.",
)
@click.option("--ini", metavar="FILE", help=f"Operator's settings (default {DEFAULT_INI}).")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
@click.pass_context
def main(ctx: click.Context, servers: tuple[str, ...], ini: str | None, as_json: bool) -> None:
    """Run oakmux controllers, and submit and follow jobs.

    Exit codes: 0 all is well, 1 the job or request failed, 2 bad input, 3 no controller answers.
    """
    for server in servers:
        check_server(server, "--server")
    ctx.obj = Context(list(servers) or load_ini(ini), as_json)


@main.command()
@click.argument("config", type=click.Path())
@click.option(
    "--schedules",
    type=click.Path(),
    metavar="FILE",
    help="Keep cron tables and calendars, by these settings (INI).",
)
@click.option(
    "--spread",
    type=click.Path(),
    metavar="FILE",
    help="How load is spread, by these settings (INI).",
)
def serve(config: str, schedules: str | None, spread: str | None) -> None:
    """Run a controller with the platform's settings file CONFIG until killed."""
    from oakmux import service  # the service is not needed by the other commands

    sys.exit(service.serve(config, schedules, spread))


@main.command("check-config")
@click.argument("config", type=click.Path())
@click.pass_obj
def check_config(context: Context, config: str) -> None:
    """Check the platform's settings file CONFIG."""
    try:
        conf = settings.load(config)
    except settings.SettingsError as error:
        fail(str(error), EXIT_BAD)
    context.show(
        {"ok": True, "label": conf.controller_id, "controllers": conf.size},
        f"{config}: good (controller {conf.controller_id}, {conf.size} in all, "
        f"{len(conf.facts.teams)} teams)",
    )


def read_job(path: str) -> dict:
    """Read a job from a TOML or JSON file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        value = json.loads(text) if path.endswith(".json") else tomllib.loads(text)
    except (OSError, ValueError) as error:
        fail(f"{path}: {error}", EXIT_BAD)
    if not isinstance(value, dict):
        fail(f"{path}: not a table of fields", EXIT_BAD)
    unknown = sorted(set(value) - set(CLI_FIELDS))
    if unknown:
        known = ", ".join(CLI_FIELDS)
        fail(f"{path}: unknown field {unknown[0]}; known are {known}", EXIT_BAD)
    return value


def to_wire(job: dict) -> dict:
    """Translate a job's words to the platform's and check it."""
    made = submission_body({**DEFAULTS, **job})
    try:
        parse_job_id(made)
        parse_job(made)
    except Malformed as error:
        fail(f"bad job: {error}", EXIT_BAD)
    return made


@main.command()
@click.option("--file", "path", type=click.Path(), help="A TOML or JSON file with the job.")
@click.option("--id", "job_id", help="Job id, like job-000412.")
@click.option("--class", "lane", help="Class of jobs that it belongs to.")
@click.option("--team", help="Team whose guarantee and limit apply.")
@click.option("--kind", type=click.Choice(sorted(CLI_KINDS)))
@click.option("--priority", type=click.Choice(sorted(CLI_PRIORITIES)))
@click.option("--tasks", type=int)
@click.option("--cpus", type=float)
@click.option("--gpus", type=float)
@click.option("--memory-gb", type=float)
@click.option("--image")
@click.option("--image-gb", type=float)
@click.option("--type", "types", multiple=True, help="Allowed machine type; may be repeated.")
@click.option("--zone", help="The only allowed zone.")
@click.option("--one-zone/--any-zones", "one_zone", default=None, help="All tasks in one zone.")
@click.option("--spread/--no-spread", default=None, help="At most half of the tasks in a zone.")
@click.option("--spot/--no-spot", default=None, help="May use spot machines.")
@click.option("--estimate-s", type=float, help="Expected run time of a task.")
@click.option("--checkpoint-s", type=float, help="Progress between checkpoints.")
@click.option("--save-s", type=float, help="Time a stopped task needs to save.")
@click.option("--deadline-s", type=float, help="When the job should be complete.")
@click.option(
    "--waits-on",
    multiple=True,
    metavar="JOB",
    help="A job that must be done before this one starts; may be repeated.",
)
@click.pass_obj
def submit(
    context: Context,
    path: str | None,
    job_id: str | None,
    lane: str | None,
    types: tuple[str, ...],
    waits_on: tuple[str, ...],
    **flags: Any,
) -> None:
    """Submit a job from a file, from flags, or from a file with flags on top."""
    job = read_job(path) if path else {}
    given = {
        "id": job_id,
        "class": lane,
        "types": list(types) or None,
        "waits_on": list(waits_on) or None,
        **flags,
    }
    job.update({name: value for name, value in given.items() if value is not None})
    for name in ("id", "team"):
        if name not in job:
            fail(f"a job needs {name}", EXIT_BAD)
    status, answer = ask(context, "POST", PATH_JOBS, to_wire(job))
    if status not in (200, 201):
        fail(f"refused ({status}): {reason(answer)}", EXIT_FAILED)
    context.show(answer, line(answer))


def ask_job(context: Context, job_id: str, method: str = "GET", action: str = "") -> dict:
    """Ask about a job, or act on it; end unless the answer is its state."""
    if not JOB_ID.match(job_id):
        fail(f"not a job id: {job_id}", EXIT_BAD)
    code, answer = ask(context, method, f"{PATH_JOBS}/{job_id}{action}")
    if code != 200:
        fail(f"{job_id}: {reason(answer)} ({code})", EXIT_FAILED)
    return answer


@main.command()
@click.argument("job_id")
@click.pass_obj
def status(context: Context, job_id: str) -> None:
    """Show the state of JOB_ID."""
    answer = ask_job(context, job_id)
    context.show(answer, line(answer))


@main.command()
@click.argument("job_id")
@click.pass_obj
def cancel(context: Context, job_id: str) -> None:
    """Cancel JOB_ID."""
    answer = ask_job(context, job_id, "POST", CANCEL_SUFFIX)
    context.show(answer, line(answer))


@main.command()
@click.argument("job_id")
@click.option("--timeout", type=float, default=None, help="Seconds to wait at most.")
@click.option("--every", type=float, default=2.0, show_default=True, help="Seconds between looks.")
@click.pass_obj
def wait(context: Context, job_id: str, timeout: float | None, every: float) -> None:
    """Wait until JOB_ID is done (exit 0) or cancelled (exit 1)."""
    end = None if timeout is None else time.monotonic() + timeout
    while True:
        answer = ask_job(context, job_id)
        state = parse_job_summary(answer).state
        if state in ("done", "cancelled"):
            context.show(answer, line(answer))
            sys.exit(0 if state == "done" else EXIT_FAILED)
        if end is not None and time.monotonic() >= end:
            fail(f"{job_id}: still {state} after {timeout} s", EXIT_FAILED)
        time.sleep(max(0.1, every))


@main.command()
@click.pass_obj
def controllers(context: Context) -> None:
    """Show the health of all controllers; exit 3 if none is ready."""
    found = []
    for server in context.need_servers():
        try:
            code, answer = ask_one(server, "GET", PATH_HEALTH)
            found.append(
                {
                    "server": server,
                    "ready": code == 200,
                    **(answer if isinstance(answer, dict) else {}),
                }
            )
        except (OSError, HTTPException, Malformed) as error:
            found.append({"server": server, "ready": False, "error": str(error) or "no answer"})
    text = "\n".join(
        f"{row['server']}: {'ready' if row['ready'] else 'NOT READY'} "
        + (
            row["error"]
            if "error" in row
            else f"{row.get('label')} term={row.get('term')} machines={row.get('machines')} "
            f"roles={','.join(row.get('teams', [])) or 'none'}"
        )
        for row in found
    )
    context.show(found, text)
    if not any(row["ready"] for row in found):
        sys.exit(EXIT_UNREACHABLE)
