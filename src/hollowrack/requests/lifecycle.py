"""The states of a request, with only the legal transitions as methods.

``Received -> Admitted -> Dispatched -> Finished``. A refusal that says "not run" is an object that
only :class:`Received` and :class:`Admitted` can make; both are states in which no byte has gone
towards a back end. :class:`Dispatched` cannot refuse. It returns to :class:`Admitted` only on proof
that nothing ran: the connection was never made, or the back end refused explicitly (brief, fifth
promise).
"""

from dataclasses import dataclass
from enum import Enum

from hollowrack.results import Problem, ResultCode


class NotRunCode(Enum):
    """The result codes that assert that a request did not run."""

    OVERLOADED = ResultCode.OVERLOADED
    NO_BACK_END = ResultCode.NO_BACK_END
    DEADLINE_EXPIRED = ResultCode.DEADLINE_EXPIRED
    STOPPING = ResultCode.STOPPING
    NO_QUORUM = ResultCode.NO_QUORUM
    BACK_END_REFUSED = ResultCode.BACK_END_REFUSED
    UNKNOWN_POOL = ResultCode.UNKNOWN_POOL
    UNKNOWN_MODEL = ResultCode.UNKNOWN_MODEL
    IDENTIFIER_REUSED = ResultCode.IDENTIFIER_REUSED


class UnresolvedCode(Enum):
    """The result codes for a request that may have run."""

    OUTCOME_UNKNOWN = ResultCode.OUTCOME_UNKNOWN
    ANSWER_INCOMPLETE = ResultCode.ANSWER_INCOMPLETE
    BACK_END_FAILED = ResultCode.BACK_END_FAILED


class NotRunProof(Enum):
    """Why it is certain that a dispatched request did not run."""

    NO_CONNECTION = "the connection was never made"
    EXPLICIT_REFUSAL = "the back end refused explicitly"


@dataclass(frozen=True)
class Refused:
    """Final: the request did not run."""

    problem: Problem


@dataclass(frozen=True)
class Unresolved:
    """Final: the request may have run."""

    problem: Problem


@dataclass(frozen=True)
class Answered:
    """Final: the back end's whole answer was received."""

    address: str


@dataclass(frozen=True)
class Received:
    """The request was read from its caller."""

    request_id: str

    def refuse(self, code: NotRunCode, detail: str, retry_after_s: float | None = None) -> Refused:
        """Refuse the request."""
        return Refused(Problem(code.value, detail, self.request_id, retry_after_s))

    def admit(self) -> "Admitted":
        """Let the request in."""
        return Admitted(self.request_id)


@dataclass(frozen=True)
class Admitted:
    """The request may be dispatched; nothing of it is at a back end."""

    request_id: str

    def refuse(self, code: NotRunCode, detail: str, retry_after_s: float | None = None) -> Refused:
        """Refuse the request."""
        return Refused(Problem(code.value, detail, self.request_id, retry_after_s))

    def dispatch(self, address: str) -> "Dispatched":
        """Record the dispatch; must be called before the first byte goes out."""
        return Dispatched(self.request_id, address)


@dataclass(frozen=True)
class Dispatched:
    """Bytes of the request may be at a back end."""

    request_id: str
    address: str

    def did_not_run(self, proof: NotRunProof) -> Admitted:
        """Take the dispatch back, on proof that nothing ran."""
        del proof  # The argument forces the caller to name its proof.
        return Admitted(self.request_id)

    def answered(self) -> Answered:
        """The whole answer was received."""
        return Answered(self.address)

    def unresolved(self, code: UnresolvedCode, detail: str) -> Unresolved:
        """Give up without knowing what became of the request."""
        return Unresolved(Problem(code.value, detail, self.request_id))


FinalState = Refused | Unresolved | Answered
