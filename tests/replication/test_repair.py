"""A leader's care for its group, when announcements are lost."""

import asyncio
from typing import Any

from returns.result import Failure, Result, Success

from hollowrack.observability.decisions import DecisionLog
from hollowrack.replication.client import GroupClient
from hollowrack.replication.group_messages import Joined, JoinGroup
from hollowrack.replication.host import GroupHost
from hollowrack.replication.messages import Envelope
from hollowrack.replication.placement import GroupPlacement
from hollowrack.replication.repair import GroupRepair
from hollowrack.replication.types import Membership, replica_id
from hollowrack.results import Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual

GROUP = "g"
NODES = ("a", "b", "c")
LIFE = "life"
MEMBERSHIP = Membership(1, tuple(replica_id(node, LIFE) for node in NODES))


class Echo:
    """A state machine that does nothing."""

    def apply(self, command: bytes) -> bytes:
        return command

    def snapshot(self) -> bytes:
        return b""

    def restore(self, snapshot: bytes) -> None:
        del snapshot


class Links:
    """Links between the hosts of a test; the first announcements to some nodes are lost."""

    def __init__(self, hosts: dict[str, GroupHost], num_lost: dict[str, int]) -> None:
        self._hosts = hosts
        self._num_lost = num_lost

    async def request(self, node: str, message: object, timeout_s: float) -> Result[Any, Problem]:
        await asyncio.sleep(0.001)
        if not isinstance(message, JoinGroup) or node not in self._hosts:
            return Failure(Problem(ResultCode.PEER_UNREACHABLE, "no such node", node))
        if self._num_lost.get(node, 0):
            self._num_lost[node] -= 1
            await asyncio.sleep(timeout_s)
            return Failure(Problem(ResultCode.PEER_UNREACHABLE, "lost", node))
        self._hosts[node].join(message.group, message.membership)
        return Success(Joined(replica_id(node, LIFE)))

    def post(self, node: str, message: object) -> None:
        assert isinstance(message, Envelope)
        if node in self._hosts:
            asyncio.get_running_loop().call_later(0.001, self._hosts[node].receive, message)

    def is_reachable(self, node: str) -> bool:
        return node in self._hosts

    def incarnation_of(self, node: str) -> str | None:
        return LIFE if node in self._hosts else None

    def is_leaving_or_dead(self, node: str) -> bool:
        return node not in self._hosts

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        del key, preferred_zone
        return sorted(self._hosts)


class NoDirectory:
    """No membership changes in these tests."""


class OneDirectory:
    """The recorded membership of one group."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership

    async def read(self, group: str) -> Result[Membership | None, Problem]:
        return Success(self.membership)

    async def change(
        self, group: str, current: Membership, members: tuple[str, ...]
    ) -> Result[Membership, Problem]:
        if current.epoch == self.membership.epoch:
            self.membership = current.successor(members)
        return Success(self.membership)

    async def activate(self, group: str, epoch: int) -> Result[None, Problem]:
        self.membership = self.membership.activated()
        return Success(None)


def test_a_member_that_missed_the_announcement_is_told_again() -> None:
    async def main() -> None:
        hosts: dict[str, GroupHost] = {}
        links = Links(hosts, {"c": 2})
        repairs = []
        for seed, node in enumerate(NODES):
            hosts[node] = GroupHost(node, LIFE, links, lambda group: Echo(), seed=seed)
            directory: Any = NoDirectory()
            repair = GroupRepair(
                hosts[node], links, directory, lambda group: GroupPlacement(3), DecisionLog()
            )
            repairs.append(repair)
        for host in hosts.values():
            host.start()
        for repair in repairs:
            repair.start()
        await repairs[0].announce(GROUP, MEMBERSHIP, MEMBERSHIP.members)
        await asyncio.sleep(10.0)
        assert GROUP in hosts["c"].groups
        for repair in repairs:
            await repair.stop()
        (leader,) = [node for node, host in hosts.items() if host.leads(GROUP)]
        assert not hosts[leader].groups[GROUP].replica.unsynced_members
        proposed = await hosts[leader].propose(GROUP, b"command")
        assert isinstance(proposed, Success)
        for host in hosts.values():
            await host.close()

    run_virtual(main())


def test_a_group_that_lost_its_majority_leads_again_once_it_is_founded_again() -> None:
    async def main() -> None:
        hosts: dict[str, GroupHost] = {}
        links = Links(hosts, {})
        for seed, node in enumerate(NODES):
            hosts[node] = GroupHost(node, LIFE, links, lambda group: Echo(), seed=seed)
            hosts[node].start()
        two = Membership(1, tuple(replica_id(node, LIFE) for node in ("a", "b")))
        directory: Any = OneDirectory(two)
        repair = GroupRepair(
            hosts["a"], links, directory, lambda group: GroupPlacement(3), DecisionLog()
        )
        client = GroupClient(hosts["a"], links, directory, repair, lambda group: GroupPlacement(3))
        await repair.announce(GROUP, two, two.members)
        await asyncio.sleep(4.0)
        await hosts.pop("b").close()
        await asyncio.sleep(6.0)
        assert not any(host.leads(GROUP) for host in hosts.values())
        assert isinstance(await client.force_new_epoch(GROUP), Success)
        await asyncio.sleep(4.0)
        assert sum(host.leads(GROUP) for host in hosts.values()) == 1
        for host in hosts.values():
            await host.close()

    run_virtual(main())
