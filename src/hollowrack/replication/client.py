"""Client of the replicated groups: finds and creates groups and sends requests to their leaders."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from hollowrack.clock import now_s
from hollowrack.replication.directory import GroupDirectory
from hollowrack.replication.group_messages import (
    FindGroup,
    GroupFound,
    ProposeAnswer,
    ProposeRequest,
)
from hollowrack.replication.host import GroupHost
from hollowrack.replication.links import NodeLinks
from hollowrack.replication.placement import choose_members
from hollowrack.replication.repair import GroupRepair, PlacementOf
from hollowrack.replication.types import Membership, node_of
from hollowrack.results import Problem, ResultCode

FORWARD_TIMEOUT_S = 1.5
LOOKUP_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.05
MAX_LOOKUP_PEERS = 8
NO_LEADER_RETRY_AFTER_S = 1.0

# Results that prove that no leader executed the request.
_NOT_EXECUTED = frozenset({ResultCode.NOT_LEADER, ResultCode.GROUP_UNKNOWN})
# Results after which another member is tried.
_TRY_OTHER_MEMBER = _NOT_EXECUTED | {
    ResultCode.PEER_UNREACHABLE,
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.DISK_FULL,
}

Answer = TypeVar("Answer")


class GroupClient:
    """Finds and creates groups, and calls their leaders, on behalf of one node.

    It caches the membership of each group and the node that last led it.

    Args:
        host: Replicas of this node.
        links: Links to the other nodes.
        directory: Stores the memberships.
        repair: Announces memberships to the members.
        placement_of: Returns the placement of a group by its name.
    """

    def __init__(
        self,
        host: GroupHost,
        links: NodeLinks,
        directory: GroupDirectory,
        repair: GroupRepair,
        placement_of: PlacementOf,
    ) -> None:
        self._host = host
        self._links = links
        self._directory = directory
        self._repair = repair
        self._placement_of = placement_of
        self._cached_memberships: dict[str, Membership] = {}
        self._leader_hints: dict[str, str] = {}

    # -- lookup -----------------------------------------------------------------------------

    async def find_or_create(self, group: str) -> Result[Membership, Problem]:
        """Return the membership of a group; creates the group if it does not exist."""
        known = await self.find(group)
        if isinstance(known, Success):
            return known
        members = choose_members(group, self._placement_of(group), self._links)
        if not members:
            detail = "no live node is available for a replica of the group"
            return Failure(Problem(ResultCode.NO_QUORUM, detail, group))
        created = await self._directory.create(group, members)
        if isinstance(created, Success):
            self._cached_memberships[group] = created.unwrap()
            await self._repair.announce(group, created.unwrap(), created.unwrap().members)
        return created

    async def find(self, group: str) -> Result[Membership, Problem]:
        """Return the membership of a group.

        Checks this node's replica and the cache, then the configuration store, then queries peers.
        Fails with ``GROUP_UNKNOWN``.
        """
        own = self._host.describe(group).membership or self._cached_memberships.get(group)
        if own is not None:
            return Success(own)
        stored = (await self._directory.read(group)).value_or(None)
        if stored is None:
            await self._query_nodes(group, self._links.candidates(group)[:MAX_LOOKUP_PEERS])
            stored = self._cached_memberships.get(group)
        if stored is None:
            return Failure(
                Problem(ResultCode.GROUP_UNKNOWN, "no membership of the group was found", group)
            )
        self._update_cached_membership(group, stored)
        return Success(self._cached_memberships[group])

    async def _refresh(self, group: str, membership: Membership) -> None:
        """Update the membership and the leader hint from the members, else from the store."""
        members = sorted({node_of(member) for member in membership.voters()})
        if not await self._query_nodes(group, members):
            stored = (await self._directory.read(group)).value_or(None)
            if stored is not None:
                self._update_cached_membership(group, stored)

    async def _query_nodes(self, group: str, nodes: list[str]) -> bool:
        """Query nodes for a group's membership and leader; returns whether a leader was found."""
        others = [node for node in nodes if node != self._host.node]
        requests = [
            self._links.request(node, FindGroup(group), LOOKUP_TIMEOUT_S) for node in others
        ]
        answers = [answer.value_or(None) for answer in await asyncio.gather(*requests)]
        answers.append(self._host.describe(group))
        found = [
            answer
            for answer in answers
            if isinstance(answer, GroupFound) and answer.membership is not None
        ]
        for answer in found:
            if answer.membership is not None:
                self._update_cached_membership(group, answer.membership)
        newest = self._cached_memberships.get(group)
        leaders = [
            node_of(answer.leader)
            for answer in found
            if answer.leader is not None and answer.membership == newest
        ]
        if leaders:
            self._leader_hints[group] = max(set(leaders), key=leaders.count)
        return bool(leaders)

    def _update_cached_membership(self, group: str, membership: Membership) -> None:
        known = self._cached_memberships.get(group)
        if known is None or membership.epoch >= known.epoch:
            self._cached_memberships[group] = membership

    async def has_leader(self, group: str) -> bool:
        """Return whether any member of a group knows its leader."""
        found = await self.find(group)
        if isinstance(found, Failure):
            return False
        members = sorted({node_of(member) for member in found.unwrap().voters()})
        return await self._query_nodes(group, members)

    async def force_new_epoch(self, group: str) -> Result[Membership, Problem]:
        """Start a new epoch without a quorum of the earlier members, for groups without state.

        An earlier leader that is still active is fenced off only by its lower fencing token.
        """
        stored = await self._directory.read(group)
        current = stored.value_or(None)
        members = choose_members(group, self._placement_of(group), self._links)
        if current is None or not members:
            detail = (
                "the group has no stored membership, or no live node is available for a replica"
            )
            return Failure(Problem(ResultCode.NO_QUORUM, detail, group))
        changed = await self._directory.change(group, current, members)
        if isinstance(changed, Failure):
            return changed
        membership = changed.unwrap().activated()
        activated = await self._directory.activate(group, membership.epoch)
        if isinstance(activated, Failure):
            return activated
        self._update_cached_membership(group, membership)
        await self._repair.announce(group, membership, membership.members)
        return Success(membership)

    # -- calls to the leader ----------------------------------------------------------------

    async def propose(self, group: str, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit a command through the group's leader.

        Commands must be idempotent: after a lost answer the command is proposed again. Fails with
        ``GROUP_UNKNOWN``, with ``NO_QUORUM`` if no leader executed it before the timeout, or with
        ``OUTCOME_UNKNOWN`` if one may have.
        """

        async def propose_at(node: str) -> Result[bytes, Problem]:
            if node == self._host.node:
                return await self._host.propose(group, command)
            request = ProposeRequest(group, command)
            answer = await self._links.request(node, request, FORWARD_TIMEOUT_S)
            return answer.bind(_outcome_of)

        return await self.call_leader(group, propose_at, timeout_s)

    async def call_leader(
        self,
        group: str,
        call_node: Callable[[str], Awaitable[Result[Answer, Problem]]],
        timeout_s: float,
    ) -> Result[Answer, Problem]:
        """Call the group's leader; tries members and follows their hints until it is found.

        Args:
            group: Name of the group.
            call_node: Calls one node; after results such as ``NOT_LEADER``, ``PEER_UNREACHABLE`` or
                ``OUTCOME_UNKNOWN`` another member is called.
            timeout_s: Time until the last attempt may start, in seconds.
        """
        deadline_s = now_s() + timeout_s
        may_have_executed = False
        last: Problem | None = None
        while True:
            found = await self.find(group)
            if isinstance(found, Failure):
                return found
            for node in self._ordered_nodes(group, found.unwrap()):
                result = await call_node(node)
                if isinstance(result, Success):
                    self._leader_hints[group] = node
                    return result
                last = result.failure()
                if last.code not in _TRY_OTHER_MEMBER:
                    return result
                may_have_executed = may_have_executed or last.code not in _NOT_EXECUTED
                if now_s() >= deadline_s or self._update_leader_hint(group, node, last):
                    break
            if now_s() >= deadline_s:
                code = ResultCode.OUTCOME_UNKNOWN if may_have_executed else ResultCode.NO_QUORUM
                detail = f"no leader answered before the deadline (last result: {last})"
                return Failure(Problem(code, detail, group, NO_LEADER_RETRY_AFTER_S))
            await asyncio.sleep(RETRY_INTERVAL_S)
            await self._refresh(group, found.unwrap())

    def _update_leader_hint(self, group: str, called: str, problem: Problem) -> bool:
        """Update the leader hint from a failed call; returns whether another node was named."""
        hinted = problem.detail if problem.code is ResultCode.NOT_LEADER else ""
        if hinted and hinted != called:
            self._leader_hints[group] = hinted
            return True
        if self._leader_hints.get(group) == called:
            del self._leader_hints[group]
        return False

    def _ordered_nodes(self, group: str, membership: Membership) -> list[str]:
        nodes = sorted({node_of(member) for member in membership.members})
        hint = self._leader_hints.get(group)
        own_leader = self._host.describe(group).leader
        if own_leader is not None:
            hint = node_of(own_leader)
        reachable = [
            node for node in nodes if node == self._host.node or self._links.is_reachable(node)
        ]
        return sorted(reachable or nodes, key=lambda node: node != hint)


def _outcome_of(answer: Any) -> Result[bytes, Problem]:
    if isinstance(answer, ProposeAnswer):
        return Success(answer.outcome)
    return Failure(Problem(ResultCode.MESSAGE_INVALID, f"unexpected {type(answer).__name__}"))
