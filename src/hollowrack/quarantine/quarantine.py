"""Quarantine facade: used by the forwarders to report and check crashing requests."""

import asyncio
import contextlib

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.types import Worker
from hollowrack.quarantine.crash_detector import CrashDetector
from hollowrack.quarantine.placement import SuspectPlacement
from hollowrack.quarantine.registry import QUARANTINE_CRASH_THRESHOLD, SuspectRegistry
from hollowrack.quarantine.types import CrashTiming, QuarantineState
from hollowrack.results import Problem, ResultCode

# A worker's end is proved and stored within milliseconds. If the worker or the store is silent, a
# retry waits no longer than this.
EVIDENCE_TIMEOUT_S = 0.3
# Time without a crash after which workers count as stable.
STABLE_DURATION_S = 2.0


class Quarantine:
    """Prevents requests that crash workers from being sent to further workers.

    Args:
        back_ends: Checks whether a worker that closed a connection has crashed.

    Attributes:
        registry: Suspects known to this node.
        crash_detector: Distinguishes crashes from broken connections.
        suspect_placement: Keeps suspects on separate workers.
    """

    def __init__(self, back_ends: BackEndClient) -> None:
        self.registry = SuspectRegistry()
        self.crash_detector = CrashDetector(back_ends, self.registry.record_crash)
        self.suspect_placement = SuspectPlacement(self.registry)

    def record_disconnect(
        self,
        request_id: str,
        fingerprint: str,
        worker: Worker,
        is_retried_here: bool = False,
        timing: CrashTiming = CrashTiming.AT_START,
    ) -> None:
        """Record that a worker closed the connection before the answer was complete.

        Args:
            request_id: Identifier of the attempt, for the log.
            fingerprint: Fingerprint of the request.
            worker: Worker that closed the connection.
            is_retried_here: Whether this node retries the request until it is complete.
            timing: When the worker closed it, relative to the request.
        """
        self.crash_detector.record_disconnect(
            request_id, fingerprint, worker, is_retried_here, timing
        )

    def record_success(self, fingerprint: str) -> None:
        """Record that a worker answered a request successfully."""
        self.registry.record_success(fingerprint)

    def record_abandoned(self, fingerprint: str) -> None:
        """Record that this node stopped running an incomplete request; other nodes may run it."""
        self.registry.record_abandoned(fingerprint)

    async def settle_evidence(self, fingerprint: str) -> None:
        """Wait for evidence that may quarantine a request, before it is sent to a worker again.

        Waits at most :data:`EVIDENCE_TIMEOUT_S` for checks of interruptions, and for the exchange
        of crashes with other nodes through the store. Returns at once if one more crash cannot
        quarantine the request.
        """
        if not self._is_one_crash_from_quarantine(fingerprint):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EVIDENCE_TIMEOUT_S):
                await self.crash_detector.wait_for_checks(fingerprint)
                await self.registry.wait_until_shared(fingerprint)

    async def wait_until_stable(self, fingerprint: str, timeout_s: float) -> None:
        """Wait until workers no longer crash, if several have crashed under a request.

        Such a request has few retries left, which crashes of other causes would use up.

        Args:
            fingerprint: Fingerprint of the request.
            timeout_s: Limit of the wait, in seconds.
        """
        if self.registry.num_crashes(fingerprint) < QUARANTINE_CRASH_THRESHOLD:
            return
        end_s = now_s() + timeout_s
        while (wait_s := min(self._stable_from_s(), end_s) - now_s()) > 0.0:  # noqa: ASYNC110
            await asyncio.sleep(wait_s)

    def _stable_from_s(self) -> float:
        return self.crash_detector.last_crash_s + STABLE_DURATION_S

    def is_evidence_pending(self, fingerprint: str) -> bool:
        """Whether a check in progress may quarantine a request that may not be sent before."""
        has_unfinished_checks = self.crash_detector.num_unfinished_checks(fingerprint) > 0
        return has_unfinished_checks and self._is_one_crash_from_quarantine(fingerprint)

    def _is_one_crash_from_quarantine(self, fingerprint: str) -> bool:
        num_unfinished_checks = self.crash_detector.num_unfinished_checks(fingerprint)
        possible_weight = self.registry.crash_weight(fingerprint) + num_unfinished_checks
        return possible_weight >= QUARANTINE_CRASH_THRESHOLD - 1

    def quarantine_state(self, fingerprint: str) -> QuarantineState | None:
        """Return the quarantine state of a request; ``None`` if it may be sent to workers."""
        return self.registry.quarantine_state(fingerprint)

    async def wait_until_lifted(self, fingerprint: str) -> None:
        """Wait until a request is not quarantined."""
        await self.registry.wait_until_lifted(fingerprint)


def quarantine_problem(state: QuarantineState, fingerprint: str, request_id: str) -> Problem:
    """Return the problem for an attempt that was not sent to a worker because of a quarantine."""
    detail = (
        f"{state.num_crashes} workers have crashed under the request of fingerprint {fingerprint}"
    )
    return Problem(ResultCode.REQUEST_QUARANTINED, detail, request_id, round(state.remaining_s, 1))
