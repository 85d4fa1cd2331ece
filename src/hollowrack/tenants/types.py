"""Tenants and their keys as one version of the configuration names them.

A key opens all that its tenant may do, so no key is kept: only digests under a secret that each
process draws for itself. They are of no use in a log, at another node or after the process.
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
    """Return the digest of a key; it is the same throughout one process only."""
    return hashlib.blake2b(key.encode(), key=_SECRET, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True)
class Tenant:
    """One customer of the operators.

    Attributes:
        name: Its name, which workers are told.
        key_digests: Digests of the keys that prove a request to be its.
        priority: Rank of its requests, 0 first; ``None`` leaves it to the route.
    """

    name: str
    key_digests: frozenset[KeyDigest] = frozenset()
    priority: int | None = None


class TenantDirectory:
    """The tenants of one version of the configuration, by name and by key.

    Args:
        tenants: The tenants.

    Raises:
        ValueError: If a name is empty or stands twice, or if two tenants share a key.
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self._by_name: dict[str, Tenant] = {}
        self._by_digest: dict[KeyDigest, Tenant] = {}
        for index, tenant in enumerate(tenants):
            if not tenant.name:
                raise ValueError(f"tenant {index} has no name")
            if tenant.name in self._by_name:
                raise ValueError(f"tenant {index}: its name stands twice")
            self._by_name[tenant.name] = tenant
            for digest in tenant.key_digests:
                other = self._by_digest.setdefault(digest, tenant)
                if other is not tenant:
                    raise ValueError(f"tenants {other.name} and {tenant.name} share a key")

    def __bool__(self) -> bool:
        """Whether there are tenants, so that requests need a key."""
        return bool(self._by_name)

    def with_key(self, key: str) -> Tenant | None:
        """Return the tenant that holds a key; ``None`` if none does."""
        return self._by_digest.get(digest_key(key))

    def priority_of(self, name: str | None) -> int | None:
        """Return the rank of a tenant's requests; ``None`` if it has none of its own."""
        tenant = None if name is None else self._by_name.get(name)
        return None if tenant is None else tenant.priority
