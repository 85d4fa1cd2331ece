"""Sequence number and deadline of a job among the jobs of its node."""

from dataclasses import dataclass

from hollowrack.forwarding.dispatch_rank import NO_DEADLINE_S
from hollowrack.forwarding.types import Route

# Covers the scorer's answer, the delay for results that share a write, and the write itself.
LISTING_RESERVE_S = 0.5


@dataclass(frozen=True)
class JobSchedule:
    """Sequence number and start of a job on this node, from which its deadline follows.

    Attributes:
        sequence: Number on this node; earlier jobs have lower ones.
        owned_s: Time at which this node became its owner, on the event loop's clock.
    """

    sequence: int
    owned_s: float

    def deadline_s(self, route: Route | None) -> float:
        """Return the time by which generation must end for results to be listed in time.

        Args:
            route: Route of the job; ``None`` if unknown.

        Returns:
            A time on the event loop's clock; infinite without a deadline.
        """
        if route is None or route.result_deadline_s is None:
            return NO_DEADLINE_S
        return self.owned_s + route.result_deadline_s - LISTING_RESERVE_S
