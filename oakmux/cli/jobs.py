"""Commands for jobs: submit, status, cancel and wait."""

import json
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import click

from oakmux.cli.client import EXIT_BAD, EXIT_FAILED, CliContext, fail, refusal_reason, request
from oakmux.codec.cbor import MalformedError
from oakmux.codec.users import (
    CANCEL_SUFFIX,
    CLI_FIELDS,
    CLI_KINDS,
    CLI_PRIORITIES,
    PATH_JOBS,
    parse_job,
    parse_job_id,
    parse_job_summary,
    submission_body,
)
from oakmux.core.model import JOB_ID

MIN_POLL_S = 0.1
"""Shortest time (s) between two requests of `wait`, even if --every is less."""

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


def summary_line(job: dict[str, Any]) -> str:
    """Return the state of a job as one line of text."""
    job_id, state, completed_tasks, running_tasks, waits_on = parse_job_summary(job)
    text = f"{job_id}: {state} (done {completed_tasks}, running {running_tasks})"
    return f"{text}, waits on {', '.join(waits_on)}" if waits_on else text


def read_job(path: str) -> dict[str, Any]:
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
        fail(f"{path}: unknown field {unknown[0]}; known fields: {known}", EXIT_BAD)
    return value


def make_submission(job: dict[str, Any]) -> dict[str, Any]:
    """Return the submission of a job, with defaults; exit if it is malformed."""
    submission = submission_body({**DEFAULTS, **job})
    try:
        parse_job_id(submission)
        parse_job(submission)
    except MalformedError as error:
        fail(f"bad job: {error}", EXIT_BAD)
    return submission


@click.command()
@click.option("--file", "path", type=click.Path(), help="A TOML or JSON file with the job.")
@click.option("--id", "job_id", help="Job id, like job-000412.")
@click.option("--class", "job_class", help="Class of the job.")
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
@click.option("--save-s", type=float, help="Time that a stopped task needs to save its state.")
@click.option(
    "--deadline-s",
    type=float,
    help="Time after submission within which the job should be complete.",
)
@click.option(
    "--waits-on",
    multiple=True,
    metavar="JOB",
    help="A job that must be done before this one starts; may be repeated.",
)
@click.pass_obj
def submit(
    context: CliContext,
    path: str | None,
    job_id: str | None,
    job_class: str | None,
    types: tuple[str, ...],
    waits_on: tuple[str, ...],
    **flags: Any,
) -> None:
    """Submit a job from a file, from flags, or from a file with flags that override it."""
    job = read_job(path) if path else {}
    options = {
        "id": job_id,
        "class": job_class,
        "types": list(types) or None,
        "waits_on": list(waits_on) or None,
        **flags,
    }
    job.update({name: value for name, value in options.items() if value is not None})
    for name in ("id", "team"):
        if name not in job:
            fail(f"the job has no {name}", EXIT_BAD)
    status, answer = request(context, "POST", PATH_JOBS, make_submission(job))
    if status not in (200, 201):
        fail(f"refused ({status}): {refusal_reason(answer)}", EXIT_FAILED)
    context.show(answer, summary_line(answer))


def request_job(
    context: CliContext, job_id: str, method: str = "GET", action: str = ""
) -> dict[str, Any]:
    """Query a job, or act on it; exit unless the answer is the job's state."""
    if not JOB_ID.match(job_id):
        fail(f"not a job id: {job_id}", EXIT_BAD)
    code, answer = request(context, method, f"{PATH_JOBS}/{job_id}{action}")
    if code != 200:
        fail(f"{job_id}: {refusal_reason(answer)} ({code})", EXIT_FAILED)
    return answer


@click.command()
@click.argument("job_id")
@click.pass_obj
def status(context: CliContext, job_id: str) -> None:
    """Show the state of JOB_ID."""
    answer = request_job(context, job_id)
    context.show(answer, summary_line(answer))


@click.command()
@click.argument("job_id")
@click.pass_obj
def cancel(context: CliContext, job_id: str) -> None:
    """Cancel JOB_ID."""
    answer = request_job(context, job_id, "POST", CANCEL_SUFFIX)
    context.show(answer, summary_line(answer))


@click.command()
@click.argument("job_id")
@click.option("--timeout", type=float, default=None, help="Seconds to wait at most.")
@click.option(
    "--every", type=float, default=2.0, show_default=True, help="Seconds between queries."
)
@click.pass_obj
def wait(context: CliContext, job_id: str, timeout: float | None, every: float) -> None:
    """Wait until JOB_ID is done (exit 0) or cancelled (exit 1)."""
    deadline = None if timeout is None else time.monotonic() + timeout
    while True:
        answer = request_job(context, job_id)
        state = parse_job_summary(answer).state
        if state in ("done", "cancelled"):
            context.show(answer, summary_line(answer))
            sys.exit(0 if state == "done" else EXIT_FAILED)
        if deadline is not None and time.monotonic() >= deadline:
            fail(f"{job_id}: still {state} after {timeout} s", EXIT_FAILED)
        time.sleep(max(MIN_POLL_S, every))
