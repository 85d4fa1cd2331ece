"""Refusal of requests of services whose workers are all in evacuated zones."""

from hollowrack.results import Problem, ResultCode

# The end of an evacuation is not known in advance. Once it is lifted, all nodes know within 2 to
# 3 s, so that most callers find workers at their second or third repeat.
EVACUATED_RETRY_AFTER_S = 1.0


def evacuated_problem(service: str, request_id: str) -> Problem:
    """Return the error for a request that no worker has run.

    Args:
        service: Name of the service.
        request_id: Identifier of the request.
    """
    detail = f"all workers of service {service} are in evacuated zones"
    return Problem(ResultCode.ZONES_EVACUATED, detail, request_id, EVACUATED_RETRY_AFTER_S)
