"""Send guard: the last check before a request is sent to a worker.

A worker is chosen some time before its request is sent, and the conditions on workers may have
changed in between. The check covers all requests: first attempts, retries, hedged attempts, streams
and items of jobs.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from absl import logging

from hollowrack.forwarding.back_end import (
    BackEndCall,
    BackEndClient,
    NotRunError,
    NotRunReason,
    OpenAnswer,
)
from hollowrack.forwarding.types import Worker


class SendCondition(Protocol):
    """Condition on the requests that this node may send to a worker now."""

    def allows(self, worker: Worker, call: BackEndCall) -> bool:
        """Whether a request may be sent now; called once for each send that is about to start."""


class GuardedBackEnds:
    """Client of workers that sends a request only if all conditions allow it.

    Implements :class:`BackEndClient`.

    Args:
        back_ends: Client that sends the requests.
        *conditions: The first conditions.

    Attributes:
        conditions: Conditions on each request, checked in order until one does not allow it.
        probe_conditions: Conditions on the workers that may be asked for their state.
        num_stopped: Number of requests that were not sent, by class name of the condition.
    """

    def __init__(self, back_ends: BackEndClient, *conditions: SendCondition) -> None:
        self._back_ends = back_ends
        self.conditions: list[SendCondition] = list(conditions)
        self.probe_conditions: list[Callable[[Worker], bool]] = []
        self.num_stopped: Counter[str] = Counter()

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> OpenAnswer:
        """Send a request; see :class:`BackEndClient`.

        Raises:
            NotRunError: ``NOT_PERMITTED`` if a condition does not allow the request.
        """
        for condition in self.conditions:
            if not condition.allows(worker, call):
                self.num_stopped[type(condition).__name__] += 1
                logging.info(
                    "request %s: not sent to worker %s: %s",
                    call.request_id,
                    worker.incarnation,
                    type(condition).__name__,
                )
                raise NotRunError(NotRunReason.NOT_PERMITTED)
        return await self._back_ends.open(worker, call, time_left_s, after_event, is_repeatable)

    async def has_crashed(self, worker: Worker) -> bool:
        """Whether an incarnation of a worker has certainly ended; see :class:`BackEndClient`."""
        if not all(permits(worker) for permits in self.probe_conditions):
            # A worker whose start is unknown is sent no request: only its port is checked.
            worker = replace(worker, started_ms=0)
        return await self._back_ends.has_crashed(worker)
