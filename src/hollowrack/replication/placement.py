"""Which nodes should hold a group: pure decisions over what the links know."""

from dataclasses import dataclass

from hollowrack.replication.links import NodeLinks
from hollowrack.replication.types import ReplicaId, node_of, replica_id

DEFAULT_NUM_REPLICAS = 5


@dataclass(frozen=True)
class GroupPlacement:
    """How a group wants to be placed.

    Attributes:
        num_replicas: Members it should have.
        preferred_zone: Zone whose nodes come first, if any.
    """

    num_replicas: int = DEFAULT_NUM_REPLICAS
    preferred_zone: str | None = None


def choose_members(
    group: str, placement: GroupPlacement, links: NodeLinks
) -> tuple[ReplicaId, ...]:
    """Return the members for a new group; fewer than wanted if fewer nodes are known."""
    candidates = _live_replicas(group, placement, links)
    return tuple(candidates[: placement.num_replicas])


def next_members(
    group: str, members: tuple[ReplicaId, ...], placement: GroupPlacement, links: NodeLinks
) -> tuple[ReplicaId, ...]:
    """Return the members a group should have next: one replaced or one added, or the same.

    A member is replaced if its node retires, or runs again under another incarnation. Nothing
    changes if there is nobody to take the place.
    """
    for position, member in enumerate(members):
        if not _should_replace(member, links):
            continue
        others = (*members[:position], *members[position + 1 :])
        replacement = _newcomer(group, others, placement, links)
        if replacement is not None:
            return (*members[:position], replacement, *members[position + 1 :])
    if len(members) < placement.num_replicas:
        newcomer = _newcomer(group, members, placement, links)
        if newcomer is not None:
            return (*members, newcomer)
    return members


def _should_replace(member: ReplicaId, links: NodeLinks) -> bool:
    node = node_of(member)
    incarnation = links.incarnation_of(node)
    is_same_life = incarnation is not None and replica_id(node, incarnation) == member
    return links.is_leaving_or_dead(node) or not is_same_life


def _newcomer(
    group: str, members: tuple[ReplicaId, ...], placement: GroupPlacement, links: NodeLinks
) -> ReplicaId | None:
    taken = {node_of(member) for member in members}
    for candidate in _live_replicas(group, placement, links):
        if node_of(candidate) not in taken:
            return candidate
    return None


def _live_replicas(group: str, placement: GroupPlacement, links: NodeLinks) -> list[ReplicaId]:
    replicas: list[ReplicaId] = []
    for node in links.candidates(group, placement.preferred_zone):
        incarnation = links.incarnation_of(node)
        if incarnation is not None:
            replicas.append(replica_id(node, incarnation))
    return replicas
