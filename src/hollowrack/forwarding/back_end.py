"""Interface of the client that sends requests to workers, independent of the wire protocol."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from hollowrack.forwarding.types import Worker

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class BackEndCall:
    """A request as it is sent to a worker.

    Attributes:
        request_id: Unique identifier, the same for all attempts.
        method: HTTP method.
        target: Path and query, exactly as the caller sent them.
        headers: The caller's headers without hop-by-hop headers.
        body: Complete request body.
        priority: Scheduling priority at the worker, 0 is the highest; ``None`` for the worker's
            default.
        tenant: Name of the tenant that is charged; ``None`` if there is none.
        allowed_regions: Regions in which workers may run it; ``None`` for all.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    priority: int | None = None
    tenant: str | None = None
    allowed_regions: frozenset[str] | None = None


class NotRunReason(Enum):
    """Why it is certain that a worker did not run a request."""

    UNREACHABLE = "no connection was made"
    BUSY = "the worker refused"
    REPLACED = "another worker has the address"
    NOT_PERMITTED = "this node may not send it to the worker now"


class NotRunError(Exception):
    """Raised if a worker certainly did not run the request."""

    def __init__(self, reason: NotRunReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class BrokenAnswerError(Exception):
    """Raised if no complete, matching answer was received: the request may have run."""


@dataclass(frozen=True)
class LoadReport:
    """Load that a worker reported along with an answer.

    Attributes:
        num_running: Requests of all nodes that it is processing.
        num_waiting: Requests of all nodes in its queue.
    """

    num_running: int
    num_waiting: int


class OpenAnswer(Protocol):
    """An answer whose head has been received and whose body is still to be read.

    Attributes:
        status: HTTP status.
        headers: The worker's headers without hop-by-hop headers.
        signature: The worker's signature of the answer; ``None`` if it has none.
        weight_version: Weight version at the start of the body; ``None`` if not reported.
        load_report: The worker's load when it answered; ``None`` if not reported.
    """

    status: int
    headers: Headers
    signature: str | None
    weight_version: int | None
    load_report: LoadReport | None

    async def read(self) -> bytes:
        """Read the complete body.

        Raises:
            BrokenAnswerError: If the body is truncated.
        """

    def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the body as it arrives.

        Raises:
            BrokenAnswerError: If the body is truncated.
        """

    def abort(self) -> None:
        """Close the answer's connection unless the body was read completely."""


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
        """Send a request and return once the head of the answer has been received.

        Args:
            worker: The incarnation to send it to; no other incarnation runs it.
            call: The request.
            time_left_s: Time until the caller's deadline, in seconds.
            after_event: Number of the event after which a stream is resumed; ``None`` to start at
                the beginning.
            is_repeatable: Whether the request may run twice; if so, a pooled connection is allowed,
                which the worker may close at any time.

        Raises:
            NotRunError: If the worker certainly did not run the request.
            BrokenAnswerError: If the request may have run.
        """

    async def has_crashed(self, worker: Worker) -> bool:
        """Whether an incarnation of a worker has certainly ended.

        Returns:
            ``True`` if the connection is refused or a later incarnation answers; ``False`` if the
            incarnation itself answers or its state cannot be determined.
        """
