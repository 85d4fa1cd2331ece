"""Load shedding: refuses requests that no worker can answer in time before they are sent.

Under sustained overload, a request that is going to time out delays those behind it, and keeps its
caller from trying elsewhere.
"""

import random

from absl import logging

from hollowrack.forwarding.types import Route
from hollowrack.forwarding.workers import Eligible, WorkerDirectory, any_worker
from hollowrack.results import Problem, ResultCode

# Upper bound of the random factor that spreads retries.
MAX_JITTER_FACTOR = 1.5
# About the duration of a few requests; before that, the queue has hardly changed.
MIN_RETRY_AFTER_S = 0.1
# The length of the queue cannot be predicted beyond this time. A caller that retries too early is
# refused again at once.
MAX_RETRY_AFTER_S = 5.0


class LoadShedder:
    """Refuses requests whose expected latency exceeds the time left.

    Args:
        workers: Directory of workers with their expected latencies.
        rng: Random number generator for the jitter of retry times.
    """

    def __init__(self, workers: WorkerDirectory, rng: random.Random) -> None:
        self._workers = workers
        self._rng = rng

    def check(
        self,
        request_id: str,
        route: Route,
        service: str,
        time_left_s: float,
        is_eligible: Eligible = any_worker,
    ) -> Problem | None:
        """Return the error of a request that cannot be answered in time; ``None`` to send it.

        Args:
            request_id: Identifier of the request, which has not been sent to any worker.
            route: Route of the request.
            service: Service that would run it.
            time_left_s: Time until the deadline of the request, in seconds.
            is_eligible: Condition on the workers that may run it.
        """
        latency_s = self._workers.lowest_expected_latency_s(service, route.name, is_eligible)
        if latency_s is None or latency_s <= time_left_s:
            return None
        # By then the queue is short enough for an answer within the target latency.
        min_delay_s = max(MIN_RETRY_AFTER_S, latency_s - route.target_latency_s)
        retry_after_s = min(
            MAX_RETRY_AFTER_S, min_delay_s * self._rng.uniform(1.0, MAX_JITTER_FACTOR)
        )
        detail = f"{service}: expected latency {latency_s:.2f} s, time left {time_left_s:.2f} s"
        logging.info("request %s refused by load shedding: %s", request_id, detail)
        return Problem(ResultCode.OVERLOADED, detail, request_id, round(retry_after_s, 2))
