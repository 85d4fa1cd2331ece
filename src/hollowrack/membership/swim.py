"""SWIM failure detection and dissemination: a state machine without I/O.

Time and randomness are inputs. Differences from SWIM (Das, Gupta and Motivala, 2002):

* A node is probed by a fixed number of neighbours on a ring of its zone, not by random members.
  This bounds the time to the first missed probe, at a cost independent of the number of nodes.
* Only nodes of the same zone may suspect a node. Other zones only track whether the whole zone is
  reachable, so a partition between zones causes no false deaths.
* A few probes cross zones; they disseminate updates and detect unreachable zones.
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
    """Outgoing message and the address of its recipient."""

    address: str
    message: GossipMessage


@dataclass
class _Probe:
    """Probe that waits for its ack.

    Attributes:
        target: Probed node.
        sent_s: Time of the first ping, in seconds.
        num_pings: Direct pings sent.
        is_indirect: Whether indirect probes have been requested.
    """

    target: str
    sent_s: float
    num_pings: int = 1
    is_indirect: bool = False


@dataclass
class _Relay:
    """Ping sent on behalf of another node.

    Attributes:
        origin_address: Address of the requesting node.
        origin_number: Number of its probe.
        expires_s: Time after which an ack is not forwarded, in seconds.
    """

    origin_address: str
    origin_number: int
    expires_s: float


@dataclass(frozen=True)
class MembershipChange:
    """Status change of a member as seen by this node.

    Attributes:
        member: The member with its new status.
        previous: Status before the change; ``None`` for a new member.
    """

    member: Member
    previous: MemberStatus | None


@dataclass
class _ZoneContact:
    """Reachability of a zone.

    Attributes:
        last_message_s: Time of the last message from the zone, in seconds.
        unanswered_since_s: Time of the first failed probe after that; ``None`` without one.
    """

    last_message_s: float
    unanswered_since_s: float | None = field(default=None)


class Swim:
    """Membership protocol of one node.

    Outgoing datagrams are collected in ``outbox``, status changes in ``changes``, raised facts in
    ``raised_facts`` and peers for a full-state exchange in ``exchange_peers``; the caller drains
    them after each call. The exchanges restore updates that were lost, for example in a partition.

    Args:
        own: Member entry of this node.
        seeds: Initial members.
        rng: Random source of probe times and peers.
        now_s: Current time of the caller's monotonic clock, in seconds.
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
        self._last_number = 0
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._suspected_s: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}
        self._zones: dict[str, _ZoneContact] = {}
        self._member_updates: DisseminationQueue[Member] = DisseminationQueue()
        self._fact_updates: DisseminationQueue[Fact] = DisseminationQueue()
        self._next_probe_s = now_s + rng.uniform(0, PROBE_INTERVAL_S)
        self._next_exchange_s = now_s
        self._cached_ring: list[str] | None = None
        for seed in seeds:
            self._merge_member(seed)
        # Seeds are known to all nodes; full-state exchanges resolve differences.
        self._member_updates.clear()
        # Merging the seeds may have raised this node's generation above an earlier incarnation's.
        self._member_updates.add(own.node, self.own)

    # -- queries ----------------------------------------------------------------------------

    def is_reachable(self, node: str) -> bool:
        """Whether a node is not known to be dead and its zone is reachable."""
        member = self.members.get(node)
        if member is None or not member.is_running:
            return False
        return self.is_zone_reachable(member.zone)

    def is_zone_reachable(self, zone: str) -> bool:
        """Whether a zone has answered recently; unknown zones count as reachable."""
        contact = self._zones.get(zone)
        if zone == self.own.zone or contact is None or contact.unanswered_since_s is None:
            return True
        return self._now_s - contact.unanswered_since_s < ZONE_UNREACHABLE_TIMEOUT_S

    def state_hash(self) -> int:
        """Return a hash of members and facts, equal on nodes with the same state."""
        digest = xxhash.xxh64()
        for node in sorted(self.members):
            member = self.members[node]
            digest.update(f"{node}/{member.incarnation}/{member.rank};".encode())
        for name in sorted(self.facts):
            digest.update(f"{name}={self.facts[name]};".encode())
        return digest.intdigest() >> 1

    # -- inputs -----------------------------------------------------------------------------

    def tick(self, now_s: float) -> None:
        """Advance the time: sends probes and handles timeouts of probes and suspicions."""
        self._now_s = now_s
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + PROBE_INTERVAL_S
            self._probe_round()
        if now_s >= self._next_exchange_s:
            self._start_exchange()
        self._check_probes()
        self._check_suspicions()
        self._remove_dead_members()

    def receive(self, sender: str, message: GossipMessage) -> None:
        """Handle a datagram of the node ``sender``."""
        self.merge(message.rumours.members, message.rumours.facts)
        self._record_contact(sender)
        match message:
            case Ping():
                self._answer_ping(sender, message)
            case Ack():
                self._on_ack(message)
            case PingRequest():
                self._relay_ping(sender, message)

    def merge(self, members: Iterable[Member], facts: Iterable[Fact]) -> None:
        """Merge members and facts known to another node."""
        for member in members:
            self._merge_member(member)
        for fact in facts:
            self.raise_fact(fact.name, fact.value)

    def raise_fact(self, name: str, value: int) -> bool:
        """Raise a fact and disseminate it; returns ``False`` unless the value is higher."""
        if value <= self.facts.get(name, -1):
            return False
        self.facts[name] = value
        fact = Fact(name, value)
        self._fact_updates.add(name, fact)
        self.raised_facts.append(fact)
        return True

    def leave(self) -> None:
        """Announce a planned stop."""
        self._update_own(MemberStatus.LEAVING)

    # -- full-state exchange ----------------------------------------------------------------

    def _start_exchange(self) -> None:
        others = sorted(
            member.node
            for member in self.members.values()
            if member.is_running and member.node != self.own.node
        )
        # Seeds have no incarnation until their own entry has been merged.
        knows_only_seeds = not any(self.members[node].incarnation for node in others)
        interval_s = FIRST_EXCHANGE_INTERVAL_S if knows_only_seeds else EXCHANGE_INTERVAL_S
        self._next_exchange_s = self._now_s + interval_s * self._rng.uniform(0.5, 1.5)
        if others:
            self.exchange_peers.append(self._rng.choice(others))

    # -- probing ----------------------------------------------------------------------------

    def _probe_round(self) -> None:
        for target in self._probe_targets():
            self._start_probe(target)
        cross_zone = self._cross_zone_target()
        if cross_zone is not None:
            self._start_probe(cross_zone)

    def _probe_targets(self) -> list[str]:
        """Return the nodes after this one on the zone's ring, which this node probes."""
        ring = self._zone_ring()
        position = ring.index(self.own.node)
        after = ring[position + 1 :] + ring[:position]
        return after[:NUM_PROBERS]

    def _zone_ring(self) -> list[str]:
        if self._cached_ring is None:
            zone_members = [
                member.node
                for member in self.members.values()
                if member.zone == self.own.zone and member.is_running
            ]
            self._cached_ring = sorted(
                {*zone_members, self.own.node}, key=lambda node: (text_hash(node), node)
            )
        return self._cached_ring

    def _cross_zone_target(self) -> str | None:
        """Return a random node of another zone if this node is one of its zone's delegates."""
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
        updates = self._next_updates()
        if member.status is MemberStatus.SUSPECT and member not in updates.members:
            # The suspect must receive the suspicion in order to refute it.
            updates = replace(updates, members=(*updates.members, member))
        self.outbox.append(Datagram(member.address, Ping(number, updates)))

    def _check_probes(self) -> None:
        for number, probe in list(self._probes.items()):
            if probe.target not in self.members:
                del self._probes[number]
                continue
            elapsed_s = self._now_s - probe.sent_s
            if elapsed_s >= PROBE_TIMEOUT_S:
                del self._probes[number]
                self._on_probe_failed(probe.target)
            elif elapsed_s >= INDIRECT_PROBE_DELAY_S and not probe.is_indirect:
                probe.is_indirect = True
                self._probe_indirectly(probe.target, number)
            elif elapsed_s >= PROBE_RETRY_DELAY_S and probe.num_pings == 1:
                probe.num_pings += 1
                self._ping(probe.target, number)
        for number, relay in list(self._relays.items()):
            if self._now_s >= relay.expires_s:
                del self._relays[number]

    def _probe_indirectly(self, target: str, number: int) -> None:
        candidates = [node for node in self._zone_ring() if node not in (self.own.node, target)]
        if self.members[target].zone != self.own.zone:
            return
        for relay_node in self._rng.sample(candidates, min(NUM_INDIRECT_PROBES, len(candidates))):
            request = PingRequest(number, target, self._next_updates())
            self.outbox.append(Datagram(self.members[relay_node].address, request))

    def _on_probe_failed(self, target: str) -> None:
        member = self.members[target]
        if member.zone != self.own.zone:
            contact = self._zones.setdefault(member.zone, _ZoneContact(self._now_s))
            if contact.unanswered_since_s is None:
                contact.unanswered_since_s = self._now_s
            return
        if member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            updated = member.with_status(MemberStatus.SUSPECT)
            if member.status is MemberStatus.LEAVING:
                updated = member.with_status(MemberStatus.DEAD)
            self._merge_member(updated)

    # -- replies ----------------------------------------------------------------------------

    def _answer_ping(self, sender: str, message: Ping) -> None:
        member = self.members.get(sender)
        if member is None:
            return
        updates = self._next_updates()
        if member.status is not MemberStatus.ALIVE and member not in updates.members:
            # A node that is wrongly considered dead must receive that status in order to refute it.
            updates = replace(updates, members=(*updates.members, member))
        self.outbox.append(Datagram(member.address, Ack(message.number, updates)))

    def _on_ack(self, message: Ack) -> None:
        self._probes.pop(message.number, None)
        relay = self._relays.pop(message.number, None)
        if relay is not None:
            ack = Ack(relay.origin_number, self._next_updates())
            self.outbox.append(Datagram(relay.origin_address, ack))

    def _relay_ping(self, sender: str, message: PingRequest) -> None:
        origin = self.members.get(sender)
        if origin is None or message.target not in self.members:
            return
        number = self._next_number()
        expires_s = self._now_s + PROBE_TIMEOUT_S
        self._relays[number] = _Relay(origin.address, message.number, expires_s)
        self._ping(message.target, number)

    def _record_contact(self, sender: str) -> None:
        member = self.members.get(sender)
        if member is None:
            return
        contact = self._zones.setdefault(member.zone, _ZoneContact(self._now_s))
        contact.last_message_s = self._now_s
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
        self._cached_ring = None
        self._member_updates.add(member.node, member)
        self._record_status_time(member)
        previous = known.status if known is not None else None
        self.changes.append(MembershipChange(member, previous))

    def _record_status_time(self, member: Member) -> None:
        self._suspected_s.pop(member.node, None)
        self._dead_since_s.pop(member.node, None)
        if member.status is MemberStatus.SUSPECT:
            self._suspected_s[member.node] = self._now_s
        elif member.status is MemberStatus.DEAD:
            self._dead_since_s[member.node] = self._now_s

    def _refute(self, update: Member) -> None:
        """Override a wrong update about this node with a higher generation."""
        is_own_update = update.incarnation == self.own.incarnation and update.rank <= self.own.rank
        if is_own_update or update.generation < self.own.generation:
            return
        self.own = replace(self.own, generation=update.generation + 1)
        self._update_own(self.own.status)

    def _update_own(self, status: MemberStatus) -> None:
        self.own = self.own.with_status(status)
        self.members[self.own.node] = self.own
        self._member_updates.add(self.own.node, self.own)

    def _check_suspicions(self) -> None:
        for node, suspected_s in list(self._suspected_s.items()):
            member = self.members[node]
            if member.zone != self.own.zone:
                continue  # Only nodes of its own zone may declare a node dead.
            if self._now_s - suspected_s >= SUSPICION_TIMEOUT_S:
                self._merge_member(member.with_status(MemberStatus.DEAD))

    def _remove_dead_members(self) -> None:
        for node, dead_since_s in list(self._dead_since_s.items()):
            if self._now_s - dead_since_s >= DEAD_MEMBER_TTL_S:
                del self._dead_since_s[node]
                del self.members[node]
                self._cached_ring = None

    def _next_updates(self) -> PiggybackedUpdates:
        num_members = len(self.members)
        return PiggybackedUpdates(
            self._member_updates.next_updates(MAX_MEMBERS_PER_DATAGRAM, num_members),
            self._fact_updates.next_updates(MAX_FACTS_PER_DATAGRAM, num_members),
        )

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number
