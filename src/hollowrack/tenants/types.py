"""Tenants and the digests of their keys, from one version of the configuration.

Keys are secrets, so only digests keyed with a random secret of the process are stored. A leaked
digest is useless outside the process.
"""

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

KeyDigest = bytes

SECRET_BYTES = 32
DIGEST_BYTES = 16
_SECRET = secrets.token_bytes(SECRET_BYTES)


def digest_key(key: str) -> KeyDigest:
    """Return the digest of a key; it differs between processes."""
    return hashlib.blake2b(key.encode(), key=_SECRET, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True)
class Tenant:
    """A customer that sends requests.

    Attributes:
        name: Name of the tenant, which is sent to workers.
        key_digests: Digests of the keys that authenticate its requests.
        priority: Rank of its requests, 0 first; ``None`` to use the route's.
        allowed_regions: Regions in which its requests may be served and stored; ``None`` for all.
    """

    name: str
    key_digests: frozenset[KeyDigest] = frozenset()
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


class TenantDirectory:
    """The tenants of one version of the configuration, by name and by key.

    Args:
        tenants: The tenants.

    Raises:
        ValueError: If a name is empty or duplicate, or if two tenants share a key.
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self._by_name: dict[str, Tenant] = {}
        self._by_digest: dict[KeyDigest, Tenant] = {}
        for index, tenant in enumerate(tenants):
            if not tenant.name:
                raise ValueError(f"tenant {index} has no name")
            if tenant.name in self._by_name:
                raise ValueError(f"tenant {index}: duplicate name")
            self._by_name[tenant.name] = tenant
            for digest in tenant.key_digests:
                other = self._by_digest.setdefault(digest, tenant)
                if other is not tenant:
                    raise ValueError(f"tenants {other.name} and {tenant.name} share a key")

    def __bool__(self) -> bool:
        """Whether there are tenants; if so, requests need a key."""
        return bool(self._by_name)

    def __contains__(self, name: str) -> bool:
        """Whether there is a tenant of a name."""
        return name in self._by_name

    def with_key(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key; ``None`` if none does."""
        return self._by_digest.get(digest_key(key))

    def priority_of(self, name: str | None) -> int | None:
        """Return the rank of a tenant's requests; ``None`` if it has none of its own."""
        tenant = None if name is None else self._by_name.get(name)
        return None if tenant is None else tenant.priority

    def allowed_regions_of(self, name: str | None) -> frozenset[str] | None:
        """Return the allowed regions of a tenant; ``None`` if it has no restriction."""
        tenant = None if name is None else self._by_name.get(name)
        return None if tenant is None else tenant.allowed_regions

    def restricted_regions(self) -> dict[str, frozenset[str]]:
        """Return the allowed regions of the tenants that have a restriction, by name."""
        return {
            tenant.name: tenant.allowed_regions
            for tenant in self._by_name.values()
            if tenant.allowed_regions is not None
        }
