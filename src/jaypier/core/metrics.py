"""Counters and latency histograms of one process."""

from collections import Counter

import attrs
from hdrh.histogram import HdrHistogram

MAX_DURATION_MICROSECONDS = 3_600_000_000
SIGNIFICANT_FIGURES = 3


@attrs.frozen
class LatencySummary:
    """Percentiles of one histogram, in milliseconds."""

    count: int
    p50: float
    p99: float
    p999: float
    max: float


class Metrics:
    """Counters first: every event that is not a change of state is only counted here."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self.counters[name] += amount

    def record(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram ``name``.

        :param seconds: the duration in seconds; negative ones count as zero.
        """
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_DURATION_MICROSECONDS, SIGNIFICANT_FIGURES)
            self.histograms[name] = histogram
        histogram.record_value(max(1, min(MAX_DURATION_MICROSECONDS, int(seconds * 1_000_000))))

    def summary(self, name: str) -> LatencySummary:
        """Return the percentiles of the histogram ``name``, zeros when it is empty."""
        histogram = self.histograms.get(name)
        if histogram is None:
            return LatencySummary(0, 0.0, 0.0, 0.0, 0.0)

        def percentile(percentage: float) -> float:
            return histogram.get_value_at_percentile(percentage) / 1000

        return LatencySummary(
            histogram.get_total_count(),
            percentile(50),
            percentile(99),
            percentile(99.9),
            histogram.get_max_value() / 1000,
        )

    def summaries(self) -> dict[str, LatencySummary]:
        """Return the percentiles of every histogram."""
        return {name: self.summary(name) for name in sorted(self.histograms)}
