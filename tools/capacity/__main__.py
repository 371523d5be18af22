"""Measure series, write the tables of docs/CAPACITY.md, check that page and files agree.

Exit codes: 0 success, 1 the page and the files disagree, 2 bad input.
"""

import sys
from datetime import UTC, datetime
from pathlib import Path

import click

from tools.capacity.measurements import MEASUREMENTS, Measurement
from tools.capacity.page import PageError, replace_tables, tables
from tools.capacity.scale_series import scale_series
from tools.capacity.series import Series, fit, write_series
from tools.capacity.size import read_size

ROOT = Path(__file__).resolve().parents[2]
FOLDER = ROOT / "docs" / "capacity"
PAGE = ROOT / "docs" / "CAPACITY.md"
SIZE_FILE = "size.toml"


@click.group(help=__doc__)
def main() -> None:
    """Hold the commands."""


@main.command()
@click.argument("names", nargs=-1)
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), default=FOLDER)
def measure(names: tuple[str, ...], folder: Path) -> None:
    """Measure the series NAMES (default: all) and write their files."""
    known = {measurement.name: measurement for measurement in MEASUREMENTS}
    unknown = [name for name in names if name not in known]
    if unknown:
        raise click.UsageError(f"unknown series {unknown[0]}; known: {', '.join(known)}")
    for name in names or known:
        show(measure_series(known[name], folder))


def measure_series(measurement: Measurement, folder: Path) -> Series:
    """Measure one series and write its file."""
    series = Series(
        measurement.name,
        measurement.variable,
        measurement.quantity,
        measurement.unit,
        measurement.fixed,
        f"python -m tools.capacity measure {measurement.name}",
        utc_now(),
        measurement.points(),
    )
    write_series(folder, series)
    return series


def show(series: Series) -> None:
    """Print a series and its fit in one line."""
    line = fit(series)
    points = " ".join(f"{point.x:g}:{point.y:.4g}" for point in series.points)
    click.echo(
        f"{series.name}: {points} {series.unit}; slope {line.slope:.4g}, "
        f"intercept {line.intercept:.4g}, residual {line.residual:.1%}"
    )


@main.command()
@click.argument(
    "reports", nargs=-1, required=True, type=click.Path(dir_okay=False, path_type=Path)
)
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), default=FOLDER)
def scale(reports: tuple[Path, ...], folder: Path) -> None:
    """Write the series of the scale run, from REPORTS with one report per fraction."""
    try:
        workers = read_size(folder / SIZE_FILE).target.workers
        for series in scale_series(list(reports), workers, utc_now()):
            write_series(folder, series)
            show(series)
    except ValueError as error:
        raise click.UsageError(str(error)) from None


def utc_now() -> str:
    """Return the current time in the format of the series files."""
    return datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


@main.command()
@click.option("--check", is_flag=True, help="Write nothing; exit 1 if the page would change.")
@click.option("--folder", type=click.Path(file_okay=False, path_type=Path), default=FOLDER)
@click.option("--page", "path", type=click.Path(dir_okay=False, path_type=Path), default=PAGE)
def page(check: bool, folder: Path, path: Path) -> None:
    """Regenerate the tables of docs/CAPACITY.md from the series files."""
    try:
        before = path.read_text()
        after = replace_tables(before, tables(folder, read_size(folder / SIZE_FILE)))
    except (ValueError, OSError, PageError) as error:
        raise click.UsageError(str(error)) from None
    if check and after != before:
        click.echo(
            f"{path.name} and the files under {folder.name}/ disagree: "
            "run python -m tools.capacity page"
        )
        sys.exit(1)
    if not check:
        path.write_text(after)


if __name__ == "__main__":
    main(prog_name="tools.capacity")
