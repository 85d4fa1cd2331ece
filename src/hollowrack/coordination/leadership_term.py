"""Since when this node leads, as seen by what it does while it leads."""

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership


class LeadershipTerm:
    """Tells one part of a node when its leadership is a new one.

    Args:
        leadership: Whether this node leads.
    """

    def __init__(self, leadership: Leadership) -> None:
        self._leadership = leadership
        self._token: int | None = None
        self._began_s = 0.0

    def update(self) -> bool:
        """Note that this node leads now; returns whether it did not when this was last noted."""
        if self._token == self._leadership.fencing_token:
            return False
        self._token = self._leadership.fencing_token
        self._began_s = now_s()
        return True

    @property
    def age_s(self) -> float:
        """How long this node has led, in seconds."""
        return now_s() - self._began_s
