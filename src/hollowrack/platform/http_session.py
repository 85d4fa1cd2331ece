"""HTTP sessions for workers, the store and other nodes."""

import aiohttp

from hollowrack.messages.idle_connections import PeerConnector

# Requests to other nodes and the store recur within a second or two.
IDLE_CONNECTION_TIMEOUT_S = 4.0
NO_CONNECTION_LIMIT = 0


def client_session(
    force_close: bool = False,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
    idle_timeout_s: float = IDLE_CONNECTION_TIMEOUT_S,
) -> aiohttp.ClientSession:
    """Return a session that does not decompress bodies and does not store cookies.

    Args:
        force_close: Whether to use a new connection for every request.
        response_class: Class of the responses.
        idle_timeout_s: Time after which an idle connection is closed, in seconds.
    """
    if force_close:
        connector = PeerConnector(limit=NO_CONNECTION_LIMIT, force_close=True)
    else:
        connector = PeerConnector(limit=NO_CONNECTION_LIMIT, keepalive_timeout=idle_timeout_s)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=response_class,
    )
