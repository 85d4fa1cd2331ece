"""Allowed regions of a request, and the error if no worker in them is known."""

from collections.abc import Iterable

from hollowrack.results import Problem, ResultCode

# Regions in which a request may be served; ``None`` for all.
AllowedRegions = frozenset[str] | None

# Entries of new workers and new configurations reach all nodes within 2 to 3 s.
RETRY_AFTER_S = 2.0


def intersection(lists: Iterable[AllowedRegions]) -> AllowedRegions:
    """Return the regions that all lists allow; ``None`` if none of them restricts the regions."""
    allowed: AllowedRegions = None
    for regions in lists:
        if regions is not None:
            allowed = regions if allowed is None else allowed & regions
    return allowed


def no_worker_problem(service: str, allowed_regions: frozenset[str], request_id: str) -> Problem:
    """Return the error of a request for which no worker in the allowed regions is known."""
    names = ", ".join(sorted(allowed_regions)) or "none, as those of route and tenant are disjoint"
    detail = f"no worker of service {service} is known in the allowed regions ({names})"
    return Problem(ResultCode.NO_WORKER_IN_REGIONS, detail, request_id, RETRY_AFTER_S)
