"""Quarantine facade: used by the forwarders to report and check crashing requests."""

from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.types import Worker
from hollowrack.quarantine.places import SuspectPlaces
from hollowrack.quarantine.register import SuspectRegister
from hollowrack.quarantine.types import Verdict
from hollowrack.quarantine.worker_ends import WorkerEnds
from hollowrack.results import Problem, ResultCode


class Quarantine:
    """Prevents requests that crash workers from being sent to further workers.

    Args:
        back_ends: Checks whether a worker that closed a connection has crashed.

    Attributes:
        register: Suspects known to this node.
        worker_ends: Distinguishes crashes from broken connections.
        places: Keeps suspects on separate workers.
    """

    def __init__(self, back_ends: BackEndClient) -> None:
        self.register = SuspectRegister()
        self.worker_ends = WorkerEnds(back_ends, self.register.note_ended)
        self.places = SuspectPlaces(self.register)

    def note_break(
        self, request_id: str, fingerprint: str, worker: Worker, goes_on: bool = False
    ) -> None:
        """Record that a worker closed the connection before the answer was complete.

        Args:
            request_id: Identifier of the attempt, for the log.
            fingerprint: Fingerprint of the request.
            worker: Worker that closed the connection.
            goes_on: Whether this node retries the request until it is complete.
        """
        self.worker_ends.note_break(request_id, fingerprint, worker, goes_on)

    def note_good(self, fingerprint: str) -> None:
        """Record that a worker answered a request successfully."""
        self.register.note_good(fingerprint)

    def note_left(self, fingerprint: str) -> None:
        """Record that this node stopped running an incomplete request; other nodes may run it."""
        self.register.note_left(fingerprint)

    def verdict(self, fingerprint: str) -> Verdict | None:
        """Return the quarantine state of a request; ``None`` if it may be sent to workers."""
        return self.register.verdict(fingerprint)

    async def wait_until_lifted(self, fingerprint: str) -> None:
        """Wait until a request is not quarantined."""
        await self.register.wait_until_lifted(fingerprint)


def refusal(verdict: Verdict, fingerprint: str, request_id: str) -> Problem:
    """Return the problem for an attempt that was not sent to a worker because of a quarantine."""
    detail = (
        f"{verdict.num_ended} workers have crashed under the request of fingerprint {fingerprint}"
    )
    return Problem(
        ResultCode.REQUEST_QUARANTINED, detail, request_id, round(verdict.remaining_s, 1)
    )
