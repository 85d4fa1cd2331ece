"""Datagrams of the membership protocol and the full exchange over TCP."""

from dataclasses import dataclass

from hollowrack.membership.types import Fact, Member
from hollowrack.messages.codec import message


@dataclass(frozen=True)
class PiggybackedUpdates:
    """Updates that ride on every datagram."""

    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()


@message("membership.ping")
@dataclass(frozen=True)
class Ping:
    """Asks for an :class:`Ack` with the same number."""

    number: int
    rumours: PiggybackedUpdates


@message("membership.ack")
@dataclass(frozen=True)
class Ack:
    """Answers a ping."""

    number: int
    rumours: PiggybackedUpdates


@message("membership.ping_request")
@dataclass(frozen=True)
class PingRequest:
    """Asks a third node to ping ``target`` and pass its ack on."""

    number: int
    target: str
    rumours: PiggybackedUpdates


@message("membership.exchange")
@dataclass(frozen=True)
class FullState:
    """Everything one node knows; answered with the same by its peer (over TCP)."""

    members: tuple[Member, ...]
    facts: tuple[Fact, ...]


@message("membership.digest")
@dataclass(frozen=True)
class Digest:
    """Hash of everything a node knows; a peer with the same hash needs no exchange."""

    state_hash: int


@message("membership.digest_answer")
@dataclass(frozen=True)
class DigestAnswer:
    """Whether the peer's hash is the same."""

    is_same: bool


GossipMessage = Ping | Ack | PingRequest
