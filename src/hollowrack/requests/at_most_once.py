"""At-most-once execution of requests that are unsafe to repeat, based on replicated claims.

The claim is committed to the replicated log before the first byte is sent. When a repetition finds
a held claim, it asks the node that made the attempt for its status. A node that still runs under
the same incarnation knows whether the attempt is running or did not run. Otherwise the outcome is
unknown, and the claim is abandoned, so that repetitions fail at once instead of waiting.
"""

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import xxhash
from absl import logging
from returns.result import Failure, Result, Success

from hollowrack.clock import now_s
from hollowrack.hashing import text_hash
from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.replication.links import NodeLinks
from hollowrack.replication.types import ReplicaId, node_of, replica_id
from hollowrack.requests.claims import (
    Abandon,
    Claim,
    ClaimCommand,
    ClaimState,
    ClaimStatus,
    Finish,
    Release,
)
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode

CLAIM_GROUP_PREFIX = "claims:"
NUM_CLAIM_GROUPS = 8
CLAIM_TIMEOUT_S = 3.0
RECORD_TIMEOUT_S = 10.0
STATUS_TIMEOUT_S = 1.0
CLAIM_POLL_INTERVAL_S = 0.1
MAX_WAIT_S = 30.0
PREPARE_RETRY_INTERVAL_S = 1.0
MAX_NOT_RUN_ATTEMPTS = 10_000
NO_QUORUM_RETRY_AFTER_S = 2.0

RunRequest = Callable[[], Awaitable[Result[RecordedAnswer, Problem]]]


def claim_group(request_id: str) -> str:
    """Return the replication group that holds the claim of an identifier."""
    return f"{CLAIM_GROUP_PREFIX}{text_hash(request_id) % NUM_CLAIM_GROUPS}"


class AttemptStatus(Enum):
    """Status of an attempt at the node that made it."""

    RUNNING = "running"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@message("claims.ask_attempt")
@dataclass(frozen=True)
class AttemptStatusRequest:
    """Request for the status of an attempt, to the node that made it."""

    attempt: str


@message("claims.attempt")
@dataclass(frozen=True)
class AttemptStatusReply:
    """Reply to :class:`AttemptStatusRequest`."""

    status: AttemptStatus


