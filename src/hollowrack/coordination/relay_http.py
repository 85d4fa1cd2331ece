"""Relayed calls to the store over HTTP."""

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
    NodeSilentError,
    NodeUnreachableError,
    ask_node,
    question_route,
)

RELAY_PATH = "/store"
# A node that is served answers within some ten milliseconds, a slow store within a quarter of a
# second. Silence must not hold up a call that the store may answer directly meanwhile.
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
            total_s = call.wait_s + WATCH_TIMEOUT_MARGIN_S
        try:
            answer = await ask_node(self._session, address, RELAY_PATH, call, total_s)
        except NodeUnreachableError:
            return NotDone(f"the node at {address} was not reached")
        except NodeSilentError as error:
            return Unknown(f"the node at {address}: {error}")
        if not isinstance(answer, _OUTCOMES):
            return Unknown(f"the node at {address} answered nonsense")
        return answer


def relay_routes(store: CoordinationStore) -> list[Route]:
    """Return the route that makes other nodes' calls.

    Args:
        store: Direct access to the store.
    """

    async def relay(call: RelayedCall) -> RelayedOutcome:
        return await make_relayed_call(store, call)

    return [question_route(RELAY_PATH, _CALLS, relay)]
