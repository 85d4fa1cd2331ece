"""HTTP sessions towards workers, the store and other nodes."""

import aiohttp

from hollowrack.messages.idle_connections import PeerConnector

# Between nodes and to the store: questions follow each other within a second or two.
IDLE_CONNECTION_TIMEOUT_S = 4.0
NO_CONNECTION_LIMIT = 0


def client_session(
    force_close: bool = False,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
    idle_timeout_s: float = IDLE_CONNECTION_TIMEOUT_S,
) -> aiohttp.ClientSession:
    """Return a session that leaves bodies as they are and keeps no cookies.

    Args:
        force_close: Whether every request has a connection of its own.
        response_class: Class of the answers.
        idle_timeout_s: How long an idle connection is kept, in seconds.
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
