"""Members, their status, and facts disseminated with them."""

from dataclasses import dataclass, replace
from enum import IntEnum


class MemberStatus(IntEnum):
    """Status of a member; at equal generation the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True)
class Member:
    """State of a node as known to another.

    Attributes:
        node: Name of the node.
        zone: Zone of the node.
        address: ``IP:PORT`` of its node listener, for TCP and UDP.
        incarnation: Identifier of its state; changes at a restart without a data directory.
        generation: SWIM's incarnation number; raised by the node to refute a suspicion.
        status: Status according to the latest update.
    """

    node: str
    zone: str
    address: str
    incarnation: str
    generation: int = 0
    status: MemberStatus = MemberStatus.ALIVE

    @property
    def rank(self) -> tuple[int, int]:
        """Precedence of updates about one node: the highest wins."""
        return (self.generation, int(self.status))

    @property
    def is_running(self) -> bool:
        """Whether the node is not declared dead."""
        return self.status is not MemberStatus.DEAD

    @property
    def accepts_work(self) -> bool:
        """Whether the node may be given new work."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def with_status(self, status: MemberStatus) -> "Member":
        """Return the member with another status."""
        return replace(self, status=status)


@dataclass(frozen=True)
class Fact:
    """Named integer that only increases, replicated to all nodes.

    Examples: the active bundle revision, the target weight version of a model, a leaving mark.
    """

    name: str
    value: int
