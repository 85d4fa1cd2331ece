"""Crash detector: distinguishes crashed workers from broken connections."""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum

from absl import logging

from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.types import Worker, WorkerLife


class BreakCause(Enum):
    """State of a worker that closed the connection of a request; names are metric labels."""

    ENDED = "it has ended: nothing listens at its address, or a later life does"
    UNPROVEN = "it has not been shown to have ended"


class WorkerEnds:
    """Checks whether a worker that closed the connection of a request has crashed.

    A crash interrupts all requests of a worker, so that concurrent disconnects share one check.

    Args:
        back_ends: Checks whether a worker has ended.
        on_ended: Called for each crash with the fingerprint of the request, the incarnation of the
            worker, and whether this node retries the request until it is complete.

    Attributes:
        num_breaks: Number of interrupted requests, by cause.
    """

    def __init__(
        self, back_ends: BackEndClient, on_ended: Callable[[str, WorkerLife, bool], None]
    ) -> None:
        self.num_breaks: Counter[BreakCause] = Counter()
        self._back_ends = back_ends
        self._on_ended = on_ended
        self._checks: dict[WorkerLife, asyncio.Task[bool]] = {}
        self._reports: set[asyncio.Task[None]] = set()

    def note_break(
        self, request_id: str, fingerprint: str, worker: Worker, goes_on: bool = False
    ) -> None:
        """Record an interrupted request, and check in the background whether its worker crashed."""
        check = self._checks.get(worker.life)
        if check is None:
            check = asyncio.create_task(self._back_ends.has_ended(worker))
            self._checks[worker.life] = check
            check.add_done_callback(lambda _: self._checks.pop(worker.life, None))
        report_task = asyncio.create_task(
            self._report(request_id, fingerprint, worker, check, goes_on)
        )
        self._reports.add(report_task)
        report_task.add_done_callback(self._reports.discard)

    async def _report(
        self,
        request_id: str,
        fingerprint: str,
        worker: Worker,
        check: asyncio.Task[bool],
        goes_on: bool,
    ) -> None:
        cause = BreakCause.ENDED if await asyncio.shield(check) else BreakCause.UNPROVEN
        self.num_breaks[cause] += 1
        logging.info(
            "request %s with fingerprint %s: broken off by worker %s, %s",
            request_id,
            fingerprint,
            worker.life,
            cause.value,
        )
        if cause is BreakCause.ENDED:
            self._on_ended(fingerprint, worker.life, goes_on)
