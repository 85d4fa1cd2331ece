"""Refuses requests that no worker can answer in time, before they are sent.

For this load: more requests than a service's workers can do, for as long as requests last. Callers
that wait for nothing cannot turn elsewhere, and what is sent for them delays those behind.
"""

import random

from absl import logging

from hollowrack.forwarding.types import Route
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.results import Problem, ResultCode

# Callers are told to come back within this factor of the time needed, so that they spread out.
MAX_JITTER = 1.5
# Sooner than this nothing has changed: a few requests of a service last as long.
MIN_RETRY_AFTER_S = 0.1
# Later than this the queue is a guess; a caller who comes back too soon is refused at once again.
MAX_RETRY_AFTER_S = 5.0


class LoadShedder:
    """Decides which requests to refuse at once.

    Args:
        workers: The workers known.
        rng: Source of the jitter.
    """

    def __init__(self, workers: WorkerDirectory, rng: random.Random) -> None:
        self._workers = workers
        self._rng = rng

    def check(
        self, request_id: str, route: Route, service: str, time_left_s: float
    ) -> Problem | None:
        """Return the refusal of a request that was sent to no worker yet; ``None`` to send it.

        Args:
            request_id: Its identifier.
            route: Its route.
            service: The service that would run it.
            time_left_s: How long its caller still waits, in seconds.
        """
        soonest_s = self._workers.soonest_answer_s(service, route.name)
        if soonest_s is None or soonest_s <= time_left_s:
            return None
        # By then so much of the queue is done that an answer would come within the target.
        needed_s = max(MIN_RETRY_AFTER_S, soonest_s - route.target_latency_s)
        retry_after_s = min(MAX_RETRY_AFTER_S, needed_s * self._rng.uniform(1.0, MAX_JITTER))
        detail = f"{service}: answers take {soonest_s:.2f} s, {time_left_s:.2f} s are left"
        logging.info("request %s is refused early: %s", request_id, detail)
        return Problem(ResultCode.OVERLOADED, detail, request_id, round(retry_after_s, 2))