class ClaimLog(Protocol):
    """Replicated log of claims; implemented by the group client."""

    async def find_or_create(self, group: str) -> Result[Any, Problem]:
        """Create the group unless it exists."""

    async def propose(self, group: str, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit a command and return its outcome."""


class AtMostOnceRunner:
    """Runs the unsafe requests of one node at most once.

    Args:
        log: Replicated log of claims.
        links: Sends messages to other nodes.
        own_replica: Name and incarnation of this node.
    """

    def __init__(self, log: ClaimLog, links: NodeLinks, own_replica: ReplicaId) -> None:
        self._log = log
        self._links = links
        self._own_replica = own_replica
        self._numbers = itertools.count(1)
        self._running: set[str] = set()
        self._not_run: OrderedDict[str, None] = OrderedDict()
        self._commit_tasks: set[asyncio.Task[None]] = set()

    async def prepare(self) -> None:
        """Create the claim groups in advance, so that requests do not depend on the store later."""
        while True:
            groups = [f"{CLAIM_GROUP_PREFIX}{index}" for index in range(NUM_CLAIM_GROUPS)]
            results = [await self._log.find_or_create(group) for group in groups]
            if all(isinstance(result, Success) for result in results):
                return
            await asyncio.sleep(PREPARE_RETRY_INTERVAL_S)

    async def run(
        self, request_id: str, body: bytes, run: RunRequest, max_wait_s: float = MAX_WAIT_S
    ) -> Result[RecordedAnswer, Problem]:
        """Run a request, or return the answer of the attempt that has claimed its identifier.

        Args:
            request_id: Identifier chosen by the caller.
            body: Content that distinguishes the request from others.
            run: Sends the request; the code of a failure says whether it may have run.
            max_wait_s: Timeout of the wait for the answer of another attempt, in seconds.
        """
        digest = xxhash.xxh64_intdigest(body) >> 1
        deadline_s = now_s() + max_wait_s
        while True:
            attempt = f"{self._own_replica}/{next(self._numbers)}"
            self._running.add(attempt)
            try:
                claimed = await self._commit(Claim(request_id, digest, attempt), CLAIM_TIMEOUT_S)
                if isinstance(claimed, Failure):
                    # The claim may still be committed. Nodes that find it query this node, which
                    # replies that the attempt did not run.
                    self._record_not_run(attempt)
                    self._commit_in_background(Release(request_id, attempt))
                    return Failure(_no_quorum(request_id, claimed.failure()))
                claim = claimed.unwrap()
                if claim.attempt == attempt:
                    return await self._run_claimed(request_id, attempt, run)
            finally:
                self._running.discard(attempt)
            answer = await self._result_of_other_attempt(request_id, digest, claim, deadline_s)
            if answer is not None:
                return answer

    async def read(self, request_id: str) -> Result[ClaimState, Problem]:
        """Return the claim of an identifier, without claiming it."""
        # No attempt has an empty identifier, so this command is a linearizable read.
        return await self._commit(Abandon(request_id, ""), CLAIM_TIMEOUT_S)

    def attempt_status(self, request: AttemptStatusRequest) -> AttemptStatusReply:
        """Return the status of an attempt of this node."""
        if request.attempt in self._running:
            return AttemptStatusReply(AttemptStatus.RUNNING)
        if request.attempt in self._not_run:
            return AttemptStatusReply(AttemptStatus.NOT_RUN)
        return AttemptStatusReply(AttemptStatus.UNKNOWN)

    async def drain(self) -> None:
        """Wait for the commands that are committed in the background."""
        await asyncio.gather(*self._commit_tasks, return_exceptions=True)

    async def _run_claimed(
        self, request_id: str, attempt: str, run: RunRequest
    ) -> Result[RecordedAnswer, Problem]:
        try:
            result = await run()
        except BaseException:
            self._commit_in_background(Abandon(request_id, attempt))
            raise
        end_command = _end_command(request_id, attempt, result)
        recorded = await self._commit(end_command, RECORD_TIMEOUT_S)
        if isinstance(recorded, Failure):
            logging.warning(
                "end of claim not committed; retrying in the background: %s", recorded.failure()
            )
            self._commit_in_background(end_command)
        return result

    async def _result_of_other_attempt(
        self, request_id: str, digest: int, claim: ClaimState, deadline_s: float
    ) -> Result[RecordedAnswer, Problem] | None:
        """Return the result of another attempt, or ``None`` if the identifier became free."""
        while claim.status is not None:
            if claim.body_digest != digest:
                detail = "the identifier belongs to another request"
                return Failure(Problem(ResultCode.IDENTIFIER_REUSED, detail, request_id))
            if claim.status is not ClaimStatus.HELD:
                return _result_of_ended(request_id, claim)
            status = await self._query_attempt_status(claim.attempt)
            if status is AttemptStatus.RUNNING:
                if now_s() >= deadline_s:
                    return Failure(
                        _outcome_unknown(request_id, "the first attempt is still running")
                    )
                await asyncio.sleep(CLAIM_POLL_INTERVAL_S)
                claim = (await self.read(request_id)).value_or(claim)
                continue
            end_command: ClaimCommand = Abandon(request_id, claim.attempt)
            if status is AttemptStatus.NOT_RUN:
                end_command = Release(request_id, claim.attempt)
            ended = await self._commit(end_command, CLAIM_TIMEOUT_S)
            if isinstance(ended, Failure):
                return Failure(
                    _outcome_unknown(
                        request_id, "the first attempt was lost, and its claim could not be ended"
                    )
                )
            claim = ended.unwrap()
        return None

    async def _query_attempt_status(self, attempt: str) -> AttemptStatus:
        owner = attempt.rpartition("/")[0]
        node = node_of(owner)
        if owner == self._own_replica:
            return self.attempt_status(AttemptStatusRequest(attempt)).status
        known_incarnation = self._links.incarnation_of(node)
        if known_incarnation is not None and owner != replica_id(node, known_incarnation):
            return AttemptStatus.UNKNOWN
        answer = await self._links.request(node, AttemptStatusRequest(attempt), STATUS_TIMEOUT_S)
        status = answer.value_or(None)
        if isinstance(status, AttemptStatusReply):
            return status.status
        # A reachable node that did not reply is assumed to be running the attempt.
        is_unreachable = not self._links.is_reachable(node)
        return AttemptStatus.UNKNOWN if is_unreachable else AttemptStatus.RUNNING

    def _record_not_run(self, attempt: str) -> None:
        self._not_run[attempt] = None
        while len(self._not_run) > MAX_NOT_RUN_ATTEMPTS:
            self._not_run.popitem(last=False)

    def _commit_in_background(self, command: ClaimCommand) -> None:
        async def commit() -> None:
            await self._commit(command, RECORD_TIMEOUT_S)

        task = asyncio.create_task(commit())
        self._commit_tasks.add(task)
        task.add_done_callback(self._commit_tasks.discard)

    async def _commit(self, command: ClaimCommand, timeout_s: float) -> Result[ClaimState, Problem]:
        group = claim_group(command.request_id)
        ensured = await self._log.find_or_create(group)
        if isinstance(ensured, Failure):
            return ensured
        proposed = await self._log.propose(group, codec.encode(command), timeout_s)
        return proposed.bind(codec.decode)


def _end_command(
    request_id: str, attempt: str, result: Result[RecordedAnswer, Problem]
) -> ClaimCommand:
    if isinstance(result, Success):
        return Finish(request_id, attempt, result.unwrap())
    if DESCRIPTIONS[result.failure().code].execution is Execution.NOT_RUN:
        return Release(request_id, attempt)
    return Abandon(request_id, attempt)


def _result_of_ended(request_id: str, claim: ClaimState) -> Result[RecordedAnswer, Problem]:
    if claim.answer is not None:
        return Success(claim.answer)
    detail = "the request ran, but its answer is no longer stored"
    if claim.status is ClaimStatus.ABANDONED:
        detail = "it is unknown whether the request ran"
    return Failure(_outcome_unknown(request_id, detail))


def _outcome_unknown(request_id: str, detail: str) -> Problem:
    return Problem(ResultCode.OUTCOME_UNKNOWN, detail, request_id)


def _no_quorum(request_id: str, cause: Problem) -> Problem:
    return Problem(
        ResultCode.NO_QUORUM,
        f"the request could not be claimed ({cause.code.name})",
        request_id,
        retry_after_s=NO_QUORUM_RETRY_AFTER_S,
    )
