"""Kinds of replicated groups, identified by the prefixes of their names."""

from hollowrack.engines.controller import EmptyStateMachine, zone_of_group
from hollowrack.replication.placement import GroupPlacement
from hollowrack.replication.types import StateMachine
from hollowrack.requests.at_most_once import CLAIM_GROUP_PREFIX
from hollowrack.requests.claims import RequestClaims
from hollowrack.rollout.groups import RUN_GROUP_PREFIX
from hollowrack.rollout.ledger import SampleLedger


def make_state_machine(group: str) -> StateMachine:
    """Return the state machine of a group in its initial state.

    Raises:
        ValueError: If the name has no known prefix.
    """
    if group.startswith(RUN_GROUP_PREFIX):
        return SampleLedger()
    if group.startswith(CLAIM_GROUP_PREFIX):
        return RequestClaims()
    if zone_of_group(group) is not None:
        return EmptyStateMachine()
    raise ValueError(f"group {group!r} has no state machine")


def placement_of(group: str) -> GroupPlacement:
    """Return the placement constraints of a group.

    Every group tolerates two simultaneous failures. A zone's engine group is placed in its zone and
    has the same size: without a leader no engine would load new weights, and training would stop.
    """
    return GroupPlacement(preferred_zone=zone_of_group(group))
