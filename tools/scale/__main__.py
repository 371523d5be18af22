"""Command line of the scale run.

Exit codes: 0 no rule was broken; 1 a rule was broken, a bound was exceeded or a stand-in ended
early; 2 the run could not start; 130 interrupted (the report covers what was measured so far).
"""

import asyncio
import sys
import tempfile
from pathlib import Path

import click

from tools.scale.config import ConfigError, RunConfig, load_config
from tools.scale.report import make_report, report_lines, write_report
from tools.scale.runner import CannotStart, LimitExceeded, Run

INTERRUPTED = 130


@click.command(help=__doc__)
@click.argument("config", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--fraction", default=1.0, show_default=True, help="Multiplies workers and traffic.")
@click.option("--controllers", type=int, help="Overrides sizes.controllers.")
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Writes the report to this file as JSON.",
)
@click.option("--quiet", is_flag=True, help="Prints no progress line each second.")
def main(
    config: Path, fraction: float, controllers: int | None, out: Path | None, quiet: bool
) -> None:
    """Load the configuration, run it and exit with the run's exit code."""
    try:
        loaded = load_config(config, fraction, controllers)
    except ConfigError as error:
        click.echo(f"scale: {error}", err=True)
        sys.exit(2)
    sys.exit(run_and_report(loaded, out, quiet))


def run_and_report(config: RunConfig, out: Path | None, quiet: bool) -> int:
    """Execute a run, print and write its report; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="oakmux-scale-") as folder:
        run = Run(config, Path(folder), (lambda _: None) if quiet else click.echo)
        code = 0
        try:
            asyncio.run(run.execute())
        except CannotStart as error:
            click.echo(f"scale: can't start: {error}", err=True)
            return 2
        except LimitExceeded as error:
            click.echo(f"scale: stopped early: {error}", err=True)
            code = 1
        except KeyboardInterrupt:
            code = INTERRUPTED
        report = make_report(run, code == 0)
    for line in report_lines(report):
        click.echo(line)
    if out is not None:
        write_report(report, out)
    return code or int(any(report.rules.values()))


if __name__ == "__main__":
    main(prog_name="tools.scale")
