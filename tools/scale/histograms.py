"""Histograms of times: microseconds up to two minutes, to three significant digits."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 95, 99, 100)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram."""
    return HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)


def record_s(histogram: HdrHistogram, seconds: float) -> None:
    """Record a time in seconds; values outside the range are clamped to it."""
    histogram.record_value(min(MAX_US, max(1, int(seconds * 1e6))))


def from_seconds(values: Iterable[float]) -> HdrHistogram:
    """Return a histogram of times given in seconds."""
    histogram = new_histogram()
    for value in values:
        record_s(histogram, value)
    return histogram


def merged(encoded: Iterable[str]) -> HdrHistogram:
    """Return the sum of encoded histograms."""
    histogram = new_histogram()
    for text in encoded:
        histogram.decode_and_add(text.encode())
    return histogram


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return the count and the percentiles in seconds."""
    if not histogram.get_total_count():
        return {"count": 0}
    return {
        "count": histogram.get_total_count(),
        **{f"p{share}": histogram.get_value_at_percentile(share) / 1e6 for share in PERCENTILES},
    }
