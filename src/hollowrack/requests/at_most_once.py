"""Runs requests that are unsafe to repeat at most once, by way of claims.

The claim is committed in the replicated log before the first byte goes out. An attempt that dies
with its claim is found out by asking the node that made it: if that node lives on under the same
incarnation it still works on the request or has proof; if not, nobody knows and the claim is
abandoned, which answers every repetition at once.
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
    """Return the group that keeps the claim of an identifier."""
    return f"{CLAIM_GROUP_PREFIX}{text_hash(request_id) % NUM_CLAIM_GROUPS}"


class AttemptStatus(Enum):
    """What a node says about an attempt of its own."""

    RUNNING = "running"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@message("claims.ask_attempt")
@dataclass(frozen=True)
class AttemptStatusRequest:
    """Asks the node that made an attempt what became of it."""

    attempt: str


@message("claims.attempt")
@dataclass(frozen=True)
class AttemptStatusReply:
    """Answer to :class:`AttemptStatusRequest`."""

    status: AttemptStatus


class ClaimLog(Protocol):
    """Where claims are committed; the group client, or a stand-in in tests."""

    async def ensure(self, group: str) -> Result[Any, Problem]:
        """Make sure the group exists."""

    async def propose(self, group: str, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit a command."""


class AtMostOnceRunner:
    """At-most-once execution for one node.

    Args:
        log: Where claims are committed.
        links: How to reach other nodes.
        own_replica: This node's identity and incarnation.
    """

    def __init__(self, log: ClaimLog, links: NodeLinks, own_replica: ReplicaId) -> None:
        self._log = log
        self._links = links
        self._own_replica = own_replica
        self._numbers = itertools.count(1)
        self._running: set[str] = set()
        self._not_run: OrderedDict[str, None] = OrderedDict()
        self._background: set[asyncio.Task[None]] = set()

    async def prepare(self) -> None:
        """Create the claim groups ahead of need: an outage of the store then finds them there."""
        while True:
            groups = [f"{CLAIM_GROUP_PREFIX}{index}" for index in range(NUM_CLAIM_GROUPS)]
            results = [await self._log.ensure(group) for group in groups]
            if all(isinstance(result, Success) for result in results):
                return
            await asyncio.sleep(PREPARE_RETRY_INTERVAL_S)

    async def run(
        self, request_id: str, body: bytes, run: RunRequest, max_wait_s: float = MAX_WAIT_S
    ) -> Result[RecordedAnswer, Problem]:
        """Run a request unless its identifier has been claimed; then give that claim's answer.

        Args:
            request_id: The caller's identifier.
            body: Everything that tells one request from another.
            run: Sends the request; its failures say whether it may have run.
            max_wait_s: Longest wait for the answer of another attempt, in seconds.
        """
        digest = xxhash.xxh64_intdigest(body) >> 1
        deadline_s = now_s() + max_wait_s
        while True:
            attempt = f"{self._own_replica}/{next(self._numbers)}"
            self._running.add(attempt)
            try:
                claimed = await self._commit(Claim(request_id, digest, attempt), CLAIM_TIMEOUT_S)
                if isinstance(claimed, Failure):
                    # The claim may still land; whoever meets it will hear that nothing ran.
                    self._note_not_run(attempt)
                    self._in_background(Release(request_id, attempt))
                    return Failure(_no_quorum(request_id, claimed.failure()))
                claim = claimed.unwrap()
                if claim.attempt == attempt:
                    return await self._run_claimed(request_id, attempt, run)
            finally:
                self._running.discard(attempt)
            answer = await self._answer_of(request_id, digest, claim, deadline_s)
            if answer is not None:
                return answer

    async def read(self, request_id: str) -> Result[ClaimState, Problem]:
        """Return the claim of an identifier without claiming it."""
        # An abandon by nobody changes nothing and returns the claim, through the log's order.
        return await self._commit(Abandon(request_id, ""), CLAIM_TIMEOUT_S)

    def attempt_status(self, ask: AttemptStatusRequest) -> AttemptStatusReply:
        """Answer another node's question about an attempt of this node."""
        if ask.attempt in self._running:
            return AttemptStatusReply(AttemptStatus.RUNNING)
        if ask.attempt in self._not_run:
            return AttemptStatusReply(AttemptStatus.NOT_RUN)
        return AttemptStatusReply(AttemptStatus.UNKNOWN)

    async def drain(self) -> None:
        """Wait for claims that are still being recorded."""
        await asyncio.gather(*self._background, return_exceptions=True)

    async def _run_claimed(
        self, request_id: str, attempt: str, run: RunRequest
    ) -> Result[RecordedAnswer, Problem]:
        try:
            result = await run()
        except BaseException:
            self._in_background(Abandon(request_id, attempt))
            raise
        ending = _ending(request_id, attempt, result)
        recorded = await self._commit(ending, RECORD_TIMEOUT_S)
        if isinstance(recorded, Failure):
            logging.warning("claim not recorded: %s", recorded.failure())
            self._in_background(ending)
        return result

    async def _answer_of(
        self, request_id: str, digest: int, claim: ClaimState, deadline_s: float
    ) -> Result[RecordedAnswer, Problem] | None:
        """Return what another attempt came to, or ``None`` if the identifier became free."""
        while claim.status is not None:
            if claim.body_digest != digest:
                detail = "the identifier belongs to another request"
                return Failure(Problem(ResultCode.IDENTIFIER_REUSED, detail, request_id))
            if claim.status is not ClaimStatus.HELD:
                return _ended(request_id, claim)
            status = await self._status_of(claim.attempt)
            if status is AttemptStatus.RUNNING:
                if now_s() >= deadline_s:
                    return Failure(_unknown(request_id, "the first attempt is still running"))
                await asyncio.sleep(CLAIM_POLL_INTERVAL_S)
                claim = (await self.read(request_id)).value_or(claim)
                continue
            ending: ClaimCommand = Abandon(request_id, claim.attempt)
            if status is AttemptStatus.NOT_RUN:
                ending = Release(request_id, claim.attempt)
            ended = await self._commit(ending, CLAIM_TIMEOUT_S)
            if isinstance(ended, Failure):
                return Failure(_unknown(request_id, "the first attempt was lost"))
            claim = ended.unwrap()
        return None

    async def _status_of(self, attempt: str) -> AttemptStatus:
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
        # An owner that is thought to run gets the benefit of the doubt until the caller's time
        # is up; one that is gone does not.
        is_gone = not self._links.is_reachable(node)
        return AttemptStatus.UNKNOWN if is_gone else AttemptStatus.RUNNING

    def _note_not_run(self, attempt: str) -> None:
        self._not_run[attempt] = None
        while len(self._not_run) > MAX_NOT_RUN_ATTEMPTS:
            self._not_run.popitem(last=False)

    def _in_background(self, command: ClaimCommand) -> None:
        async def record() -> None:
            await self._commit(command, RECORD_TIMEOUT_S)

        task = asyncio.create_task(record())
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _commit(self, command: ClaimCommand, timeout_s: float) -> Result[ClaimState, Problem]:
        group = claim_group(command.request_id)
        ensured = await self._log.ensure(group)
        if isinstance(ensured, Failure):
            return ensured
        proposed = await self._log.propose(group, codec.encode(command), timeout_s)
        return proposed.bind(codec.decode)


def _ending(request_id: str, attempt: str, result: Result[RecordedAnswer, Problem]) -> ClaimCommand:
    if isinstance(result, Success):
        return Finish(request_id, attempt, result.unwrap())
    if DESCRIPTIONS[result.failure().code].execution is Execution.NOT_RUN:
        return Release(request_id, attempt)
    return Abandon(request_id, attempt)


def _ended(request_id: str, claim: ClaimState) -> Result[RecordedAnswer, Problem]:
    if claim.answer is not None:
        return Success(claim.answer)
    detail = "the request ran and its answer is no longer kept"
    if claim.status is ClaimStatus.ABANDONED:
        detail = "nobody knows whether the request ran"
    return Failure(_unknown(request_id, detail))


def _unknown(request_id: str, detail: str) -> Problem:
    return Problem(ResultCode.OUTCOME_UNKNOWN, detail, request_id)


def _no_quorum(request_id: str, cause: Problem) -> Problem:
    return Problem(
        ResultCode.NO_QUORUM,
        f"the request could not be claimed ({cause.code.name})",
        request_id,
        retry_after_s=NO_QUORUM_RETRY_AFTER_S,
    )
