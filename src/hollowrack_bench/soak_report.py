"""What a soak tells of itself: latencies by kind, and what nodes logged of a broken promise."""

from hdrh.histogram import HdrHistogram

from hollowrack.observability.log_search import search_logs
from hollowrack_bench.live_load import latency_histogram
from hollowrack_bench.platform_demo import PlatformDemoOutcome

MAX_EVIDENCE_LINES = 40
US_PER_S = 1_000_000
PERCENTILES = (50.0, 99.0, 100.0)


class Latencies:
    """Latencies of what callers asked for, by kind."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, kind: str, latency_s: float) -> None:
        """Take in one latency, in seconds."""
        histogram = self._histograms.setdefault(kind, latency_histogram())
        histogram.record_value(max(1, int(latency_s * US_PER_S)))

    def summary(self) -> dict[str, str]:
        """Return median, 99th percentile and longest latency of each kind, in seconds."""
        return {
            kind: "/".join(
                f"{histogram.get_value_at_percentile(percentile) / US_PER_S:.2f}"
                for percentile in PERCENTILES
            )
            for kind, histogram in sorted(self._histograms.items())
        }


def collect_evidence(outcome: PlatformDemoOutcome, log_lines: list[str]) -> None:
    """Put what nodes logged of each broken promise beside it.

    Args:
        outcome: What the soak saw; takes the evidence.
        log_lines: What all nodes logged.
    """
    for entry in outcome.violations:
        subject = entry.partition(":")[0]
        account = search_logs(subject, log_lines)
        told = sorted({*account.about, *account.context}, key=lambda line: line.time)
        outcome.evidence[entry] = [
            f"{line.time} {line.node} {line.message}" for line in told[-MAX_EVIDENCE_LINES:]
        ]
