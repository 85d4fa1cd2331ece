"""Report of a soak: latencies by kind, and log lines for each violated guarantee."""

from hdrh.histogram import HdrHistogram

from hollowrack.observability.log_search import search_logs
from hollowrack_bench.live_load import latency_histogram
from hollowrack_bench.platform_demo import PlatformDemoOutcome

MAX_EVIDENCE_LINES = 40
US_PER_S = 1_000_000
PERCENTILES = (50.0, 99.0, 100.0)


class Latencies:
    """Latencies of requests and steps, by kind."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, kind: str, latency_s: float) -> None:
        """Record one latency, in seconds."""
        histogram = self._histograms.setdefault(kind, latency_histogram())
        histogram.record_value(max(1, int(latency_s * US_PER_S)))

    def summary(self) -> dict[str, str]:
        """Return p50, p99 and maximum latency of each kind, in seconds, as ``p50/p99/max``."""
        return {
            kind: "/".join(
                f"{histogram.get_value_at_percentile(percentile) / US_PER_S:.2f}"
                for percentile in PERCENTILES
            )
            for kind, histogram in sorted(self._histograms.items())
        }


def collect_evidence(outcome: PlatformDemoOutcome, log_lines: list[str]) -> None:
    """Add the log lines about each violated guarantee to the outcome.

    Args:
        outcome: Outcome of the soak; its ``evidence`` is filled.
        log_lines: Log lines of all nodes.
    """
    for entry in outcome.violations:
        subject = entry.partition(":")[0]
        search = search_logs(subject, log_lines)
        lines = sorted({*search.about, *search.context}, key=lambda line: line.time)
        outcome.evidence[entry] = [
            f"{line.time} {line.node} {line.message}" for line in lines[-MAX_EVIDENCE_LINES:]
        ]
