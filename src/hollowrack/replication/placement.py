"""Placement of groups: choice of the nodes that run the replicas."""

from dataclasses import dataclass

from hollowrack.replication.links import NodeLinks
from hollowrack.replication.types import ReplicaId, node_of, replica_id

DEFAULT_NUM_REPLICAS = 5


@dataclass(frozen=True)
class GroupPlacement:
    """Placement requirements of a group.

    Attributes:
        num_replicas: Target number of members.
        preferred_zone: Zone whose nodes are chosen first; ``None`` for no preference.
    """

    num_replicas: int = DEFAULT_NUM_REPLICAS
    preferred_zone: str | None = None


def choose_members(
    group: str, placement: GroupPlacement, links: NodeLinks
) -> tuple[ReplicaId, ...]:
    """Return the members of a new group; fewer than required if too few nodes are live."""
    candidates = _live_replicas(group, placement, links)
    return tuple(candidates[: placement.num_replicas])


def next_members(
    group: str, members: tuple[ReplicaId, ...], placement: GroupPlacement, links: NodeLinks
) -> tuple[ReplicaId, ...]:
    """Return the next members of a group: one member replaced or added, or no change.

    A member is replaced if its node is leaving, dead or unknown, or has another incarnation, and
    a replacement is available.
    """
    for position, member in enumerate(members):
        if not _should_replace(member, links):
            continue
        others = (*members[:position], *members[position + 1 :])
        replacement = _new_member(group, others, placement, links)
        if replacement is not None:
            return (*members[:position], replacement, *members[position + 1 :])
    if len(members) < placement.num_replicas:
        added = _new_member(group, members, placement, links)
        if added is not None:
            return (*members, added)
    return members


def _should_replace(member: ReplicaId, links: NodeLinks) -> bool:
    node = node_of(member)
    incarnation = links.incarnation_of(node)
    is_same_incarnation = incarnation is not None and replica_id(node, incarnation) == member
    return links.is_leaving_or_dead(node) or not is_same_incarnation


def _new_member(
    group: str, members: tuple[ReplicaId, ...], placement: GroupPlacement, links: NodeLinks
) -> ReplicaId | None:
    used_nodes = {node_of(member) for member in members}
    for candidate in _live_replicas(group, placement, links):
        if node_of(candidate) not in used_nodes:
            return candidate
    return None


def _live_replicas(group: str, placement: GroupPlacement, links: NodeLinks) -> list[ReplicaId]:
    replicas: list[ReplicaId] = []
    for node in links.candidates(group, placement.preferred_zone):
        incarnation = links.incarnation_of(node)
        if incarnation is not None:
            replicas.append(replica_id(node, incarnation))
    return replicas
