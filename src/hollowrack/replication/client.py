"""Finds the groups of the fleet and talks to their leaders, wherever they are."""

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

# Answers that prove that a request was not carried out by a leader.
_NOT_DONE = frozenset({ResultCode.NOT_LEADER, ResultCode.GROUP_UNKNOWN})
# Answers after which another member should be asked.
_ASK_ELSEWHERE = _NOT_DONE | {
    ResultCode.PEER_UNREACHABLE,
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.DISK_FULL,
}

Answer = TypeVar("Answer")


class GroupClient:
    """Access to all groups from one node.

    Args:
        host: The node's own replicas.
        links: How to reach other nodes.
        directory: Where memberships are recorded.
        repair: Announces new groups.
        placement_of: Returns how a group wants to be placed.
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
        self._known: dict[str, Membership] = {}
        self._leader_hints: dict[str, str] = {}

    # -- finding ----------------------------------------------------------------------------

    async def find_or_create(self, group: str) -> Result[Membership, Problem]:
        """Return the membership of a group, creating the group if nobody has yet."""
        known = await self.find(group)
        if isinstance(known, Success):
            return known
        members = choose_members(group, self._placement_of(group), self._links)
        if not members:
            detail = "no live node is known to hold the group"
            return Failure(Problem(ResultCode.NO_QUORUM, detail, group))
        created = await self._directory.create(group, members)
        if isinstance(created, Success):
            self._known[group] = created.unwrap()
            await self._repair.announce(group, created.unwrap(), created.unwrap().members)
        return created

    async def find(self, group: str) -> Result[Membership, Problem]:
        """Return the membership of a group: from memory, from the store, or from peers.

        Fails with ``GROUP_UNKNOWN``.
        """
        own = self._host.describe(group).membership or self._known.get(group)
        if own is not None:
            return Success(own)
        stored = (await self._directory.read(group)).value_or(None)
        if stored is None:
            await self._ask_about(group, self._links.candidates(group)[:MAX_LOOKUP_PEERS])
            stored = self._known.get(group)
        if stored is None:
            return Failure(Problem(ResultCode.GROUP_UNKNOWN, "the group is not known", group))
        self._note(group, stored)
        return Success(self._known[group])

    async def _refresh(self, group: str, membership: Membership) -> None:
        """Look again who the members are and who leads, with the members first."""
        members = sorted({node_of(member) for member in membership.voters()})
        if not await self._ask_about(group, members):
            stored = (await self._directory.read(group)).value_or(None)
            if stored is not None:
                self._note(group, stored)

    async def _ask_about(self, group: str, nodes: list[str]) -> bool:
        """Ask nodes what they know of a group; returns whether any of them knew a leader."""
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
                self._note(group, answer.membership)
        newest = self._known.get(group)
        leaders = [
            node_of(answer.leader)
            for answer in found
            if answer.leader is not None and answer.membership == newest
        ]
        if leaders:
            self._leader_hints[group] = max(set(leaders), key=leaders.count)
        return bool(leaders)

    def _note(self, group: str, membership: Membership) -> None:
        known = self._known.get(group)
        if known is None or membership.epoch >= known.epoch:
            self._known[group] = membership

    async def has_leader(self, group: str) -> bool:
        """Ask the members of a group whether any of them knows a leader."""
        found = await self.find(group)
        if isinstance(found, Failure):
            return False
        members = sorted({node_of(member) for member in found.unwrap().voters()})
        return await self._ask_about(group, members)

    async def force_new_epoch(self, group: str) -> Result[Membership, Problem]:
        """Open a new epoch of a group without its earlier members, for groups without state.

        An earlier leader that still believes to lead is fenced off by its older token alone.
        """
        stored = await self._directory.read(group)
        current = stored.value_or(None)
        members = choose_members(group, self._placement_of(group), self._links)
        if current is None or not members:
            detail = "no membership is recorded, or no live node is known"
            return Failure(Problem(ResultCode.NO_QUORUM, detail, group))
        changed = await self._directory.change(group, current, members)
        if isinstance(changed, Failure):
            return changed
        membership = changed.unwrap().activated()
        activated = await self._directory.activate(group, membership.epoch)
        if isinstance(activated, Failure):
            return activated
        self._note(group, membership)
        await self._repair.announce(group, membership, membership.members)
        return Success(membership)

    # -- asking the leader ------------------------------------------------------------------

    async def propose(self, group: str, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        """Commit a command wherever the group's leader is.

        Commands must be safe to repeat: after a lost answer the command is proposed again. Fails
        with ``NO_QUORUM`` if the command was never handed to a leader, else ``OUTCOME_UNKNOWN``.
        """

        async def ask(node: str) -> Result[bytes, Problem]:
            if node == self._host.node:
                return await self._host.propose(group, command)
            request = ProposeRequest(group, command)
            answer = await self._links.request(node, request, FORWARD_TIMEOUT_S)
            return answer.bind(_outcome_of)

        return await self.call_leader(group, ask, timeout_s)

    async def call_leader(
        self,
        group: str,
        ask: Callable[[str], Awaitable[Result[Answer, Problem]]],
        timeout_s: float,
    ) -> Result[Answer, Problem]:
        """Ask the group's leader, following hints and looking again until it is found.

        Args:
            group: The group.
            ask: Asks one node; ``NOT_LEADER`` and the like send the search on.
            timeout_s: Longest time until the last attempt starts.
        """
        deadline_s = now_s() + timeout_s
        may_have_run = False
        last: Problem | None = None
        while True:
            found = await self.find(group)
            if isinstance(found, Failure):
                return found
            for node in self._by_likelihood(group, found.unwrap()):
                result = await ask(node)
                if isinstance(result, Success):
                    self._leader_hints[group] = node
                    return result
                last = result.failure()
                if last.code not in _ASK_ELSEWHERE:
                    return result
                may_have_run = may_have_run or last.code not in _NOT_DONE
                if now_s() >= deadline_s or self._follow_hint(group, node, last):
                    break
            if now_s() >= deadline_s:
                code = ResultCode.OUTCOME_UNKNOWN if may_have_run else ResultCode.NO_QUORUM
                detail = f"no leader answered in time (last: {last})"
                return Failure(Problem(code, detail, group, NO_LEADER_RETRY_AFTER_S))
            await asyncio.sleep(RETRY_INTERVAL_S)
            await self._refresh(group, found.unwrap())

    def _follow_hint(self, group: str, asked: str, problem: Problem) -> bool:
        """Remember the leader a member named; returns whether it is worth asking next."""
        named = problem.detail if problem.code is ResultCode.NOT_LEADER else ""
        if named and named != asked:
            self._leader_hints[group] = named
            return True
        if self._leader_hints.get(group) == asked:
            del self._leader_hints[group]
        return False

    def _by_likelihood(self, group: str, membership: Membership) -> list[str]:
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
