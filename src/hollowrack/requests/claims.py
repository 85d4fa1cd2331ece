"""Claims of unsafe requests: a deterministic state machine driven by the replicated log.

An identifier is claimed by one attempt before the first byte of the request goes out. A claim ends
finished (with the answer), released (the attempt proved that nothing ran) or abandoned (nobody will
ever know). Finished and abandoned claims are kept for the latest ``MAX_KEPT_CLAIMS`` identifiers of
a group, counted in claims and not in time, so that no clock decides whether a repetition runs.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import value_or_raise

MAX_KEPT_CLAIMS = 65_536
MAX_KEPT_ANSWER_BYTES = 4 * 1024 * 1024


class ClaimStatus(IntEnum):
    """Life of a claim."""

    HELD = 0
    FINISHED = 1
    ABANDONED = 2


@message("claims.claim")
@dataclass(frozen=True)
class Claim:
    """Claim an identifier for one attempt.

    Attributes:
        request_id: The caller's identifier.
        body_digest: Hash of the request, to recognise an identifier used for another one.
        attempt: Unique name of the attempt, ``<replica>/<number>``.
    """

    request_id: str
    body_digest: int
    attempt: str


@message("claims.finish")
@dataclass(frozen=True)
class Finish:
    """The attempt has the whole answer."""

    request_id: str
    attempt: str
    answer: RecordedAnswer


@message("claims.release")
@dataclass(frozen=True)
class Release:
    """The attempt proved that nothing ran; the identifier is free again."""

    request_id: str
    attempt: str


@message("claims.abandon")
@dataclass(frozen=True)
class Abandon:
    """Nobody will ever know what became of the attempt."""

    request_id: str
    attempt: str


ClaimCommand = Claim | Finish | Release | Abandon


@message("claims.state_of")
@dataclass(frozen=True)
class ClaimState:
    """One claim, and the outcome of every command about it.

    Attributes:
        status: Where it stands; ``None`` if the identifier is free.
        attempt: The attempt that holds or held it.
        body_digest: Hash of the request.
        answer: The answer, while it is kept.
    """

    status: ClaimStatus | None = None
    attempt: str = ""
    body_digest: int = 0
    answer: RecordedAnswer | None = None


@message("claims.snapshot")
@dataclass
class ClaimsSnapshot:
    """The whole state; also the format of its snapshot.

    Attributes:
        claims: Claims by identifier.
        ended_order: Identifiers of ended claims, oldest first.
        num_answer_bytes: Bytes of the kept answers.
        answer_order: Identifiers whose answers are kept, oldest first.
    """

    claims: dict[str, ClaimState] = field(default_factory=dict)
    ended_order: list[str] = field(default_factory=list)
    num_answer_bytes: int = 0
    answer_order: list[str] = field(default_factory=list)


_FREE = ClaimState()


class RequestClaims:
    """The claims' state machine; implements ``replication.types.StateMachine``.

    Args:
        max_kept_claims: Ended claims kept.
        max_answer_bytes: Bytes of answers kept.
    """

    def __init__(
        self,
        max_kept_claims: int = MAX_KEPT_CLAIMS,
        max_answer_bytes: int = MAX_KEPT_ANSWER_BYTES,
    ) -> None:
        self._max_kept_claims = max_kept_claims
        self._max_answer_bytes = max_answer_bytes
        self._state = ClaimsSnapshot()

    def apply(self, command: bytes) -> bytes:
        """Apply one encoded command and return the encoded :class:`ClaimState` after it."""
        decoded: ClaimCommand = value_or_raise(codec.decode(command))
        return codec.encode(self.execute(decoded))

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return codec.encode(self._state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state."""
        self._state = value_or_raise(codec.decode(snapshot)) if snapshot else ClaimsSnapshot()

    def find(self, request_id: str) -> ClaimState:
        """Return the claim of an identifier; a free one if there is none."""
        return self._state.claims.get(request_id, _FREE)

    def execute(self, command: ClaimCommand) -> ClaimState:
        """Apply one command; the caller compares the attempt in the outcome with its own."""
        known = self.find(command.request_id)
        if isinstance(command, Claim):
            if known.status is None:
                known = ClaimState(ClaimStatus.HELD, command.attempt, command.body_digest)
                self._state.claims[command.request_id] = known
            return known
        if known.attempt != command.attempt:
            return known
        if known.status is ClaimStatus.ABANDONED and isinstance(command, Finish):
            return self._keep_late_answer(command.request_id, known, command.answer)
        if known.status is not ClaimStatus.HELD:
            return known
        match command:
            case Finish(answer=answer):
                return self._end(command.request_id, known, ClaimStatus.FINISHED, answer)
            case Abandon():
                return self._end(command.request_id, known, ClaimStatus.ABANDONED, None)
            case Release():
                del self._state.claims[command.request_id]
                return _FREE

    def _end(
        self,
        request_id: str,
        known: ClaimState,
        status: ClaimStatus,
        answer: RecordedAnswer | None,
    ) -> ClaimState:
        self._state.ended_order.append(request_id)
        ended = self._replace(request_id, known, status, answer)
        self._drop_old_claims()
        return ended

    def _keep_late_answer(
        self, request_id: str, known: ClaimState, answer: RecordedAnswer
    ) -> ClaimState:
        """An attempt that was given up on turned out to have its answer after all."""
        return self._replace(request_id, known, ClaimStatus.FINISHED, answer)

    def _replace(
        self,
        request_id: str,
        known: ClaimState,
        status: ClaimStatus,
        answer: RecordedAnswer | None,
    ) -> ClaimState:
        ended = ClaimState(status, known.attempt, known.body_digest, answer)
        self._state.claims[request_id] = ended
        if answer is not None:
            self._state.answer_order.append(request_id)
            self._state.num_answer_bytes += len(answer.body)
        self._drop_old_answers()
        return ended

    def _drop_old_answers(self) -> None:
        state = self._state
        while state.num_answer_bytes > self._max_answer_bytes and len(state.answer_order) > 1:
            request_id = state.answer_order.pop(0)
            claim = state.claims[request_id]
            if claim.answer is not None:
                state.num_answer_bytes -= len(claim.answer.body)
            state.claims[request_id] = ClaimState(claim.status, claim.attempt, claim.body_digest)

    def _drop_old_claims(self) -> None:
        state = self._state
        while len(state.ended_order) > self._max_kept_claims:
            request_id = state.ended_order.pop(0)
            claim = state.claims.pop(request_id)
            if claim.answer is not None:
                state.num_answer_bytes -= len(claim.answer.body)
                state.answer_order.remove(request_id)
