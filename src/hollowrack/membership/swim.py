"""Failure detection and dissemination, as a state machine without I/O, clock or randomness.

SWIM (Das, Gupta and Motivala, 2002) with three changes that this fleet needs:

* A node is watched by a fixed number of neighbours on a ring of its own zone instead of random
  probers, so the time to the first missed probe is bounded and the cost does not grow with the
  fleet.
* Only nodes of the same zone may suspect a node. What another zone sees is reachability of the zone
  as a whole, so a cut is one event and never fifty deaths.
* A few probes cross zones; they carry rumours over and keep track of which zones answer.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import xxhash

from hollowrack.hashing import text_hash
from hollowrack.membership.dissemination import DisseminationQueue
from hollowrack.membership.messages import Ack, GossipMessage, PiggybackedUpdates, Ping, PingRequest
from hollowrack.membership.types import Fact, Member, MemberStatus

PROBE_INTERVAL_S = 1.0
PROBE_RETRY_DELAY_S = 0.25
INDIRECT_PROBE_DELAY_S = 0.5
PROBE_TIMEOUT_S = 1.0
SUSPICION_TIMEOUT_S = 1.5
DEAD_MEMBER_TTL_S = 600.0
ZONE_UNREACHABLE_TIMEOUT_S = 4.0
NUM_PROBERS = 3
NUM_INDIRECT_PROBES = 3
NUM_ZONE_DELEGATES = 2
EXCHANGE_INTERVAL_S = 10.0
FIRST_EXCHANGE_INTERVAL_S = 0.25
MAX_MEMBERS_PER_DATAGRAM = 4
MAX_FACTS_PER_DATAGRAM = 6


@dataclass(frozen=True)
class Datagram:
    """A message to a node's address."""

    address: str
    message: GossipMessage


@dataclass
class _Probe:
    """A ping that waits for its ack."""

    target: str
    sent_at_s: float
    num_pings: int = 1
    is_indirect: bool = False


@dataclass
class _Relay:
    """A ping sent on behalf of another node."""

    origin_address: str
    origin_number: int
    expires_at_s: float


@dataclass(frozen=True)
class MembershipChange:
    """A member's status as it changed at this node."""

    member: Member
    previous: MemberStatus | None


@dataclass
class _ZoneContact:
    """When a zone was last heard from, and since when it has been probed in vain."""

    last_heard_s: float
    unanswered_since_s: float | None = field(default=None)


