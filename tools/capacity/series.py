"""A measured series: one quantity at several values of one variable, and its fitted line."""

import math
from pathlib import Path

import msgspec

# Fewer points do not show how well a line fits.
MIN_POINTS = 4


class Point(msgspec.Struct, frozen=True, array_like=True):
    """A value of the variable (`x`) and the quantity measured there (`y`)."""

    x: float
    y: float


class Series(msgspec.Struct, frozen=True):
    """A quantity measured against one variable; `fixed` states the conditions held constant."""

    name: str
    variable: str
    quantity: str
    unit: str
    fixed: str
    command: str
    measured: str
    points: list[Point]


class Fit(msgspec.Struct, frozen=True):
    """The least-squares line through a series.

    `residual` is the largest distance of a point from the line, as a share of the largest absolute
    value. `largest` is the largest x and `highest` the largest y.
    """

    slope: float
    intercept: float
    residual: float
    points: int
    largest: float
    highest: float

    def value_at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.intercept + self.slope * x

    def beyond(self, x: float) -> bool:
        """Whether `x` is larger than all measured values."""
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
    """Return the path of a series file."""
    return folder / f"{name}.json"


def write_series(folder: Path, series: Series) -> Path:
    """Write a series; return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = series_path(folder, series.name)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(series), indent=1) + b"\n")
    return path


def read_series(folder: Path, name: str) -> Series:
    """Read a series; raises ValueError with a one-line text."""
    path = series_path(folder, name)
    try:
        return msgspec.json.decode(path.read_bytes(), type=Series)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path.name}: {error}") from None
