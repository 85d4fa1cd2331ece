"""Which members a group gets next."""

from typing import Any

import pytest

from hollowrack.replication.placement import GroupPlacement, choose_members, next_members

PLACEMENT = GroupPlacement(num_replicas=3)


class Links:
    """Nodes with their incarnations; some retire."""

    def __init__(self, incarnations: dict[str, str], retiring: tuple[str, ...] = ()) -> None:
        self._incarnations = incarnations
        self._retiring = retiring

    async def request(self, node: str, message: object, timeout_s: float) -> Any:
        raise NotImplementedError

    def post(self, node: str, message: object) -> None:
        raise NotImplementedError

    def is_reachable(self, node: str) -> bool:
        return node in self._incarnations

    def incarnation_of(self, node: str) -> str | None:
        return self._incarnations.get(node)

    def is_leaving_or_dead(self, node: str) -> bool:
        return node not in self._incarnations or node in self._retiring

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        return [node for node in self._incarnations if node not in self._retiring]


FOUR = {"a": "1", "b": "1", "c": "1", "d": "1"}
MEMBERS = ("a#1", "b#1", "c#1")


def test_a_new_group_takes_the_first_candidates() -> None:
    assert choose_members("g", PLACEMENT, Links(FOUR)) == MEMBERS
    assert choose_members("g", PLACEMENT, Links({"a": "1"})) == ("a#1",)
    assert choose_members("g", PLACEMENT, Links({})) == ()


@pytest.mark.parametrize(
    ("links", "members", "expected"),
    [
        (Links(FOUR), MEMBERS, MEMBERS),
        (Links(FOUR, retiring=("b",)), MEMBERS, ("a#1", "d#1", "c#1")),
        (Links(FOUR | {"b": "2"}), MEMBERS, ("a#1", "b#2", "c#1")),
        (Links({"a": "1", "b": "1", "d": "1"}), MEMBERS, ("a#1", "b#1", "d#1")),
        (Links({"a": "1", "b": "1"}), MEMBERS, MEMBERS),
        (Links(FOUR), ("a#1",), ("a#1", "b#1")),
        (Links({"a": "1"}), ("a#1",), ("a#1",)),
        (Links(FOUR, retiring=("a", "b")), MEMBERS, ("d#1", "b#1", "c#1")),
    ],
    ids=[
        "whole",
        "leaving",
        "reborn without memory",
        "gone",
        "nobody to take the place",
        "too few members",
        "too few nodes",
        "one at a time",
    ],
)
def test_one_member_changes_at_a_time(
    links: Links, members: tuple[str, ...], expected: tuple[str, ...]
) -> None:
    assert next_members("g", members, PLACEMENT, links) == expected