class Swim:
    """The membership protocol of one node.

    Outgoing datagrams gather in ``outbox``, status changes in ``changes``, risen facts in
    ``risen_facts`` and peers to compare everything with in ``exchange_with``; the owner drains them
    after each call. The full exchanges catch what rumours missed, as after a cut.

    Args:
        own: This node's own entry.
        seeds: Members to start from.
        rng: Source of randomness.
        now_s: Present time in seconds on the owner's monotonic clock.
    """

    def __init__(
        self, own: Member, seeds: Iterable[Member], rng: random.Random, now_s: float
    ) -> None:
        self.own = own
        self.members: dict[str, Member] = {own.node: own}
        self.facts: dict[str, int] = {}
        self.outbox: list[Datagram] = []
        self.changes: list[MembershipChange] = []
        self.raised_facts: list[Fact] = []
        self.exchange_peers: list[str] = []
        self._rng = rng
        self._now_s = now_s
        self._numbers = 0
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._suspected_at_s: dict[str, float] = {}
        self._died_at_s: dict[str, float] = {}
        self._zones: dict[str, _ZoneContact] = {}
        self._member_rumours: DisseminationQueue[Member] = DisseminationQueue()
        self._fact_rumours: DisseminationQueue[Fact] = DisseminationQueue()
        self._next_probe_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._next_exchange_s = now_s
        self._ring: list[str] | None = None
        for seed in seeds:
            self._merge_member(seed)
        # What everybody starts from is no news; the full exchanges settle any difference.
        self._member_rumours.clear()
        # Merging the seeds may have raised this node's generation above an earlier life's.
        self._member_rumours.add(own.node, self.own)

    # -- reads ------------------------------------------------------------------------------

    def is_reachable(self, node: str) -> bool:
        """Whether a node is believed to run in a zone that answers."""
        member = self.members.get(node)
        if member is None or not member.is_running:
            return False
        return self.is_zone_reachable(member.zone)

    def is_zone_reachable(self, zone: str) -> bool:
        """Whether a zone answered lately; unknown zones count as reachable."""
        contact = self._zones.get(zone)
        if zone == self.own.zone or contact is None or contact.unanswered_since_s is None:
            return True
        return self._now_s - contact.unanswered_since_s < ZONE_UNREACHABLE_TIMEOUT_S

    def state_hash(self) -> int:
        """Return a hash that is equal on nodes that know the same."""
        digest = xxhash.xxh64()
        for node in sorted(self.members):
            member = self.members[node]
            digest.update(f"{node}/{member.incarnation}/{member.rank};".encode())
        for name in sorted(self.facts):
            digest.update(f"{name}={self.facts[name]};".encode())
        return digest.intdigest() >> 1

    # -- inputs -----------------------------------------------------------------------------

    def tick(self, now_s: float) -> None:
        """Let time pass: probes, their timeouts and suspicions that ran out."""
        self._now_s = now_s
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            self._probe_round()
        if now_s >= self._next_exchange_s:
            self._start_exchange()
        self._check_probes()
        self._check_suspicions()
        self._forget()

    def receive(self, sender: str, message: GossipMessage) -> None:
        """Handle a datagram from the node named ``sender``."""
        self.merge(message.rumours.members, message.rumours.facts)
        self._heard_from(sender)
        match message:
            case Ping():
                self._answer_ping(sender, message)
            case Ack():
                self._on_ack(message)
            case PingRequest():
                self._relay_ping(sender, message)

    def merge(self, members: Iterable[Member], facts: Iterable[Fact]) -> None:
        """Take in what another node knows."""
        for member in members:
            self._merge_member(member)
        for fact in facts:
            self.raise_fact(fact.name, fact.value)

    def raise_fact(self, name: str, value: int) -> bool:
        """Raise a fact and spread it; lower values are ignored. Returns whether it rose."""
        if value <= self.facts.get(name, -1):
            return False
        self.facts[name] = value
        fact = Fact(name, value)
        self._fact_rumours.add(name, fact)
        self.raised_facts.append(fact)
        return True

    def leave(self) -> None:
        """Announce a planned stop."""
        self._restate_own(MemberStatus.LEAVING)

    # -- full exchanges ---------------------------------------------------------------------

    def _start_exchange(self) -> None:
        others = sorted(
            member.node
            for member in self.members.values()
            if member.is_running and member.node != self.own.node
        )
        is_alone = not any(self.members[node].incarnation for node in others)
        interval_s = FIRST_EXCHANGE_INTERVAL_S if is_alone else EXCHANGE_INTERVAL_S
        self._next_exchange_s = self._now_s + interval_s * self._rng.uniform(0.5, 1.5)
        if others:
            self.exchange_peers.append(self._rng.choice(others))

    # -- probing ----------------------------------------------------------------------------

    def _probe_round(self) -> None:
        for target in self._watched():
            self._start_probe(target)
        cross_zone = self._cross_zone_target()
        if cross_zone is not None:
            self._start_probe(cross_zone)

    def _watched(self) -> list[str]:
        """The neighbours on the zone's ring that this node watches."""
        ring = self._zone_ring()
        position = ring.index(self.own.node)
        after = ring[position + 1 :] + ring[:position]
        return after[:NUM_PROBERS]

    def _zone_ring(self) -> list[str]:
        if self._ring is None:
            zone_mates = [
                member.node
                for member in self.members.values()
                if member.zone == self.own.zone and member.is_running
            ]
            self._ring = sorted(
                {*zone_mates, self.own.node}, key=lambda node: (text_hash(node), node)
            )
        return self._ring

    def _cross_zone_target(self) -> str | None:
        """A node of another zone, if this node is one of its zone's delegates this round."""
        ring = self._zone_ring()
        if ring.index(self.own.node) >= max(NUM_ZONE_DELEGATES, len(ring) // 8):
            return None
        others = sorted(
            member.node
            for member in self.members.values()
            if member.zone != self.own.zone and member.is_running
        )
        return self._rng.choice(others) if others else None

    def _start_probe(self, target: str) -> None:
        number = self._next_number()
        self._probes[number] = _Probe(target, self._now_s)
        self._ping(target, number)

    def _ping(self, target: str, number: int) -> None:
        member = self.members[target]
        rumours = self._rumours()
        if member.status is MemberStatus.SUSPECT and member not in rumours.members:
            # The suspect must hear of it, to be able to refute.
            rumours = replace(rumours, members=(*rumours.members, member))
        self.outbox.append(Datagram(member.address, Ping(number, rumours)))

    def _check_probes(self) -> None:
        for number, probe in list(self._probes.items()):
            if probe.target not in self.members:
                del self._probes[number]
                continue
            waited_s = self._now_s - probe.sent_at_s
            if waited_s >= PROBE_TIMEOUT_S:
                del self._probes[number]
                self._probe_failed(probe.target)
            elif waited_s >= INDIRECT_PROBE_DELAY_S and not probe.is_indirect:
                probe.is_indirect = True
                self._probe_indirectly(probe.target, number)
            elif waited_s >= PROBE_RETRY_DELAY_S and probe.num_pings == 1:
                probe.num_pings += 1
                self._ping(probe.target, number)
        for number, relay in list(self._relays.items()):
            if self._now_s >= relay.expires_at_s:
                del self._relays[number]

    def _probe_indirectly(self, target: str, number: int) -> None:
        helpers = [node for node in self._zone_ring() if node not in (self.own.node, target)]
        if self.members[target].zone != self.own.zone:
            return
        for helper in self._rng.sample(helpers, min(NUM_INDIRECT_PROBES, len(helpers))):
            request = PingRequest(number, target, self._rumours())
            self.outbox.append(Datagram(self.members[helper].address, request))

    def _probe_failed(self, target: str) -> None:
        member = self.members[target]
        if member.zone != self.own.zone:
            contact = self._zones.setdefault(member.zone, _ZoneContact(self._now_s))
            if contact.unanswered_since_s is None:
                contact.unanswered_since_s = self._now_s
            return
        if member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            suspect = member.with_status(MemberStatus.SUSPECT)
            if member.status is MemberStatus.LEAVING:
                suspect = member.with_status(MemberStatus.DEAD)
            self._merge_member(suspect)

    # -- answering --------------------------------------------------------------------------

    def _answer_ping(self, sender: str, message: Ping) -> None:
        member = self.members.get(sender)
        if member is None:
            return
        rumours = self._rumours()
        if member.status is not MemberStatus.ALIVE and member not in rumours.members:
            # A node that is thought dead and still pings must hear of it, to be able to refute.
            rumours = replace(rumours, members=(*rumours.members, member))
        self.outbox.append(Datagram(member.address, Ack(message.number, rumours)))

    def _on_ack(self, message: Ack) -> None:
        self._probes.pop(message.number, None)
        relay = self._relays.pop(message.number, None)
        if relay is not None:
            ack = Ack(relay.origin_number, self._rumours())
            self.outbox.append(Datagram(relay.origin_address, ack))

    def _relay_ping(self, sender: str, message: PingRequest) -> None:
        origin = self.members.get(sender)
        if origin is None or message.target not in self.members:
            return
        number = self._next_number()
        expires_at_s = self._now_s + PROBE_TIMEOUT_S
        self._relays[number] = _Relay(origin.address, message.number, expires_at_s)
        self._ping(message.target, number)

    def _heard_from(self, sender: str) -> None:
        member = self.members.get(sender)
        if member is None:
            return
        contact = self._zones.setdefault(member.zone, _ZoneContact(self._now_s))
        contact.last_heard_s = self._now_s
        contact.unanswered_since_s = None

    # -- merging ----------------------------------------------------------------------------

    def _merge_member(self, member: Member) -> None:
        if member.node == self.own.node:
            self._refute(member)
            return
        known = self.members.get(member.node)
        if known is not None and member.rank <= known.rank:
            return
        if known is None and member.status is MemberStatus.DEAD:
            return
        self.members[member.node] = member
        self._ring = None
        self._member_rumours.add(member.node, member)
        self._note_status(member)
        previous = known.status if known is not None else None
        self.changes.append(MembershipChange(member, previous))

    def _note_status(self, member: Member) -> None:
        self._suspected_at_s.pop(member.node, None)
        self._died_at_s.pop(member.node, None)
        if member.status is MemberStatus.SUSPECT:
            self._suspected_at_s[member.node] = self._now_s
        elif member.status is MemberStatus.DEAD:
            self._died_at_s[member.node] = self._now_s

    def _refute(self, statement: Member) -> None:
        """Overrule a statement about this node that is not what it says of itself."""
        is_own_statement = (
            statement.incarnation == self.own.incarnation and statement.rank <= self.own.rank
        )
        if is_own_statement or statement.generation < self.own.generation:
            return
        self.own = replace(self.own, generation=statement.generation + 1)
        self._restate_own(self.own.status)

    def _restate_own(self, status: MemberStatus) -> None:
        self.own = self.own.with_status(status)
        self.members[self.own.node] = self.own
        self._member_rumours.add(self.own.node, self.own)

    def _check_suspicions(self) -> None:
        for node, suspected_at_s in list(self._suspected_at_s.items()):
            member = self.members[node]
            if member.zone != self.own.zone:
                continue  # Only its own zone may declare a node dead.
            if self._now_s - suspected_at_s >= SUSPICION_TIMEOUT_S:
                self._merge_member(member.with_status(MemberStatus.DEAD))

    def _forget(self) -> None:
        for node, died_at_s in list(self._died_at_s.items()):
            if self._now_s - died_at_s >= DEAD_MEMBER_TTL_S:
                del self._died_at_s[node]
                del self.members[node]
                self._ring = None

    def _rumours(self) -> PiggybackedUpdates:
        num_members = len(self.members)
        return PiggybackedUpdates(
            self._member_rumours.next_updates(MAX_MEMBERS_PER_DATAGRAM, num_members),
            self._fact_rumours.next_updates(MAX_FACTS_PER_DATAGRAM, num_members),
        )

    def _next_number(self) -> int:
        self._numbers += 1
        return self._numbers
