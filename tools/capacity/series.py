"""A measured series: one quantity at several sizes of one variable, and the line through it."""

import math
from pathlib import Path

import msgspec

# A line needs more points than this to say anything of how well it fits.
MIN_POINTS = 4


class Point(msgspec.Struct, frozen=True, array_like=True):
    """One size and what was measured there."""

    x: float
    y: float


class Series(msgspec.Struct, frozen=True):
    """One quantity against one variable, all else held fixed, as a measurement wrote it."""

    name: str
    variable: str
    quantity: str
    unit: str
    fixed: str
    command: str
    measured: str
    points: list[Point]


class Fit(msgspec.Struct, frozen=True):
    """The least-squares line through a series, and its largest distance from a point as a share
    of the series' largest value.
    """

    slope: float
    intercept: float
    residual: float
    points: int
    largest: float
    highest: float

    def value_at(self, x: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * x

    def beyond(self, x: float) -> bool:
        """Whether a size lies beyond the largest that was measured."""
        return x > self.largest * (1 + 1e-9)


def fit(series: Series) -> Fit:
    """Fit a line; raises ValueError with fewer than MIN_POINTS points."""
    points = series.points
    if len(points) < MIN_POINTS:
        raise ValueError(f"{series.name}: {len(points)} points, at least {MIN_POINTS} needed")
    count = len(points)
    mean_x = math.fsum(point.x for point in points) / count
    mean_y = math.fsum(point.y for point in points) / count
    variation = math.fsum((point.x - mean_x) ** 2 for point in points)
    if variation == 0:
        raise ValueError(f"{series.name}: all points have the same size")
    slope = math.fsum((p.x - mean_x) * (p.y - mean_y) for p in points) / variation
    intercept = mean_y - slope * mean_x
    highest = max(abs(point.y) for point in points) or 1.0
    residual = max(abs(p.y - intercept - slope * p.x) for p in points) / highest
    return Fit(
        slope,
        intercept,
        residual,
        count,
        max(point.x for point in points),
        max(point.y for point in points),
    )


def series_path(folder: Path, name: str) -> Path:
    """Return the file of a series."""
    return folder / f"{name}.json"


def write_series(folder: Path, series: Series) -> Path:
    """Write a series; return its file."""
    folder.mkdir(parents=True, exist_ok=True)
    path = series_path(folder, series.name)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(series), indent=1) + b"\n")
    return path


def read_series(folder: Path, name: str) -> Series:
    """Read a series; raises ValueError with one line."""
    path = series_path(folder, name)
    try:
        return msgspec.json.decode(path.read_bytes(), type=Series)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path.name}: {error}") from None
