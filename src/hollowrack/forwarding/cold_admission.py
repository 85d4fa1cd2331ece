"""Interface of the admission of requests to cold workers."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.types import Route, Worker
from hollowrack.forwarding.workers import Eligible, any_worker
from hollowrack.results import Problem


class WorkersColdError(Exception):
    """Raised if a run gets no slot because all workers of its service are cold.

    Args:
        problem: Error for the caller.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


class ColdWorkerAdmission(Protocol):
    """Has requests wait for permits where their service has too few warm workers."""

    async def wait_turn(
        self,
        call: BackEndCall,
        route: Route,
        service: str,
        time_left_s: float,
        is_eligible: Eligible = any_worker,
    ) -> Problem | None:
        """Wait until a plain request may be sent; at once if a warm worker has room.

        Args:
            call: Request that is to be sent.
            route: Route of the request.
            service: Service that runs it.
            time_left_s: Time until the deadline of the request, in seconds.
            is_eligible: Condition that the worker has to meet.

        Returns:
            The error for the caller if all workers are cold and no permit was granted in time;
            ``None`` to send the request.
        """

    def take_reserved(self, call: BackEndCall) -> Worker | None:
        """Return the cold worker that a request has a permit for; ``None`` if it has none."""

    async def acquire_for_stream(
        self,
        call: BackEndCall,
        service: str,
        acquire: Callable[[], Awaitable[Worker]],
        is_eligible: Eligible = any_worker,
    ) -> Worker:
        """Acquire a slot for a stream that has not started yet.

        Args:
            call: Request that starts the stream.
            service: Service that runs it.
            acquire: Waits for a slot at a worker and reserves it.
            is_eligible: Condition that the worker has to meet.

        Raises:
            WorkersColdError: If all workers are cold and no slot was assigned in time.
        """
