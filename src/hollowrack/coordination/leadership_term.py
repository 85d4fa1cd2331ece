"""Detector of the start of a new term of leadership of this node."""

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership


class LeadershipTerm:
    """The current term of leadership, as seen by one component that acts only as the leader.

    Args:
        leadership: Provides the fencing token that identifies a term.
    """

    def __init__(self, leadership: Leadership) -> None:
        self._leadership = leadership
        self._token: int | None = None
        self._began_s = 0.0

    def update(self) -> bool:
        """Record that this node leads; returns whether a new term began since the last call."""
        if self._token == self._leadership.fencing_token:
            return False
        self._token = self._leadership.fencing_token
        self._began_s = now_s()
        return True

    @property
    def age_s(self) -> float:
        """Time since the term was first recorded, in seconds."""
        return now_s() - self._began_s
