"""Keeps the groups that this node leads at full strength: a reconcile loop over their members."""

import asyncio
from collections.abc import Callable, Iterable

from absl import logging
from returns.result import Success

from hollowrack.clock import now_s
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.replication.directory import GroupDirectory
from hollowrack.replication.group_messages import JoinGroup
from hollowrack.replication.host import GroupHost
from hollowrack.replication.links import NodeLinks
from hollowrack.replication.placement import GroupPlacement, next_members
from hollowrack.replication.replica import Replica, Role
from hollowrack.replication.types import Membership, ReplicaId, node_of
from hollowrack.results import ProblemError
from hollowrack.tasks import cancel_all

REPAIR_INTERVAL_S = 0.5
JOIN_TIMEOUT_S = 1.5
REPLACEMENT_POLL_INTERVAL_S = 0.05
# A member that missed the announcement of its group runs no replica until it is told again.
ANNOUNCE_RETRY_INTERVAL_S = 2.0

PlacementOf = Callable[[str], GroupPlacement]


class GroupRepair:
    """Activates new epochs, replaces members that retire, adds members that are missing.

    Args:
        host: The node's replicas.
        links: How to reach other nodes.
        directory: Where memberships are recorded.
        placement_of: Returns how a group wants to be placed.
        decisions: Where decisions are recorded.
    """

    def __init__(
        self,
        host: GroupHost,
        links: NodeLinks,
        directory: GroupDirectory,
        placement_of: PlacementOf,
        decisions: DecisionLog,
    ) -> None:
        self._host = host
        self._links = links
        self._directory = directory
        self._placement_of = placement_of
        self._decisions = decisions
        self._announced_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the loop."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the loop."""
        await cancel_all(self._task)

    async def wait_until_replaced(self, timeout_s: float) -> bool:
        """Wait until no group counts on this node; returns whether that came about in time."""
        deadline_s = now_s() + timeout_s
        while any(self._counts_on_us(group) for group in list(self._host.groups)):
            if now_s() >= deadline_s:
                return False
            await asyncio.sleep(REPLACEMENT_POLL_INTERVAL_S)
        return True

    def _counts_on_us(self, group: str) -> bool:
        membership = self._host.groups[group].replica.membership
        if self._host.replica_id not in membership.members:
            return True  # Replaced, but the new epoch may still need this replica's state.
        members = next_members(group, membership.members, self._placement_of(group), self._links)
        return members != membership.members

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            for group, hosted in list(self._host.groups.items()):
                if hosted.replica.role is Role.LEADER:
                    await self._repair(group, hosted.replica)

    async def _repair(self, group: str, replica: Replica) -> None:
        membership = replica.membership
        if replica.needs_activation:
            activated = await self._directory.activate(group, membership.epoch)
            if isinstance(activated, Success):
                # Those that were replaced hear of it as well and drop their replicas.
                await self.announce(group, membership.activated(), membership.voters())
            return
        if membership.previous:
            return
        placement = self._placement_of(group)
        members = next_members(group, membership.members, placement, self._links)
        if members == membership.members:
            await self._announce_again(group, replica)
            return
        changed = await self._directory.change(group, membership, members)
        if isinstance(changed, Success):
            await self.announce(group, changed.unwrap(), changed.unwrap().members)

    async def _announce_again(self, group: str, replica: Replica) -> None:
        """Tell reachable members that take no part of the membership, now and then."""
        missing = [
            member
            for member in replica.unsynced_members
            if self._links.is_reachable(node_of(member))
        ]
        last_s = self._announced_s.get(group, -float("inf"))
        if missing and now_s() - last_s >= ANNOUNCE_RETRY_INTERVAL_S:
            await self.announce(group, replica.membership, missing)

    async def announce(
        self, group: str, membership: Membership, recipients: Iterable[ReplicaId]
    ) -> None:
        """Tell replicas, this node's own included, of a membership."""
        self._announced_s[group] = now_s()
        self._decisions.record(
            DecisionKind.CHANGE_GROUP,
            group,
            f"epoch {membership.epoch}",
            members=membership.members,
        )
        self._join_here(group, membership)
        others = {node_of(member) for member in recipients} - {self._host.node}
        request = JoinGroup(group, membership)
        await asyncio.gather(
            *(self._links.request(node, request, JOIN_TIMEOUT_S) for node in sorted(others))
        )

    def _join_here(self, group: str, membership: Membership) -> None:
        try:
            self._host.join(group, membership)
        except ProblemError as error:
            logging.error("replica of %s not started: %s", group, error)
