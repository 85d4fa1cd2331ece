"""Typed access to facts: monotonically increasing numbers that are propagated by gossip."""

from hollowrack.membership.service import MembershipService
from hollowrack.membership.types import Fact

WEIGHT_FACT_PREFIX = "weights/"
RUN_FACT_PREFIX = "run/"
LEAVING_FACT_PREFIX = "leaving/"
LEAVING_MARK = 1


class FleetFacts:
    """Reads and publishes weight versions and leaving back ends as facts.

    Args:
        membership: Holds the facts and propagates them.
    """

    def __init__(self, membership: MembershipService) -> None:
        self._membership = membership

    def target_version(self, model: str) -> int | None:
        """Return the newest announced weight version of a model; ``None`` if there is none."""
        return self._membership.swim.facts.get(WEIGHT_FACT_PREFIX + model)

    def trainer_version(self, run: str) -> int:
        """Return the newest version announced by a run's trainer; 0 if there is none."""
        return self._membership.swim.facts.get(RUN_FACT_PREFIX + run, 0)

    def raise_version(self, run: str, model: str, version: int) -> None:
        """Publish a version that a run's trainer has announced."""
        self._membership.raise_fact(WEIGHT_FACT_PREFIX + model, version)
        self._membership.raise_fact(RUN_FACT_PREFIX + run, version)

    def is_leaving(self, address: str) -> bool:
        """Whether a back end is marked as leaving."""
        return LEAVING_FACT_PREFIX + address in self._membership.swim.facts

    def mark_leaving(self, address: str) -> None:
        """Mark a back end as leaving permanently; a replacement must have another address."""
        self._membership.raise_fact(LEAVING_FACT_PREFIX + address, LEAVING_MARK)


def leaving_address(fact: Fact) -> str | None:
    """Return the address of the back end that a fact marks as leaving; ``None`` for other facts."""
    if fact.name.startswith(LEAVING_FACT_PREFIX):
        return fact.name.removeprefix(LEAVING_FACT_PREFIX)
    return None
