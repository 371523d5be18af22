"""Commands for controllers: serve, check-config and controllers."""

import sys
from http.client import HTTPException
from typing import Any

import click

from oakmux import settings
from oakmux.cli import client
from oakmux.cli.client import EXIT_BAD, EXIT_UNREACHABLE, CliContext, fail
from oakmux.codec.cbor import MalformedError
from oakmux.codec.users import PATH_HEALTH


@click.command()
@click.argument("config", type=click.Path())
@click.option(
    "--schedules",
    type=click.Path(),
    metavar="FILE",
    help="Enable cron tables and calendars, with these settings (INI).",
)
@click.option(
    "--spread",
    type=click.Path(),
    metavar="FILE",
    help="Options of the scheduler: the operator's settings (INI).",
)
def serve(config: str, schedules: str | None, spread: str | None) -> None:
    """Run a controller with the deployment's settings file CONFIG until killed."""
    from oakmux import service  # the service is not needed by the other commands

    sys.exit(service.serve(config, schedules, spread))


@click.command("check-config")
@click.argument("config", type=click.Path())
@click.pass_obj
def check_config(context: CliContext, config: str) -> None:
    """Check the deployment's settings file CONFIG."""
    try:
        conf = settings.load(config)
    except settings.SettingsError as error:
        fail(str(error), EXIT_BAD)
    context.show(
        {"ok": True, "label": conf.controller_id, "controllers": conf.size},
        f"{config}: good (controller {conf.controller_id}, {conf.size} in all, "
        f"{len(conf.facts.teams)} teams)",
    )


def request_health(server: str) -> dict[str, Any]:
    """Return the health of one controller, or the error if it does not answer."""
    try:
        status, answer = client.send_request(server, "GET", PATH_HEALTH)
    except (OSError, HTTPException, MalformedError) as error:
        return {"server": server, "ready": False, "error": str(error) or "no answer"}
    health = answer if isinstance(answer, dict) else {}
    return {"server": server, "ready": status == 200, **health}


def health_line(row: dict[str, Any]) -> str:
    """Return the health of one controller as one line of text."""
    ready = "ready" if row["ready"] else "NOT READY"
    if "error" in row:
        return f"{row['server']}: {ready} {row['error']}"
    roles = ",".join(row.get("teams", [])) or "none"
    return (
        f"{row['server']}: {ready} {row.get('label')} term={row.get('term')} "
        f"machines={row.get('machines')} roles={roles}"
    )


@click.command()
@click.pass_obj
def controllers(context: CliContext) -> None:
    """Show the health of all controllers; exit 3 if none is ready."""
    rows = [request_health(server) for server in context.require_servers()]
    context.show(rows, "\n".join(health_line(row) for row in rows))
    if not any(row["ready"] for row in rows):
        sys.exit(EXIT_UNREACHABLE)
