"""What those who send requests to workers ask and tell about crashing requests."""

from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.types import Worker
from hollowrack.quarantine.crash_detector import CrashDetector
from hollowrack.quarantine.placement import SuspectPlacement
from hollowrack.quarantine.registry import SuspectRegistry
from hollowrack.quarantine.types import QuarantineState
from hollowrack.results import Problem, ResultCode


class Quarantine:
    """Keeps requests that end their workers from further workers.

    Args:
        back_ends: Looks whether workers that broke requests off have ended.

    Attributes:
        registry: What is known of crashing requests.
        crash_detector: Tells ends of workers from broken connections.
        suspect_placement: Keeps suspects apart.
    """

    def __init__(self, back_ends: BackEndClient) -> None:
        self.registry = SuspectRegistry()
        self.crash_detector = CrashDetector(back_ends, self.registry.record_crash)
        self.suspect_placement = SuspectPlacement(self.registry)

    def record_disconnect(
        self, request_id: str, fingerprint: str, worker: Worker, is_retried_here: bool = False
    ) -> None:
        """A worker broke a request off.

        Args:
            request_id: The try's identifier.
            fingerprint: The request's.
            worker: The worker.
            is_retried_here: Whether this node runs the request until it is whole.
        """
        self.crash_detector.record_disconnect(request_id, fingerprint, worker, is_retried_here)

    def record_success(self, fingerprint: str) -> None:
        """A worker answered a request well."""
        self.registry.record_success(fingerprint)

    def record_abandoned(self, fingerprint: str) -> None:
        """This node stopped running a request that is not whole: it may go on elsewhere."""
        self.registry.record_abandoned(fingerprint)

    def quarantine_state(self, fingerprint: str) -> QuarantineState | None:
        """Why a request must not be sent to a worker; ``None`` if it may be."""
        return self.registry.quarantine_state(fingerprint)

    async def wait_until_lifted(self, fingerprint: str) -> None:
        """Wait until a request may be sent to workers."""
        await self.registry.wait_until_lifted(fingerprint)


def quarantine_problem(verdict: QuarantineState, fingerprint: str, request_id: str) -> Problem:
    """Return what a caller is told whose try has been sent to no worker."""
    detail = (
        f"{verdict.num_crashes} workers have ended under the request of fingerprint {fingerprint}"
    )
    return Problem(
        ResultCode.REQUEST_QUARANTINED, detail, request_id, round(verdict.remaining_s, 1)
    )
