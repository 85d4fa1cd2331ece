"""Numbers that only rise and that every node learns by gossip, by what they are about."""

from hollowrack.membership.service import MembershipService
from hollowrack.membership.types import Fact

WEIGHT_FACT_PREFIX = "weights/"
RUN_FACT_PREFIX = "run/"
LEAVING_FACT_PREFIX = "leaving/"
LEAVING_MARK = 1


class FleetFacts:
    """Typed access to the fleet's facts.

    Args:
        membership: Spreads them.
    """

    def __init__(self, membership: MembershipService) -> None:
        self._membership = membership

    def target_version(self, model: str) -> int | None:
        """Return the newest weight version that a trainer announced for a model."""
        return self._membership.swim.facts.get(WEIGHT_FACT_PREFIX + model)

    def trainer_version(self, run: str) -> int:
        """Return the version that a run's trainer announced last."""
        return self._membership.swim.facts.get(RUN_FACT_PREFIX + run, 0)

    def raise_version(self, run: str, model: str, version: int) -> None:
        """Spread that a run's trainer has announced a version."""
        self._membership.raise_fact(WEIGHT_FACT_PREFIX + model, version)
        self._membership.raise_fact(RUN_FACT_PREFIX + run, version)

    def is_leaving(self, address: str) -> bool:
        """Whether a back end is marked as leaving."""
        return LEAVING_FACT_PREFIX + address in self._membership.swim.facts

    def mark_leaving(self, address: str) -> None:
        """Mark a back end as leaving, for good: it comes back under another address if at all."""
        self._membership.raise_fact(LEAVING_FACT_PREFIX + address, LEAVING_MARK)


def leaving_address(fact: Fact) -> str | None:
    """Return the back end that a fact marks as leaving, if it is about one."""
    if fact.name.startswith(LEAVING_FACT_PREFIX):
        return fact.name.removeprefix(LEAVING_FACT_PREFIX)
    return None
