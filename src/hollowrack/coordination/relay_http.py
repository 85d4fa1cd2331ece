"""Relayed calls to the store over HTTP, with CBOR bodies."""

import aiohttp
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hollowrack.coordination.relay import (
    Absent,
    RelayedCall,
    RelayedGet,
    RelayedGrant,
    RelayedList,
    RelayedOutcome,
    RelayedRenewal,
    RelayedWatch,
    RelayedWrite,
    make_relayed_call,
)
from hollowrack.coordination.store import (
    Changes,
    Committed,
    Conflict,
    CoordinationStore,
    GrantedLease,
    HistoryGone,
    LeaseGone,
    Listing,
    NotDone,
    StoredItem,
    Unknown,
)
from hollowrack.messages import codec
from hollowrack.results import DESCRIPTIONS, ResultCode

RELAY_PATH = "/store"
# A little more than the relaying node's own call to the store may take.
ANSWER_TIMEOUT_S = 1.5
WATCH_GRACE_S = 1.8
CONNECT_TIMEOUT_S = 0.3

_CALLS = (
    RelayedGet,
    RelayedList,
    RelayedWatch,
    RelayedWrite,
    RelayedGrant,
    RelayedRenewal,
)
_OUTCOMES = (
    StoredItem,
    Absent,
    Listing,
    Changes,
    HistoryGone,
    Committed,
    Conflict,
    GrantedLease,
    LeaseGone,
    NotDone,
    Unknown,
)


class HttpRelayClient:
    """Sends calls to other nodes; see :class:`hollowrack.coordination.relay.RelayClient`.

    Args:
        session: HTTP session for nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        """Have a node make a call."""
        total_s = ANSWER_TIMEOUT_S
        if isinstance(call, RelayedWatch):
            total_s = call.wait_s + WATCH_GRACE_S
        timeout = aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}{RELAY_PATH}"
        try:
            async with self._session.post(
                url, data=codec.encode(call), timeout=timeout
            ) as response:
                answer = codec.decode(await response.read()).value_or(None)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return NotDone(f"the node at {address} was not reached")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Unknown(f"the node at {address}: {type(error).__name__}")
        if isinstance(answer, _OUTCOMES):
            return answer
        return Unknown(f"the node at {address} answered nonsense")


def relay_routes(store: CoordinationStore) -> list[Route]:
    """Return the route that makes other nodes' calls.

    Args:
        store: Direct access to the store.
    """

    async def relay(request: Request) -> Response:
        call = codec.decode(await request.body()).value_or(None)
        if not isinstance(call, _CALLS):
            status = DESCRIPTIONS[ResultCode.MESSAGE_INVALID].http_status
            return Response(f"[{int(ResultCode.MESSAGE_INVALID)}] no call", status_code=status)
        outcome = await make_relayed_call(store, call)
        return Response(codec.encode(outcome), media_type="application/cbor")

    return [Route(RELAY_PATH, relay, methods=["POST"])]
