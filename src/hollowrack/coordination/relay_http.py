"""HTTP client and route for relayed store calls."""

from collections.abc import Callable

import aiohttp
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
from hollowrack.messages.node_http import (
    NodeNoResponseError,
    NodeUnreachableError,
    call_node,
    message_route,
)

RELAY_PATH = "/store"
# A slow store answers within 0.25 s. Waiting longer delays a call that may succeed directly.
ANSWER_TIMEOUT_S = 0.8
WATCH_TIMEOUT_MARGIN_S = 0.8

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
    """Sends store calls over HTTP; see :class:`hollowrack.coordination.relay.RelayClient`.

    Args:
        session: HTTP session for requests between nodes.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def relay(self, address: str, call: RelayedCall) -> RelayedOutcome:
        """Execute a call through the node at an address."""
        total_s = ANSWER_TIMEOUT_S
        if isinstance(call, RelayedWatch):
            total_s = call.wait_s + WATCH_TIMEOUT_MARGIN_S
        try:
            answer = await call_node(self._session, address, RELAY_PATH, call, total_s)
        except NodeUnreachableError:
            return NotDone(f"node at {address} is unreachable")
        except NodeNoResponseError as error:
            return Unknown(f"node at {address}: {error}")
        if not isinstance(answer, _OUTCOMES):
            return Unknown(f"node at {address} sent an unexpected type of answer")
        return answer


def relay_routes(
    store: CoordinationStore, permits: Callable[[RelayedCall], bool] | None = None
) -> list[Route]:
    """Return the HTTP route that executes other nodes' store calls.

    Args:
        store: Direct access to the store.
        permits: Returns whether this node may make a call; ``None`` if it may make all.
    """

    async def relay(call: RelayedCall) -> RelayedOutcome:
        if permits is not None and not permits(call):
            return NotDone("the relaying node may not make this call")
        return await make_relayed_call(store, call)

    return [message_route(RELAY_PATH, _CALLS, relay)]
