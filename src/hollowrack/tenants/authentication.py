"""Authentication of requests by bearer key."""

from collections.abc import Sequence

from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode
from hollowrack.tenants.types import Tenant, TenantDirectory

SCHEME = "bearer"
_NUM_PARTS = 2


def bearer_key(credentials: Sequence[str]) -> str | None:
    """Return the key in the credentials of a request.

    Args:
        credentials: The values of all credential headers of the request.

    Returns:
        The key; ``None`` unless there is exactly one credential and it is a bearer token.
    """
    if len(credentials) != 1:
        return None
    parts = credentials[0].split()
    if len(parts) != _NUM_PARTS or parts[0].lower() != SCHEME:
        return None
    return parts[1]


def authenticate(
    tenants: TenantDirectory, credentials: Sequence[str], is_public: bool
) -> Result[Tenant | None, Problem]:
    """Return the tenant of a request.

    Args:
        tenants: The tenants of the configuration that contains the request's route.
        credentials: The values of all credential headers of the request.
        is_public: Whether the route accepts requests without a key.

    Returns:
        The tenant, or ``None`` if no key is required and no known key was sent. Fails with
        ``KEY_MISSING`` or ``KEY_UNKNOWN``; the errors do not contain the key.
    """
    if not tenants:
        return Success(None)
    key = bearer_key(credentials)
    tenant = None if key is None else tenants.with_key(key)
    if tenant is not None or is_public:
        return Success(tenant)
    if key is None:
        return Failure(Problem(ResultCode.KEY_MISSING, "the request needs one bearer key"))
    return Failure(Problem(ResultCode.KEY_UNKNOWN, "no tenant holds this key"))
