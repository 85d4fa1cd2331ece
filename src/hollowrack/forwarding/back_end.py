"""How requests reach a worker: typed calls, answers and failures, free of wire names."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from hollowrack.forwarding.types import Worker

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class BackEndCall:
    """A request as it goes to a worker.

    Attributes:
        request_id: Its identifier.
        method: HTTP method.
        target: Path and query, exactly as the caller sent them.
        headers: The caller's headers without those of one connection.
        body: The body.
        priority: Rank at the worker, 0 first; ``None`` leaves the worker's default.
        tenant: Name of the tenant it is for; ``None`` if it is for none.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    priority: int | None = None
    tenant: str | None = None


class NotRunReason(Enum):
    """Why it is certain that a worker did not run a request."""

    UNREACHABLE = "no connection was made"
    BUSY = "the worker refused"
    REPLACED = "another worker has the address"


class NotRunError(Exception):
    """A worker certainly did not run the request."""

    def __init__(self, reason: NotRunReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class BrokenAnswerError(Exception):
    """The request was sent and no whole, matching answer came: it may have run."""


@dataclass(frozen=True)
class LoadReport:
    """Load that a worker told with an answer.

    Attributes:
        num_running: Requests it works on, of all nodes.
        num_waiting: Requests that wait inside it.
    """

    num_running: int
    num_waiting: int


class OpenAnswer(Protocol):
    """An answer whose head has arrived.

    Attributes:
        status: HTTP status.
        headers: The worker's headers without those of one connection.
        signature: The worker's signature of the answer; ``None`` if it has none.
        weight_version: Weight version at the beginning of the body; ``None`` if not told.
        load_report: The worker's load when it answered; ``None`` if not told.
    """

    status: int
    headers: Headers
    signature: str | None
    weight_version: int | None
    load_report: LoadReport | None

    async def read(self) -> bytes:
        """Read the whole body.

        Raises:
            BrokenAnswerError: If it ends early.
        """

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives; raises ``BrokenAnswerError`` if it ends early."""

    def abort(self) -> None:
        """Drop the answer and its connection, unless it was read whole."""


class BackEndClient(Protocol):
    """Sends requests to workers."""

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> OpenAnswer:
        """Send a request and return once the head of the answer is there.

        Args:
            worker: The one incarnation that may run it.
            call: The request.
            time_left_s: How long the caller still waits, in seconds.
            after_event: Continue a stream behind this event.
            is_repeatable: Whether a kept connection may be used, which may close underneath.

        Raises:
            NotRunError: The worker certainly did not run the request.
            BrokenAnswerError: It may have run.
        """

    async def has_ended(self, worker: Worker) -> bool:
        """Whether a life of a worker is certainly over.

        ``True`` if its machine says that nothing listens there, or if a later life answers;
        ``False`` if it listens itself, or if nothing can be told.
        """
