"""Guards against requests accepted with an unknown key, and keys that appear in errors."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure

from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.types import RoutingConfiguration
from hollowrack.results import DESCRIPTIONS, ResultCode
from hollowrack.tenants.authentication import authenticate
from hollowrack.tenants.types import TenantDirectory, digest_key
from tests.tenants.test_types import tenant

DIRECTORY = TenantDirectory([tenant("a", "k1")])
VALID = "Bearer k1"


@pytest.mark.parametrize("value", [VALID, "bearer k1", "BEARER   k1 "])
@pytest.mark.parametrize("is_public", [True, False])
def test_known_key_authenticates_its_tenant(value: str, is_public: bool) -> None:
    found = authenticate(DIRECTORY, [value], is_public).unwrap()
    assert found is not None
    assert found.name == "a"


INVALID = {
    "none": ([], ResultCode.KEY_MISSING),
    "empty": ([""], ResultCode.KEY_MISSING),
    "no scheme": (["k1"], ResultCode.KEY_MISSING),
    "no key": (["Bearer"], ResultCode.KEY_MISSING),
    "another scheme": (["Basic k1"], ResultCode.KEY_MISSING),
    "two keys in one": (["Bearer k1 k1"], ResultCode.KEY_MISSING),
    "two headers": ([VALID, VALID], ResultCode.KEY_MISSING),
    "folded headers": (["Bearer k1, Bearer k1"], ResultCode.KEY_MISSING),
    "unknown": (["Bearer k2"], ResultCode.KEY_UNKNOWN),
    "another case": (["Bearer K1"], ResultCode.KEY_UNKNOWN),
    "a trailing comma": (["Bearer k1,"], ResultCode.KEY_UNKNOWN),
}


@pytest.mark.parametrize("name", sorted(INVALID))
def test_other_credentials_are_refused_unless_route_is_public(name: str) -> None:
    credentials, code = INVALID[name]
    refused = authenticate(DIRECTORY, credentials, is_public=False)
    assert isinstance(refused, Failure)
    assert refused.failure().code is code
    assert DESCRIPTIONS[code].http_status == 401
    assert "k1" not in str(refused.failure())
    assert "k2" not in str(refused.failure())
    assert authenticate(DIRECTORY, credentials, is_public=True).unwrap() is None


def test_no_key_is_required_without_tenants() -> None:
    assert authenticate(TenantDirectory(), [], is_public=False).unwrap() is None
    assert authenticate(TenantDirectory(), [VALID], is_public=False).unwrap() is None


KEYS = st.sampled_from(["k1", "k2", "k3", "k4"])
NAMES = st.sampled_from(["a", "b", "c"])
NODES = st.integers(0, 2)


class ChangingKeys(RuleBasedStateMachine):
    """Keys are added, removed and moved while versions reach nodes late and out of order."""

    def __init__(self) -> None:
        super().__init__()
        # Tenant by key for each version; a tenant without keys stays configured.
        self.versions: list[dict[str, str]] = [{"k1": "a"}]
        self.nodes = [RouteTable() for _ in range(3)]
        self.highest = [-1, -1, -1]

    @rule(key=KEYS, name=NAMES)
    def add_key(self, key: str, name: str) -> None:
        self.versions.append(self.versions[-1] | {key: name})

    @rule(key=KEYS)
    def remove_key(self, key: str) -> None:
        self.versions.append({k: v for k, v in self.versions[-1].items() if k != key})

    @rule(old_key=KEYS, key=KEYS, name=NAMES)
    def replace(self, old_key: str, key: str, name: str) -> None:
        remaining = {k: v for k, v in self.versions[-1].items() if k != old_key}
        self.versions.append(remaining | {key: name})

    @rule(node=NODES, num_back=st.integers(0, 4))
    def deliver(self, node: int, num_back: int) -> None:
        version = max(0, len(self.versions) - 1 - num_back)
        tenants = [
            tenant(name, *(k for k, v in self.versions[version].items() if v == name))
            for name in ("a", "b", "c")
        ]
        configuration = RoutingConfiguration(version, (), {}, tenants=TenantDirectory(tenants))
        self.nodes[node].apply(configuration)
        self.highest[node] = max(self.highest[node], version)

    @rule(node=NODES, key=KEYS)
    def authenticate_key(self, node: int, key: str) -> None:
        if self.highest[node] < 0:
            return
        answer = authenticate(self.nodes[node].tenants, [f"Bearer {key}"], is_public=False)
        expected = self.versions[self.highest[node]].get(key)
        if expected is None:
            assert isinstance(answer, Failure)
        else:
            found = answer.unwrap()
            assert found is not None
            assert found.name == expected
            assert found.key_digests >= {digest_key(key)}

    @invariant()
    def versions_only_rise(self) -> None:
        shown = [-1 if node.version is None else node.version for node in self.nodes]
        assert shown == self.highest


TestChangingKeys = ChangingKeys.TestCase
TestChangingKeys.settings = settings(max_examples=60, derandomize=True, deadline=None)
