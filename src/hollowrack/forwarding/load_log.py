"""Periodic log of waiting, running and refused runs by service."""

import asyncio
from collections import Counter

from absl import logging

from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.dispatch_queue import DispatchQueue, WaitingLoad

# Short enough to show a growing queue before its requests are due, a few seconds later.
LOG_INTERVAL_S = 1.0

_NO_LOAD = WaitingLoad(0, 0.0)


class LoadLog:
    """Logs the load of the services that this node has work for.

    Args:
        queue: Queue whose runs are counted.
    """

    def __init__(self, queue: DispatchQueue) -> None:
        self._queue = queue
        self._logged_refusals: Counter[tuple[str, NotRunReason]] = Counter()

    async def run(self) -> None:
        """Log the load periodically until cancelled."""
        while True:
            await asyncio.sleep(LOG_INTERVAL_S)
            for line in self.next_lines():
                logging.info("%s", line)

    def next_lines(self) -> list[str]:
        """Return a line for each service with work, or with refusals since the last call."""
        statistics = self._queue.statistics
        waiting = self._queue.waiting_by_service()
        refusals = statistics.num_refusals - self._logged_refusals
        self._logged_refusals = statistics.num_refusals.copy()
        running = {service for service, count in statistics.num_running.items() if count}
        refused = {service for service, _ in refusals}
        lines = []
        for service in sorted(waiting.keys() | running | refused):
            load = waiting.get(service, _NO_LOAD)
            lines.append(
                f"service {service}: {load.num_waiting} runs wait, the oldest for "
                f"{load.oldest_wait_s:.2f} s, {statistics.num_running[service]} run, "
                f"refused since the last line: {_refusals_of(service, refusals)}"
            )
        return lines


def _refusals_of(service: str, refusals: Counter[tuple[str, NotRunReason]]) -> str:
    by_reason = [
        f"{refusals[(service, reason)]} {reason.name}"
        for reason in NotRunReason
        if refusals[(service, reason)]
    ]
    return ", ".join(by_reason) or "none"
