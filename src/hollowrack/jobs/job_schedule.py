"""Where a job stands among the others of its node: which came first, and when each is due."""

from dataclasses import dataclass

from hollowrack.forwarding.dispatch_rank import NEVER_DUE_S
from hollowrack.forwarding.types import Route

# What is generated has to be scored and listed in time: a scorer's answer, the wait for others that
# are listed by the same write, and the write.
LISTING_RESERVE_S = 0.5


@dataclass(frozen=True)
class JobSchedule:
    """What places a job among the others of this node.

    Attributes:
        sequence: Its number on this node; earlier jobs have lower ones.
        owned_s: When this node began to own it, on the loop's clock.
    """

    sequence: int
    owned_s: float

    def deadline_s(self, route: Route | None) -> float:
        """Return until when its texts must be whole for the results to be listed in time.

        Args:
            route: The job's route; ``None`` if it is not known.

        Returns:
            A time on the loop's clock; infinite if no deadline is stated.
        """
        if route is None or route.result_deadline_s is None:
            return NEVER_DUE_S
        return self.owned_s + route.result_deadline_s - LISTING_RESERVE_S
