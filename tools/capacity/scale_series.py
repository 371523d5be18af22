"""Series from the scale run's reports: whole processes over loopback, by number of workers."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec

from tools.capacity.series import Point, Series
from tools.scale.report import Report


class ScaleSeries(NamedTuple):
    """A series that takes one quantity from each report."""

    name: str
    quantity: str
    unit: str
    value: Callable[[Report], float]


SCALE_SERIES = (
    ScaleSeries(
        "scale_controller_cores",
        "a controller's process",
        "cores",
        lambda report: report.roles["controller"].cores,
    ),
    ScaleSeries(
        "scale_controller_mb",
        "the largest controller's memory",
        "MB",
        lambda report: report.roles["controller"].memory_mb,
    ),
    ScaleSeries(
        "scale_controller_sockets",
        "the most files and sockets of a controller",
        "sockets",
        lambda report: float(report.roles["controller"].sockets),
    ),
    ScaleSeries(
        "scale_changes",
        "changes at the state service, mean of the run",
        "changes/s",
        lambda report: report.changes / report.seconds,
    ),
    ScaleSeries(
        "scale_state_requests",
        "requests at the state service, mean of the run",
        "requests/s",
        lambda report: report.state["requests"] / report.seconds,
    ),
    ScaleSeries(
        "scale_peers_bytes",
        "bytes between controllers, TCP and users included",
        "bytes/s",
        lambda report: report.peers_bytes,
    ),
    ScaleSeries(
        "scale_worker_bytes",
        "bytes of bodies of a worker",
        "bytes/s",
        lambda report: report.bytes_a_worker,
    ),
)


def read_report(path: Path) -> Report:
    """Read a run's report; raises ValueError with a one-line text."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Report)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path.name}: {error}") from None


def scale_series(paths: list[Path], workers: float, measured: str) -> list[Series]:
    """Return the series of runs of one configuration at several fractions.

    `workers` is the number of workers at fraction 1. Raises ValueError for a run that is
    incomplete or broke a rule.
    """
    reports = sorted((read_report(path) for path in paths), key=lambda row: row.fraction)
    for report in reports:
        if not report.complete or any(report.rules.values()):
            raise ValueError(
                f"fraction {report.fraction:g}: the run is incomplete or broke a rule"
            )
    fixed = f"{reports[0].controllers} controllers, {reports[0].seconds:.0f} s"
    return [
        Series(
            wanted.name,
            "workers (and the load with them)",
            wanted.quantity,
            wanted.unit,
            fixed,
            "python -m tools.scale docs/capacity/run.toml --fraction F --out FILE",
            measured,
            [Point(report.fraction * workers, wanted.value(report)) for report in reports],
        )
        for wanted in SCALE_SERIES
    ]
