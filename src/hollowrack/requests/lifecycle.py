"""States of a request; the methods of a state are its legal transitions.

``Received -> Admitted -> Dispatched -> Answered | Unresolved``. Only :class:`Received` and
:class:`Admitted` can make a :class:`Refused`, which asserts that the request did not run: in both
states no byte has been sent to a back end. :class:`Dispatched` cannot refuse. It returns to
:class:`Admitted` only on proof that the request did not run: the connection could not be
established, or the back end refused explicitly.
"""

from dataclasses import dataclass
from enum import Enum

from hollowrack.results import Problem, ResultCode


class NotRunCode(Enum):
    """Result codes which assert that a request did not run."""

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
    """Result codes of a request that may have run."""

    OUTCOME_UNKNOWN = ResultCode.OUTCOME_UNKNOWN
    ANSWER_INCOMPLETE = ResultCode.ANSWER_INCOMPLETE
    BACK_END_FAILED = ResultCode.BACK_END_FAILED


class NotRunProof(Enum):
    """Proof that a dispatched request did not run."""

    NO_CONNECTION = "the connection was never made"
    EXPLICIT_REFUSAL = "the back end refused explicitly"


@dataclass(frozen=True)
class Refused:
    """Final state: the request did not run."""

    problem: Problem


@dataclass(frozen=True)
class Unresolved:
    """Final state: the request may have run."""

    problem: Problem


@dataclass(frozen=True)
class Answered:
    """Final state: the back end's complete answer was received."""

    address: str


@dataclass(frozen=True)
class Received:
    """Initial state: the request was read from its caller."""

    request_id: str

    def refuse(self, code: NotRunCode, detail: str, retry_after_s: float | None = None) -> Refused:
        """Refuse the request."""
        return Refused(Problem(code.value, detail, self.request_id, retry_after_s))

    def admit(self) -> "Admitted":
        """Admit the request."""
        return Admitted(self.request_id)


@dataclass(frozen=True)
class Admitted:
    """The request may be dispatched; no byte of it has been sent to a back end."""

    request_id: str

    def refuse(self, code: NotRunCode, detail: str, retry_after_s: float | None = None) -> Refused:
        """Refuse the request."""
        return Refused(Problem(code.value, detail, self.request_id, retry_after_s))

    def dispatch(self, address: str) -> "Dispatched":
        """Record the dispatch; must be called before the first byte is sent."""
        return Dispatched(self.request_id, address)


@dataclass(frozen=True)
class Dispatched:
    """Bytes of the request may have been sent to a back end."""

    request_id: str
    address: str

    def did_not_run(self, proof: NotRunProof) -> Admitted:
        """Return to :class:`Admitted`, on proof that the request did not run."""
        del proof  # Required so that the caller states its proof.
        return Admitted(self.request_id)

    def answered(self) -> Answered:
        """Record that the complete answer was received."""
        return Answered(self.address)

    def unresolved(self, code: UnresolvedCode, detail: str) -> Unresolved:
        """End the request with an unknown outcome."""
        return Unresolved(Problem(code.value, detail, self.request_id))


FinalState = Refused | Unresolved | Answered
