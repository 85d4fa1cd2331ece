"""Members, their status and the facts that spread with them."""

from dataclasses import dataclass, replace
from enum import IntEnum


class MemberStatus(IntEnum):
    """Status of a member; at equal generation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True)
class Member:
    """One node as known to another.

    Attributes:
        node: Name.
        zone: Zone it runs in.
        address: ``IP:PORT`` of its node listener, for TCP and UDP.
        incarnation: Identifier of its memory; changes when it restarts without a disk.
        generation: Raised by the node itself to refute what others say of it (SWIM's incarnation
            number).
        status: Whether it runs.
    """

    node: str
    zone: str
    address: str
    incarnation: str
    generation: int = 0
    status: MemberStatus = MemberStatus.ALIVE

    @property
    def rank(self) -> tuple[int, int]:
        """Order of statements about one node: the highest wins."""
        return (self.generation, int(self.status))

    @property
    def is_running(self) -> bool:
        """Whether the node can be expected to answer."""
        return self.status is not MemberStatus.DEAD

    @property
    def accepts_work(self) -> bool:
        """Whether the node should be given new work."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def with_status(self, status: MemberStatus) -> "Member":
        """The same statement with another status."""
        return replace(self, status=status)


@dataclass(frozen=True)
class Fact:
    """A number that only rises, known by name to the whole fleet.

    Examples: the bundle revision in force, the weight version a model should run, a leaving mark.
    """

    name: str
    value: int
