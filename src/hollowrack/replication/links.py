"""Interface of the replicated groups to the other nodes."""

from typing import Any, Protocol

from returns.result import Result

from hollowrack.results import Problem


class NodeLinks(Protocol):
    """Connections to other nodes and the membership view of this node."""

    async def request(self, node: str, message: object, timeout_s: float) -> Result[Any, Problem]:
        """Send a request and wait for its answer."""

    def post(self, node: str, message: object) -> None:
        """Send a one-way message without a delivery guarantee."""

    def is_reachable(self, node: str) -> bool:
        """Whether a node is not known to be dead and its zone is reachable."""

    def incarnation_of(self, node: str) -> str | None:
        """Return the last incarnation announced by a node; ``None`` if unknown."""

    def is_leaving_or_dead(self, node: str) -> bool:
        """Whether a node is leaving, declared dead by its own zone, or unknown."""

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        """Return the live nodes in the order in which they should store ``key``.

        The order alternates between zones; nodes of the preferred zone come first.
        """
