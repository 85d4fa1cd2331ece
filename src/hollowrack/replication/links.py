"""How the replicated groups of a node reach other nodes."""

from typing import Any, Protocol

from returns.result import Result

from hollowrack.results import Problem


class NodeLinks(Protocol):
    """Links to other nodes and what is known of them."""

    async def request(self, node: str, message: object, timeout_s: float) -> Result[Any, Problem]:
        """Send a message and wait for its answer."""

    def post(self, node: str, message: object) -> None:
        """Send a message that may be lost."""

    def is_reachable(self, node: str) -> bool:
        """Whether a node is believed to run in a zone that answers."""

    def incarnation_of(self, node: str) -> str | None:
        """The incarnation a node announced last, if any is known."""

    def is_leaving_or_dead(self, node: str) -> bool:
        """Whether a node is leaving, was declared dead by its own zone, or was never heard of."""

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        """Live nodes in the order in which they should hold ``key``, zones taking turns.

        With a preferred zone, its nodes come first.
        """
