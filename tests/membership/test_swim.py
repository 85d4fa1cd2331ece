"""Membership in virtual time: detection, refutation, zones, leaving, convergence."""

import heapq
import itertools
import random

from hollowrack.membership.messages import GossipMessage
from hollowrack.membership.swim import Datagram, Swim
from hollowrack.membership.types import Fact, Member, MemberStatus

TICK_S = 0.05
LATENCY_S = 0.002


class Network:
    """Nodes on virtual time; datagrams can be lost and links can be cut."""

    def __init__(self, zones: dict[str, int], loss: float = 0.0, seed: int = 1) -> None:
        self.now_s = 0.0
        self.loss = loss
        self.cut_zones: set[str] = set()
        self.dead: set[str] = set()
        self.num_datagrams = 0
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, str, Datagram]] = []
        members = [
            Member(f"{zone}-{index}", zone, f"{zone}-{index}", incarnation="1")
            for zone, size in zones.items()
            for index in range(size)
        ]
        self.nodes = {
            member.node: Swim(member, members, random.Random(f"{seed}{member.node}"), 0.0)
            for member in members
        }

    def run(self, seconds: float) -> None:
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += TICK_S
            self._deliver()
            for name, node in self.nodes.items():
                if name not in self.dead:
                    node.tick(self.now_s)
                    self.collect(name)
                    self._exchange(name)

    def collect(self, name: str) -> None:
        node = self.nodes[name]
        for datagram in node.outbox:
            self.num_datagrams += 1
            if self._rng.random() >= self.loss:
                due_s = self.now_s + LATENCY_S
                heapq.heappush(self._queue, (due_s, next(self._numbers), name, datagram))
        node.outbox = []

    def _exchange(self, name: str) -> None:
        node = self.nodes[name]
        peers, node.exchange_peers = node.exchange_peers, []
        for peer in peers:
            if peer in self.dead or self._is_cut(name, peer):
                continue
            for source, target in ((node, self.nodes[peer]), (self.nodes[peer], node)):
                facts = [Fact(key, value) for key, value in source.facts.items()]
                target.merge(list(source.members.values()), facts)

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now_s:
            _, _, sender, datagram = heapq.heappop(self._queue)
            recipient = datagram.address
            if recipient in self.dead or sender in self.dead or self._is_cut(sender, recipient):
                continue
            self.nodes[recipient].receive(sender, datagram.message)
            self.collect(recipient)

    def _is_cut(self, sender: str, recipient: str) -> bool:
        zones = {self.nodes[sender].own.zone, self.nodes[recipient].own.zone}
        return len(zones) > 1 and bool(zones & self.cut_zones)

    def status_seen(self, subject: str) -> set[MemberStatus]:
        return {
            node.members[subject].status
            for name, node in self.nodes.items()
            if name not in self.dead and name != subject
        }


def test_a_dead_node_is_known_to_all_and_nobody_else_is_suspected() -> None:
    network = Network({"a": 6, "b": 6})
    network.run(5)
    network.dead.add("a-3")
    network.run(6)
    assert network.status_seen("a-3") == {MemberStatus.DEAD}
    for name in network.nodes:
        if name != "a-3":
            assert network.status_seen(name) == {MemberStatus.ALIVE}, name


def test_a_few_lost_datagrams_eject_nobody() -> None:
    network = Network({"a": 8, "b": 8}, loss=0.05)
    ejected = 0
    for _ in range(60):
        network.run(5)
        for node in network.nodes.values():
            ejected += sum(
                1 for change in node.changes if change.member.status is MemberStatus.DEAD
            )
            node.changes = []
    assert ejected == 0


def test_a_cut_zone_is_one_event_and_not_many_deaths() -> None:
    network = Network({"a": 5, "b": 5, "c": 5})
    network.run(5)
    network.cut_zones.add("b")
    network.run(30)
    for name, node in network.nodes.items():
        assert all(member.status is MemberStatus.ALIVE for member in node.members.values()), name
    delegate = network.nodes["a-0"]
    unreachable = [name for name, node in network.nodes.items() if not node.is_zone_reachable("b")]
    assert unreachable and all(not name.startswith("b") for name in unreachable)
    network.cut_zones.clear()
    network.run(15)
    assert all(node.is_zone_reachable("b") for node in network.nodes.values())
    assert delegate.is_reachable("b-1")


def test_a_node_that_dies_inside_a_cut_zone_is_known_outside_after_healing() -> None:
    network = Network({"a": 5, "b": 5})
    network.run(5)
    network.cut_zones.add("b")
    network.run(5)
    network.dead.add("b-2")
    network.run(30)
    network.cut_zones.clear()
    network.run(40)
    assert network.status_seen("b-2") == {MemberStatus.DEAD}


def test_a_paused_node_refutes_its_death_when_it_comes_back() -> None:
    network = Network({"a": 6})
    network.run(5)
    network.dead.add("a-1")
    network.run(8)
    network.dead.discard("a-1")
    network.run(15)
    assert network.status_seen("a-1") == {MemberStatus.ALIVE}
    assert network.nodes["a-1"].own.generation > 0


def test_a_restarted_node_replaces_its_earlier_life() -> None:
    network = Network({"a": 6})
    network.run(5)
    old = network.nodes["a-1"]
    reborn = Member("a-1", "a", "a-1", incarnation="2")
    network.nodes["a-1"] = Swim(reborn, list(old.members.values()), random.Random(5), network.now_s)
    network.run(10)
    seen = {node.members["a-1"].incarnation for node in network.nodes.values()}
    assert seen == {"2"}


def test_a_leaving_mark_reaches_all_nodes_within_three_seconds() -> None:
    network = Network({"a": 8, "b": 8, "c": 8})
    network.run(5)
    network.nodes["a-1"].leave()
    network.collect("a-1")
    network.run(3)
    assert network.status_seen("a-1") == {MemberStatus.LEAVING}


def test_facts_rise_everywhere_and_never_fall() -> None:
    network = Network({"a": 8, "b": 8, "c": 8}, loss=0.05)
    network.run(5)
    network.nodes["a-0"].raise_fact("bundle", 7)
    network.nodes["b-0"].raise_fact("bundle", 5)
    network.run(6)
    assert {node.facts["bundle"] for node in network.nodes.values()} == {7}
    assert not network.nodes["c-3"].raise_fact("bundle", 6)


def test_equal_knowledge_has_equal_hashes() -> None:
    network = Network({"a": 4})
    network.run(3)
    hashes = {node.state_hash() for node in network.nodes.values()}
    assert len(hashes) == 1
    network.nodes["a-0"].merge([], [Fact("x", 1)])
    assert network.nodes["a-0"].state_hash() not in hashes


def test_the_datagrams_a_node_sends_do_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (10, 40):
        network = Network({"a": size, "b": size})
        network.run(5)
        network.num_datagrams = 0
        network.run(20)
        rates.append(network.num_datagrams / 20 / (2 * size))
    assert rates[1] < 1.3 * rates[0]


def test_messages_from_a_stranger_are_harmless() -> None:
    network = Network({"a": 3})
    node = network.nodes["a-0"]
    message: GossipMessage
    network.run(2)
    for message in [datagram.message for datagram in node.outbox]:
        node.receive("nobody", message)
    assert "nobody" not in node.members
