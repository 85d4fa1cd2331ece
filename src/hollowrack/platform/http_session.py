"""HTTP sessions towards workers, the store and other nodes."""

import aiohttp

KEPT_CONNECTION_S = 4.0
NO_CONNECTION_LIMIT = 0


def client_session(
    force_close: bool = False,
    response_class: type[aiohttp.ClientResponse] = aiohttp.ClientResponse,
) -> aiohttp.ClientSession:
    """Return a session that leaves bodies as they are and keeps no cookies.

    Args:
        force_close: Whether every request has a connection of its own.
        response_class: Class of the answers.
    """
    if force_close:
        connector = aiohttp.TCPConnector(limit=NO_CONNECTION_LIMIT, force_close=True)
    else:
        connector = aiohttp.TCPConnector(
            limit=NO_CONNECTION_LIMIT, keepalive_timeout=KEPT_CONNECTION_S
        )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=response_class,
    )
