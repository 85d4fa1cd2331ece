"""What those who send requests to workers ask and tell about crashing requests."""

from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.types import Worker
from hollowrack.quarantine.places import SuspectPlaces
from hollowrack.quarantine.register import SuspectRegister
from hollowrack.quarantine.types import Verdict
from hollowrack.quarantine.worker_ends import WorkerEnds
from hollowrack.results import Problem, ResultCode


class Quarantine:
    """Keeps requests that end their workers from further workers.

    Args:
        back_ends: Looks whether workers that broke requests off have ended.

    Attributes:
        register: What is known of crashing requests.
        worker_ends: Tells ends of workers from broken connections.
        places: Keeps suspects apart.
    """

    def __init__(self, back_ends: BackEndClient) -> None:
        self.register = SuspectRegister()
        self.worker_ends = WorkerEnds(back_ends, self.register.note_ended)
        self.places = SuspectPlaces(self.register)

    def note_break(
        self, request_id: str, fingerprint: str, worker: Worker, goes_on: bool = False
    ) -> None:
        """A worker broke a request off.

        Args:
            request_id: The try's identifier.
            fingerprint: The request's.
            worker: The worker.
            goes_on: Whether this node runs the request until it is whole.
        """
        self.worker_ends.note_break(request_id, fingerprint, worker, goes_on)

    def note_good(self, fingerprint: str) -> None:
        """A worker answered a request well."""
        self.register.note_good(fingerprint)

    def note_left(self, fingerprint: str) -> None:
        """This node stopped running a request that is not whole: it may go on elsewhere."""
        self.register.note_left(fingerprint)

    def verdict(self, fingerprint: str) -> Verdict | None:
        """Why a request must not be sent to a worker; ``None`` if it may be."""
        return self.register.verdict(fingerprint)

    async def wait_until_lifted(self, fingerprint: str) -> None:
        """Wait until a request may be sent to workers."""
        await self.register.wait_until_lifted(fingerprint)


def refusal(verdict: Verdict, fingerprint: str, request_id: str) -> Problem:
    """Return what a caller is told whose try has been sent to no worker."""
    detail = (
        f"{verdict.num_ended} workers have ended under the request of fingerprint {fingerprint}"
    )
    return Problem(
        ResultCode.REQUEST_QUARANTINED, detail, request_id, round(verdict.remaining_s, 1)
    )
