"""Choice of members: guards against unnecessary, missing or simultaneous replacements."""

from typing import Any

import pytest

from hollowrack.replication.placement import GroupPlacement, choose_members, next_members

PLACEMENT = GroupPlacement(num_replicas=3)


class FakeLinks:
    """Links with a fixed view of nodes and their incarnations."""

    def __init__(self, incarnations: dict[str, str], leaving: tuple[str, ...] = ()) -> None:
        self._incarnations = incarnations
        self._leaving = leaving

    async def request(self, node: str, message: object, timeout_s: float) -> Any:
        raise NotImplementedError

    def post(self, node: str, message: object) -> None:
        raise NotImplementedError

    def is_reachable(self, node: str) -> bool:
        return node in self._incarnations

    def incarnation_of(self, node: str) -> str | None:
        return self._incarnations.get(node)

    def is_leaving_or_dead(self, node: str) -> bool:
        return node not in self._incarnations or node in self._leaving

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        return [node for node in self._incarnations if node not in self._leaving]


FOUR_NODES = {"a": "1", "b": "1", "c": "1", "d": "1"}
MEMBERS = ("a#1", "b#1", "c#1")


def test_new_group_gets_the_first_candidates() -> None:
    assert choose_members("g", PLACEMENT, FakeLinks(FOUR_NODES)) == MEMBERS
    assert choose_members("g", PLACEMENT, FakeLinks({"a": "1"})) == ("a#1",)
    assert choose_members("g", PLACEMENT, FakeLinks({})) == ()


@pytest.mark.parametrize(
    ("links", "members", "expected"),
    [
        (FakeLinks(FOUR_NODES), MEMBERS, MEMBERS),
        (FakeLinks(FOUR_NODES, leaving=("b",)), MEMBERS, ("a#1", "d#1", "c#1")),
        (FakeLinks(FOUR_NODES | {"b": "2"}), MEMBERS, ("a#1", "b#2", "c#1")),
        (FakeLinks({"a": "1", "b": "1", "d": "1"}), MEMBERS, ("a#1", "b#1", "d#1")),
        (FakeLinks({"a": "1", "b": "1"}), MEMBERS, MEMBERS),
        (FakeLinks(FOUR_NODES), ("a#1",), ("a#1", "b#1")),
        (FakeLinks({"a": "1"}), ("a#1",), ("a#1",)),
        (FakeLinks(FOUR_NODES, leaving=("a", "b")), MEMBERS, ("d#1", "b#1", "c#1")),
    ],
    ids=[
        "no change",
        "leaving node",
        "new incarnation",
        "unknown node",
        "no replacement",
        "too few members",
        "too few nodes",
        "one at a time",
    ],
)
def test_one_member_changes_at_a_time(
    links: FakeLinks, members: tuple[str, ...], expected: tuple[str, ...]
) -> None:
    assert next_members("g", members, PLACEMENT, links) == expected
