"""The group of all commands and the options that they share."""

import click

from oakmux import __version__
from oakmux.cli.client import CliContext
from oakmux.cli.controllers import check_config, controllers, serve
from oakmux.cli.jobs import cancel, status, submit, wait
from oakmux.cli.options import DEFAULT_INI, check_server, load_ini


class Commands(click.Group):
    """All commands; those of subsystems are imported only when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), "schedule"])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by its name."""
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

    Exit codes: 0 success, 1 the job or request failed, 2 bad input, 3 no controller answers.
    """
    for server in servers:
        check_server(server, "--server")
    ctx.obj = CliContext(list(servers) or load_ini(ini), as_json)


for command in (serve, check_config, controllers, submit, status, cancel, wait):
    main.add_command(command)
