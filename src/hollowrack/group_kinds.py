"""The kinds of replicated groups that a node runs, told apart by the beginnings of their names."""

from hollowrack.engines.controller import NoState, zone_of_group
from hollowrack.replication.placement import GroupPlacement
from hollowrack.replication.types import StateMachine
from hollowrack.requests.claims import RequestClaims
from hollowrack.requests.unsafe import CLAIM_GROUP_PREFIX
from hollowrack.rollout.groups import RUN_GROUP_PREFIX
from hollowrack.rollout.ledger import SampleLedger


def make_state_machine(group: str) -> StateMachine:
    """Return the initial state of a group by the prefix of its name.

    Raises:
        ValueError: If no kind of group has such a name.
    """
    if group.startswith(RUN_GROUP_PREFIX):
        return SampleLedger()
    if group.startswith(CLAIM_GROUP_PREFIX):
        return RequestClaims()
    if zone_of_group(group) is not None:
        return NoState()
    raise ValueError(f"group {group!r} has no state machine")


def placement_of(group: str) -> GroupPlacement:
    """Return how a group wants to be placed.

    Every group survives two losses at once. A zone's engine group stays near its engines, and is as
    large as the others: without a leader no engine gets new weights, and training stops.
    """
    return GroupPlacement(preferred_zone=zone_of_group(group))
