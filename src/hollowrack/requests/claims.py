"""Claims of unsafe requests: a deterministic state machine over a replicated log.

An attempt claims the request's identifier before it sends the first byte. A claim ends finished
(with the answer), released (the request provably did not run) or abandoned (the outcome is
unknown). A group retains its latest ``MAX_ENDED_CLAIMS`` finished and abandoned claims. Retention
is by count instead of time, so that it does not depend on clocks.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import value_or_raise

MAX_ENDED_CLAIMS = 65_536
MAX_STORED_ANSWER_BYTES = 4 * 1024 * 1024


class ClaimStatus(IntEnum):
    """Status of a claim."""

    HELD = 0
    FINISHED = 1
    ABANDONED = 2


@message("claims.claim")
@dataclass(frozen=True)
class Claim:
    """Command: claim an identifier for an attempt.

    Attributes:
        request_id: Identifier chosen by the caller.
        body_digest: Hash of the request; detects reuse of an identifier for another request.
        attempt: Unique identifier of the attempt, ``<replica>/<number>``.
    """

    request_id: str
    body_digest: int
    attempt: str


@message("claims.finish")
@dataclass(frozen=True)
class Finish:
    """Command: end the claim of an attempt that received the complete answer."""

    request_id: str
    attempt: str
    answer: RecordedAnswer


@message("claims.release")
@dataclass(frozen=True)
class Release:
    """Command: free the identifier, because the attempt provably did not run."""

    request_id: str
    attempt: str


@message("claims.abandon")
@dataclass(frozen=True)
class Abandon:
    """Command: end the claim of an attempt whose outcome is unknown."""

    request_id: str
    attempt: str


ClaimCommand = Claim | Finish | Release | Abandon


@message("claims.state_of")
@dataclass(frozen=True)
class ClaimState:
    """State of a claim; also the outcome of every command.

    Attributes:
        status: Status; ``None`` if the identifier is free.
        attempt: Identifier of the attempt that made the claim.
        body_digest: Hash of the request.
        answer: The answer; ``None`` if there is none or it was evicted.
    """

    status: ClaimStatus | None = None
    attempt: str = ""
    body_digest: int = 0
    answer: RecordedAnswer | None = None


@message("claims.snapshot")
@dataclass
class ClaimsSnapshot:
    """Complete state of the state machine, and the format of its snapshots.

    Attributes:
        claims: Claims by request identifier.
        ended_order: Request identifiers of ended claims, oldest first.
        num_answer_bytes: Total size of the stored answers' bodies, in bytes.
        answer_order: Request identifiers of the stored answers, oldest first.
    """

    claims: dict[str, ClaimState] = field(default_factory=dict)
    ended_order: list[str] = field(default_factory=list)
    num_answer_bytes: int = 0
    answer_order: list[str] = field(default_factory=list)


_FREE = ClaimState()


class RequestClaims:
    """State machine of the claims of one group; implements ``replication.types.StateMachine``.

    Args:
        max_ended_claims: Maximum number of ended claims.
        max_answer_bytes: Maximum total size of the stored answers' bodies, in bytes.
    """

    def __init__(
        self,
        max_ended_claims: int = MAX_ENDED_CLAIMS,
        max_answer_bytes: int = MAX_STORED_ANSWER_BYTES,
    ) -> None:
        self._max_ended_claims = max_ended_claims
        self._max_answer_bytes = max_answer_bytes
        self._state = ClaimsSnapshot()

    def apply(self, command: bytes) -> bytes:
        """Apply an encoded command and return the resulting encoded :class:`ClaimState`."""
        decoded: ClaimCommand = value_or_raise(codec.decode(command))
        return codec.encode(self.execute(decoded))

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return codec.encode(self._state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by an encoded snapshot; an empty one clears it."""
        self._state = value_or_raise(codec.decode(snapshot)) if snapshot else ClaimsSnapshot()

    def find(self, request_id: str) -> ClaimState:
        """Return the claim of an identifier; its status is ``None`` if there is none."""
        return self._state.claims.get(request_id, _FREE)

    def execute(self, command: ClaimCommand) -> ClaimState:
        """Apply a command and return the resulting claim.

        A :class:`Claim` succeeded if the returned claim names the caller's attempt.
        """
        current = self.find(command.request_id)
        if isinstance(command, Claim):
            if current.status is None:
                current = ClaimState(ClaimStatus.HELD, command.attempt, command.body_digest)
                self._state.claims[command.request_id] = current
            return current
        if current.attempt != command.attempt:
            return current
        if current.status is ClaimStatus.ABANDONED and isinstance(command, Finish):
            return self._finish_abandoned(command.request_id, current, command.answer)
        if current.status is not ClaimStatus.HELD:
            return current
        match command:
            case Finish(answer=answer):
                return self._end(command.request_id, current, ClaimStatus.FINISHED, answer)
            case Abandon():
                return self._end(command.request_id, current, ClaimStatus.ABANDONED, None)
            case Release():
                del self._state.claims[command.request_id]
                return _FREE

    def _end(
        self,
        request_id: str,
        current: ClaimState,
        status: ClaimStatus,
        answer: RecordedAnswer | None,
    ) -> ClaimState:
        self._state.ended_order.append(request_id)
        ended = self._replace(request_id, current, status, answer)
        self._evict_claims()
        return ended

    def _finish_abandoned(
        self, request_id: str, current: ClaimState, answer: RecordedAnswer
    ) -> ClaimState:
        """Finish a claim that was abandoned before its attempt received the answer."""
        return self._replace(request_id, current, ClaimStatus.FINISHED, answer)

    def _replace(
        self,
        request_id: str,
        current: ClaimState,
        status: ClaimStatus,
        answer: RecordedAnswer | None,
    ) -> ClaimState:
        ended = ClaimState(status, current.attempt, current.body_digest, answer)
        self._state.claims[request_id] = ended
        if answer is not None:
            self._state.answer_order.append(request_id)
            self._state.num_answer_bytes += len(answer.body)
        self._evict_answers()
        return ended

    def _evict_answers(self) -> None:
        state = self._state
        while state.num_answer_bytes > self._max_answer_bytes and len(state.answer_order) > 1:
            request_id = state.answer_order.pop(0)
            claim = state.claims[request_id]
            if claim.answer is not None:
                state.num_answer_bytes -= len(claim.answer.body)
            state.claims[request_id] = ClaimState(claim.status, claim.attempt, claim.body_digest)

    def _evict_claims(self) -> None:
        state = self._state
        while len(state.ended_order) > self._max_ended_claims:
            request_id = state.ended_order.pop(0)
            claim = state.claims.pop(request_id)
            if claim.answer is not None:
                state.num_answer_bytes -= len(claim.answer.body)
                state.answer_order.remove(request_id)
