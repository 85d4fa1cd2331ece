"""Guards against wrong prefix matches, wrong weights and older configurations being applied."""

from collections import Counter

import pytest

from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import RoutingConfiguration, Target
from tests.forwarding.helpers import HOST, make_route, make_table


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        (HOST, "/a/x", "/a/"),
        (HOST, "/a/b/x", "/a/b/"),
        (HOST.upper(), "/a/x", "/a/"),
        (f"{HOST}:80", "/a/x", "/a/"),
        (HOST, "/ab/x", None),
        (HOST, "/a", None),
        (HOST, "", None),
        ("other.example", "/a/x", None),
        ("", "/a/x", None),
    ],
)
def test_longest_prefix_of_host_matches(host: str, path: str, expected: str | None) -> None:
    table = make_table(make_route(prefix="/a/"), make_route(prefix="/a/b/"))
    route = table.lookup(host, path)
    assert (route.prefix if route else None) == expected


def test_older_configuration_is_ignored() -> None:
    table = make_table(make_route(prefix="/a/"), version=5)
    older = RoutingConfiguration(4, (make_route(prefix="/b/"),), {})
    assert not table.apply(older)
    assert not table.apply(RoutingConfiguration(5, (), {}))
    assert table.lookup(HOST, "/a/x") is not None
    assert table.apply(RoutingConfiguration(6, (), {}))
    assert table.lookup(HOST, "/a/x") is None


def test_services_are_chosen_by_weight() -> None:
    route = make_route(targets=(Target("svc", 90.0), Target("score", 10.0), Target("none", 0.0)))
    table = make_table(route)
    chosen = Counter(table.choose_service(route) for _ in range(100))
    assert chosen == {"svc": 90, "score": 10}


def test_table_is_empty_before_first_configuration() -> None:
    table = RouteTable()
    assert table.version is None
    assert table.lookup(HOST, "/a/x") is None
    assert table.services() == ()
