"""Hedging policy: when a late request is sent to a second worker.

Designed for workers of one service that differ in speed, become slow for some seconds or never
answer.
"""

from collections import deque
from math import ceil

from hollowrack.requests.retry_budget import RetryBudget

# Quantile of the latencies of a service from which on an attempt is late. Callers notice the
# slowest twentieth; hedging more attempts adds load without benefit.
LATE_QUANTILE = 0.95
# Number of latencies stored per service: enough for three beyond the quantile, and few enough to
# follow a change within seconds.
WINDOW_SIZE = 64
# Number of latencies needed before the quantile is used. A node with one request per second has
# them within seconds.
MIN_SAMPLES = 8
# Hedged attempts as a fraction of requests; workers under full load can still take this much
# additional load.
HEDGE_FRACTION = 0.1
# Burst size of the hedge budget, so that a node with few requests can hedge at all.
MAX_HEDGE_BURST = 3.0
# Delay until there are enough latencies: a multiple of the target latency, and its lower bound.
DEFAULT_DELAY_FACTOR = 1.5
MIN_DEFAULT_DELAY_S = 0.25
# Fraction of the remaining time after which a late attempt is replaced if it cannot be hedged. The
# rest of the time suffices for another worker.
ABANDON_FRACTION = 0.5


class HedgePolicy:
    """Decides when an attempt is late and whether it may be hedged.

    Attributes:
        budget: Limits hedged attempts to a fraction of this node's requests.
    """

    def __init__(self) -> None:
        self.budget = RetryBudget(HEDGE_FRACTION, MAX_HEDGE_BURST)
        self._latencies_s: dict[str, deque[float]] = {}

    def record_answer(self, service: str, seconds: float) -> None:
        """Record the latency of a complete answer from a worker of a service, in seconds."""
        latencies_s = self._latencies_s.setdefault(service, deque(maxlen=WINDOW_SIZE))
        latencies_s.append(seconds)

    def delay_s(
        self, service: str, target_latency_s: float, time_left_s: float, extra_s: float = 0.0
    ) -> float:
        """Return the time after which an attempt is late, in seconds.

        Args:
            service: Name of the service of its worker.
            target_latency_s: Latency objective of the route, in seconds.
            time_left_s: Time between the start of the attempt and the deadline, in seconds.
            extra_s: Additional time of the link to its worker, in seconds.
        """
        latencies_s = self._latencies_s.get(service, ())
        if len(latencies_s) < MIN_SAMPLES:
            delay_s = max(MIN_DEFAULT_DELAY_S, DEFAULT_DELAY_FACTOR * target_latency_s)
        else:
            delay_s = max(target_latency_s, _quantile(sorted(latencies_s), LATE_QUANTILE))
        return min(delay_s + extra_s, ABANDON_FRACTION * time_left_s)


def _quantile(values: list[float], fraction: float) -> float:
    return values[ceil(fraction * len(values)) - 1]
