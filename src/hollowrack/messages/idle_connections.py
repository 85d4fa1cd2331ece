"""Kept connections of an HTTP client that fall silent together.

A connection may be dead without a sign: what is sent over it gets no answer until a time-out. The
others that were kept to the same peer at that time have most likely gone the same way, and each of
them would cost a caller one more time-out.
"""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp
from absl import logging
from yarl import URL

# Peers are milliseconds apart, and no caller waits less than a quarter of a second for an answer.
# Silence for that long beyond what the answer may take shows that the
# connection is dead or the peer is overloaded; the price of a mistake is a new connection.
MIN_SILENCE_S = 0.2


class PeerConnector(aiohttp.TCPConnector):
    """Connections that can be dropped by peer."""

    def close_idle(self, url: URL, unused_since_s: float) -> int:
        """Close the idle connections to a peer that have not been used since a time.

        Args:
            url: Any address at the peer.
            unused_since_s: The time, on the clock of the client library (``time.monotonic``).

        Returns:
            How many were closed.
        """
        num_closed = 0
        for key, kept in list(self._conns.items()):
            if (key.host, key.port) != (url.host, url.port):
                continue
            unused = [entry for entry in kept if entry[1] < unused_since_s]
            for entry in unused:
                kept.remove(entry)
                entry[0].close()
            if not kept:
                del self._conns[key]
            num_closed += len(unused)
        return num_closed


@contextmanager
def close_idle_on_timeout(
    session: aiohttp.ClientSession, url: URL | str, expected_wait_s: float = 0.0
) -> Iterator[None]:
    """Drop the idle connections to a peer if a request to it is given up without an answer.

    Connections that were used after the request was sent are sound, and stay. A request that had
    a new connection drops none: there was no idle one, or it would have had that.

    Args:
        session: The session, with a :class:`PeerConnector`; nothing is dropped with another one.
        url: Where the request goes.
        expected_wait_s: How long the peer may take by agreement, in seconds.
    """
    sent_s = time.monotonic()
    try:
        yield
    except (TimeoutError, asyncio.CancelledError):
        if time.monotonic() - sent_s >= expected_wait_s + MIN_SILENCE_S:
            _drop_idle(session, URL(url), sent_s)
        raise


def _drop_idle(session: aiohttp.ClientSession, url: URL, sent_s: float) -> None:
    connector = session.connector
    if not isinstance(connector, PeerConnector):
        return
    num_closed = connector.close_idle(url, sent_s)
    if num_closed:
        logging.info(
            "%s:%s is silent for %.2f s: %d idle connections to it closed",
            url.host,
            url.port,
            time.monotonic() - sent_s,
            num_closed,
        )
