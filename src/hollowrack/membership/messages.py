"""Messages of the membership protocol: datagrams, and the full-state exchange over TCP."""

from dataclasses import dataclass

from hollowrack.membership.types import Fact, Member
from hollowrack.messages.codec import message


@dataclass(frozen=True)
class PiggybackedUpdates:
    """Updates of members and facts that are piggybacked on each datagram."""

    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()


@message("membership.ping")
@dataclass(frozen=True)
class Ping:
    """Direct probe; requests an :class:`Ack` with the same number."""

    number: int
    rumours: PiggybackedUpdates


@message("membership.ack")
@dataclass(frozen=True)
class Ack:
    """Answer to a ping with the same number."""

    number: int
    rumours: PiggybackedUpdates


@message("membership.ping_request")
@dataclass(frozen=True)
class PingRequest:
    """Indirect probe: asks another node to ping ``target`` and to forward its ack."""

    number: int
    target: str
    rumours: PiggybackedUpdates


@message("membership.exchange")
@dataclass(frozen=True)
class FullState:
    """All members and facts known to a node; the peer answers with its own (over TCP)."""

    members: tuple[Member, ...]
    facts: tuple[Fact, ...]


@message("membership.digest")
@dataclass(frozen=True)
class Digest:
    """Hash of a node's full state; peers with equal hashes skip the exchange."""

    state_hash: int


@message("membership.digest_answer")
@dataclass(frozen=True)
class DigestAnswer:
    """Whether the hash of the answering node is equal."""

    is_same: bool


GossipMessage = Ping | Ack | PingRequest
