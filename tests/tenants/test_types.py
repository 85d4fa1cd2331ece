"""Guards against ambiguous tenant directories, and keys readable in a digest or an error."""

import pytest

from hollowrack.tenants.types import Tenant, TenantDirectory, digest_key


def tenant(name: str, *keys: str, priority: int | None = None) -> Tenant:
    return Tenant(name, frozenset(digest_key(key) for key in keys), priority)


def test_tenant_is_found_by_any_of_its_keys() -> None:
    directory = TenantDirectory([tenant("a", "k1", "k2", priority=3), tenant("b", "k3")])
    found = [directory.with_key(key) for key in ("k1", "k2", "k3", "k4", "")]
    assert [None if one is None else one.name for one in found] == ["a", "a", "b", None, None]
    assert [directory.priority_of(name) for name in ("a", "b", "c", None)] == [3, None, None, None]


def test_directory_without_tenants_requires_no_key() -> None:
    assert not TenantDirectory()
    assert TenantDirectory([tenant("a")])


@pytest.mark.parametrize(
    "tenants",
    [
        [tenant("", "k1")],
        [tenant("a", "k1"), tenant("a", "k2")],
        [tenant("a", "k1"), tenant("b", "k2", "k1")],
    ],
    ids=["no name", "one name twice", "a shared key"],
)
def test_ambiguous_tenants_are_rejected_without_key_in_error(
    tenants: list[Tenant],
) -> None:
    with pytest.raises(ValueError, match="tenant") as raised:
        TenantDirectory(tenants)
    assert "k1" not in str(raised.value)


def test_digests_do_not_contain_the_key() -> None:
    assert b"secret-key" not in digest_key("secret-key")
    assert digest_key("secret-key") == digest_key("secret-key")
    assert "secret-key" not in repr(tenant("a", "secret-key"))
