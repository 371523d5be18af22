"""Generate the tables of docs/CAPACITY.md from the series files; the text around them stays."""

from pathlib import Path

from tools.capacity.series import Fit, Series, fit, read_series
from tools.capacity.size import Size
from tools.capacity.table import ROLES, ROWS, Row

BEGIN = "<!-- begin: python -m tools.capacity page -->"
END = "<!-- end -->"
EXTRAPOLATED = " *"
# A limit below this multiple of the size does not depend on growth: any size exceeds it.
ANY_SIZE = 1e-3


class PageError(Exception):
    """The page lacks a marker of the place for the tables; the text names both markers."""


def format_number(value: float) -> str:
    """Return a number to three digits, from 1000 on a whole one, to avoid false precision."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def read_fits(folder: Path) -> tuple[dict[str, Series], dict[str, Fit]]:
    """Read and fit all series that ROWS refers to."""
    names = sorted({name for row in ROWS for name in (row.series, row.budget_series) if name})
    series = {name: read_series(folder, name) for name in names}
    return series, {name: fit(found) for name, found in series.items()}


def fit_text(line: Fit) -> str:
    """Return a fitted line, its number and range of points, and its residual as text."""
    return (
        f"{format_number(line.intercept)} + {format_number(line.slope)}·x; "
        f"{line.points} points to {format_number(line.largest)}, residual {line.residual:.0%}"
    )


def row_text(row: Row, size: Size, fits: dict[str, Fit]) -> str:
    """Return one row of a role's table as Markdown."""
    value = row.value(size, fits)
    mark = EXTRAPOLATED if row.extrapolated(size, fits) else ""
    measured = "from the protocol or the settings"
    if row.series is not None:
        measured = f"`{row.series}`: {fit_text(fits[row.series])}"
    limit = row.limit(size, fits)
    budget, margin = "none given", ""
    if limit is not None:
        budget = format_number(limit)
        margin = f"{limit / value:.2g}×" if value > 0 else "unbounded"
    cells = (
        row.quantity,
        measured,
        row.sum_text,
        f"{format_number(value)} {row.unit}{mark}",
        budget,
        margin,
        row.mechanism,
        f"*{row.status}*",
    )
    return "| " + " | ".join(cells) + " |"


def role_table(role: str, size: Size, fits: dict[str, Fit]) -> list[str]:
    """Return a role's table as Markdown lines."""
    head = (
        "quantity",
        "measured line",
        "sum",
        "at the size",
        "budget",
        "margin",
        "mechanism",
        "state",
    )
    return [
        f"### {role}",
        "",
        "| " + " | ".join(head) + " |",
        "|" + " --- |" * len(head),
        *(row_text(row, size, fits) for row in ROWS if row.role == role),
        "",
    ]


def growth_limits_table(size: Size, fits: dict[str, Fit]) -> list[str]:
    """Return the table of multiples of the size at which budgets are reached, smallest first."""
    found = [(at, row) for row in ROWS if (at := row.growth_limit(size, fits)) is not None]
    found.sort(key=lambda pair: pair[0])
    lines = [
        "### Walls, in the order in which growth meets them",
        "",
        "| at this multiple of the size | role | quantity | budget | mechanism | state |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for at, row in found:
        limit = row.limit(size, fits)
        assert limit is not None
        where = format_number(at) if at > ANY_SIZE else "any"
        cells = (
            where,
            row.role,
            row.quantity,
            f"{format_number(limit)} {row.unit}",
            row.mechanism,
            f"*{row.status}*",
        )
        lines.append("| " + " | ".join(cells) + " |")
    return [*lines, ""]


def series_table(series: dict[str, Series]) -> list[str]:
    """Return the table of series: quantity, variable, conditions, points and command."""
    lines = [
        "### Series",
        "",
        "| series | quantity | variable | held fixed | points | command |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, found in sorted(series.items()):
        points = "; ".join(
            f"{format_number(point.x)}: {format_number(point.y)}" for point in found.points
        )
        lines.append(
            f"| `{name}` | {found.quantity}, {found.unit} | {found.variable} | "
            f"{found.fixed or 'nothing else there'} | {points} | `{found.command}` |"
        )
    return [*lines, ""]


def tables(folder: Path, size: Size) -> str:
    """Return all tables as Markdown text."""
    series, fits = read_fits(folder)
    lines: list[str] = []
    for role in ROLES:
        lines += role_table(role, size, fits)
    lines += growth_limits_table(size, fits)
    lines += series_table(series)
    return "\n".join(lines)


def replace_tables(text: str, new_tables: str) -> str:
    """Return the page with its tables replaced; raises PageError."""
    head, begin, rest = text.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end:
        raise PageError(f"no lines {BEGIN!r} and {END!r}")
    return f"{head}{BEGIN}\n\n{new_tables}\n{END}{tail}"
