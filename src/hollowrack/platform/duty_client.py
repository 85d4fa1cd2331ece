"""Client of the platform's duty service: usage reports and capacity orders."""

from http import HTTPStatus

import aiohttp

from hollowrack.capacity.types import CapacityOrder
from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.messages.idle_connections import close_idle_on_timeout
from hollowrack.platform import names
from hollowrack.usage.types import WindowReport

# A call may outlast the leader's session; the fencing token identifies calls of a former leader.
CALL_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.4

_OUTCOMES = {
    HTTPStatus.CONFLICT: DutyOutcome.UNAVAILABLE,
    HTTPStatus.TOO_MANY_REQUESTS: DutyOutcome.THROTTLED,
    HTTPStatus.SERVICE_UNAVAILABLE: DutyOutcome.THROTTLED,
}


class PlatformDutyClient:
    """Sends usage reports and capacity orders.

    Implements :class:`UsageClient` and :class:`CapacityClient`.

    Args:
        session: HTTP session used by this client only.
        address: ``IP:PORT`` of the duty service.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"

    async def report_usage(self, holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        """Send the usage report of one window."""
        body: dict[str, object] = {"window": report.window, "counts": report.counts}
        return await self._call(names.USAGE_PATH, holder, body)

    async def order_capacity(self, holder: DutyHolder, order: CapacityOrder) -> DutyOutcome:
        """Send a capacity order."""
        body: dict[str, object] = {
            "service": order.service,
            "zone": order.zone,
            "desired": order.num_workers,
        }
        if order.is_spot:
            body["spot"] = True
        return await self._call(names.SCALE_PATH, holder, body)

    async def _call(self, path: str, holder: DutyHolder, body: dict[str, object]) -> DutyOutcome:
        headers = {
            names.DUTY_HOLDER: holder.node,
            names.FENCING_TOKEN: str(holder.fencing_token),
        }
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        try:
            with close_idle_on_timeout(self._session, self._base):
                async with self._session.post(
                    self._base + path, json=body, headers=headers, timeout=timeout
                ) as response:
                    await response.read()
            if response.status == HTTPStatus.OK:
                return DutyOutcome.ACCEPTED
            return _OUTCOMES.get(HTTPStatus(response.status), DutyOutcome.REFUSED)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return DutyOutcome.UNKNOWN
