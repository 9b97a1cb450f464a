"""What the metrics address reports, computed a few times a second however often it is asked for."""

from collections.abc import Callable

from jaypier.core.clock import Clock
from jaypier.core.metrics import Metrics

REPORT_SECONDS = 0.25
"""Time for which a report is returned again instead of being computed anew."""


class ReportCache:
    """The latest reports: percentiles and dumps take long to compute, and anybody may ask for them.

    :ivar reports: time on ``clock``, in seconds, and body of each report by its name.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.reports: dict[str, tuple[float, bytes]] = {}

    def get(self, name: str, compute: Callable[[], bytes]) -> bytes:
        """Return a report, up to ``REPORT_SECONDS`` old.

        :param name: one of a fixed set of names.
        """
        now = self.clock.now()
        computed_at, body = self.reports.get(name, (float("-inf"), b""))
        if now - computed_at >= REPORT_SECONDS:
            body = compute()
            self.reports[name] = (now, body)
        return body


def format_metrics(metrics: Metrics) -> bytes:
    """Return counters and histograms as text, one value a line."""
    lines = [f"{name} {value}" for name, value in sorted(metrics.counters.items())]
    for name, summary in metrics.summaries().items():
        lines.append(f"{name}_count {summary.count}")
        lines += [
            f'{name}_ms{{quantile="{label}"}} {value}'
            for label, value in (("0.5", summary.p50), ("0.99", summary.p99))
        ]
    return ("\n".join(lines) + "\n").encode()
