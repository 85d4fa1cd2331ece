"""When a second worker gets a request whose first one is late: pure decisions.

For this load: workers of one service that differ in speed, turn slow for seconds or never answer.
"""

from collections import deque
from math import ceil

from hollowrack.requests.budget import RetryBudget

# Callers notice the slowest twentieth; a second attempt for more of them is load, not help.
LATE_QUANTILE = 0.95
# Enough for three answers beyond that quantile, and few enough to follow a change within seconds.
NUM_ANSWERS_KEPT = 64
# Fewer answers say too little. A node with one request a second knows enough within seconds.
MIN_ANSWERS_KNOWN = 8
# Second attempts as a share of requests: what workers under full load still have room for.
HEDGE_SHARE = 0.1
# So many at once beyond that share: a node with few requests can still act for one of them.
MAX_SAVED_HEDGES = 3.0
# While nothing is known, a request is late after this many targets, and not sooner than this.
UNKNOWN_DELAY_IN_TARGETS = 1.5
MIN_UNKNOWN_DELAY_S = 0.25
# An attempt that has used this share of the time is given up if none may run beside it: what is
# left suffices for another worker.
GIVE_UP_SHARE = 0.5


class HedgePolicy:
    """Decides for one node from when on a request is late, and whether a second attempt may begin.

    Attributes:
        budget: Bounds second attempts.
    """

    def __init__(self) -> None:
        self.budget = RetryBudget(HEDGE_SHARE, MAX_SAVED_HEDGES)
        self._answer_times_s: dict[str, deque[float]] = {}

    def record_answer(self, service: str, seconds: float) -> None:
        """An attempt at a worker of a service took this long for its whole answer, in seconds."""
        times_s = self._answer_times_s.setdefault(service, deque(maxlen=NUM_ANSWERS_KEPT))
        times_s.append(seconds)

    def delay_s(self, service: str, target_latency_s: float, time_left_s: float) -> float:
        """How long an attempt may take until it is late, in seconds.

        Args:
            service: The service of its worker.
            target_latency_s: Time within which the answer is worth most.
            time_left_s: Time the request has left when the attempt begins.
        """
        times_s = self._answer_times_s.get(service, ())
        if len(times_s) < MIN_ANSWERS_KNOWN:
            delay_s = max(MIN_UNKNOWN_DELAY_S, UNKNOWN_DELAY_IN_TARGETS * target_latency_s)
        else:
            delay_s = max(target_latency_s, _quantile(sorted(times_s), LATE_QUANTILE))
        return min(delay_s, GIVE_UP_SHARE * time_left_s)


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[ceil(share * len(ordered)) - 1]
