"""Crash detector: distinguishes crashed workers from broken connections."""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.quarantine.types import CrashTiming

# Arguments: fingerprint of the interrupted request, incarnation of the crashed worker, whether this
# node retries the request until it is complete, and when the worker crashed.
OnCrash = Callable[[str, WorkerIncarnation, bool, CrashTiming], None]


class DisconnectCause(Enum):
    """State of a worker that closed the connection of a request; names are metric labels."""

    ENDED = "which has crashed: nothing listens at its address, or a later incarnation does"
    UNPROVEN = "which is not known to have crashed"


class CrashDetector:
    """Checks whether a worker that closed the connection of a request has crashed.

    A crash interrupts all requests of a worker, so that concurrent disconnects share one check.

    Args:
        back_ends: Checks whether a worker has ended.
        on_crash: Called for each request that a crash interrupted.

    Attributes:
        num_disconnects: Number of interrupted requests, by cause.
        last_crash_s: Time of the last crash seen by this node, on the loop's clock.
    """

    def __init__(self, back_ends: BackEndClient, on_crash: OnCrash) -> None:
        self.num_disconnects: Counter[DisconnectCause] = Counter()
        self.last_crash_s = float("-inf")
        self._back_ends = back_ends
        self._on_crash = on_crash
        self._checks: dict[WorkerIncarnation, asyncio.Task[bool]] = {}
        self._reports: dict[str, set[asyncio.Task[None]]] = {}

    def record_disconnect(
        self,
        request_id: str,
        fingerprint: str,
        worker: Worker,
        is_retried_here: bool = False,
        timing: CrashTiming = CrashTiming.AT_START,
    ) -> None:
        """Record an interrupted request, and check in the background whether its worker crashed."""
        check = self._checks.get(worker.incarnation)
        if check is None:
            check = asyncio.create_task(self._back_ends.has_crashed(worker))
            self._checks[worker.incarnation] = check
            check.add_done_callback(lambda _: self._checks.pop(worker.incarnation, None))
        report_task = asyncio.create_task(
            self._report(request_id, fingerprint, worker, check, is_retried_here, timing)
        )
        self._reports.setdefault(fingerprint, set()).add(report_task)
        report_task.add_done_callback(lambda task: self._remove_report(fingerprint, task))

    def num_unfinished_checks(self, fingerprint: str) -> int:
        """Return the number of interruptions of a request whose cause is still being checked."""
        return len(self._reports.get(fingerprint, ()))

    async def wait_for_checks(self, fingerprint: str) -> None:
        """Wait until the causes of all interruptions of a request so far have been checked."""
        reports = self._reports.get(fingerprint)
        if reports:
            await asyncio.wait(set(reports))

    def _remove_report(self, fingerprint: str, task: asyncio.Task[None]) -> None:
        reports = self._reports[fingerprint]
        reports.discard(task)
        if not reports:
            del self._reports[fingerprint]

    async def _report(
        self,
        request_id: str,
        fingerprint: str,
        worker: Worker,
        check: asyncio.Task[bool],
        is_retried_here: bool,
        timing: CrashTiming,
    ) -> None:
        cause = DisconnectCause.ENDED if await asyncio.shield(check) else DisconnectCause.UNPROVEN
        self.num_disconnects[cause] += 1
        logging.info(
            "request %s with fingerprint %s: interrupted by worker %s %s, %s",
            request_id,
            fingerprint,
            worker.incarnation,
            timing.value,
            cause.value,
        )
        if cause is DisconnectCause.ENDED:
            self.last_crash_s = now_s()
            self._on_crash(fingerprint, worker.incarnation, is_retried_here, timing)
