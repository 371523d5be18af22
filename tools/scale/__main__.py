"""Command line of the scale run.

Exit codes: 0 no rule was broken, 1 one was, or a bound was passed, 2 it could not start, 130
interrupted (what was measured is kept).
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
@click.option("--controllers", type=int, help="In place of the configuration's.")
@click.option(
    "--out",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the report there as JSON.",
)
@click.option("--quiet", is_flag=True, help="No line a second.")
def main(
    config: Path, fraction: float, controllers: int | None, out: Path | None, quiet: bool
) -> None:
    """Play a run."""
    try:
        loaded = load_config(config, fraction, controllers)
    except ConfigError as error:
        click.echo(f"scale: {error}", err=True)
        sys.exit(2)
    sys.exit(run_and_report(loaded, out, quiet))


def run_and_report(config: RunConfig, out: Path | None, quiet: bool) -> int:
    """Play a run and report it; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="oakmux-scale-") as folder:
        run = Run(config, Path(folder), (lambda _: None) if quiet else click.echo)
        code = 0
        try:
            asyncio.run(run.execute())
        except CannotStart as error:
            click.echo(f"scale: can't start: {error}", err=True)
            return 2
        except LimitExceeded as error:
            click.echo(f"scale: ended: {error}", err=True)
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
