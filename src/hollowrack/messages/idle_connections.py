"""HTTP connector that closes its idle connections to a peer that has stopped responding.

A keep-alive connection can be lost without a FIN or RST, so that a request over it gets no answer
until its timeout. Other idle connections to the same peer are most likely lost as well, and each
would cost one more timeout.
"""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp
from absl import logging
from yarl import URL

# Well above the round trip between peers and below the shortest timeout of a caller (0.25 s).
# Closing a live connection by mistake costs one reconnect.
MIN_SILENCE_S = 0.2


class PeerConnector(aiohttp.TCPConnector):
    """TCP connector that can close its idle connections to one peer."""

    def close_idle(self, url: URL, unused_since_s: float) -> int:
        """Close the idle connections to a peer that were last used before a time.

        Args:
            url: Any URL of the peer; only host and port matter.
            unused_since_s: Time on the connector's clock (``time.monotonic``), in seconds.

        Returns:
            Number of connections closed.
        """
        num_closed = 0
        for key, idle in list(self._conns.items()):
            if (key.host, key.port) != (url.host, url.port):
                continue
            unused = [entry for entry in idle if entry[1] < unused_since_s]
            for entry in unused:
                idle.remove(entry)
                entry[0].close()
            if not idle:
                del self._conns[key]
            num_closed += len(unused)
        return num_closed


@contextmanager
def close_idle_on_timeout(
    session: aiohttp.ClientSession, url: URL | str, expected_wait_s: float = 0.0
) -> Iterator[None]:
    """Close the idle connections to a peer if a request to it times out or is cancelled.

    Connections that were used after the request was sent are known to work and are kept. A request
    over a new connection closes none, since the peer had no idle connection then.

    Args:
        session: Session of the request; has no effect unless its connector is a
            :class:`PeerConnector`.
        url: URL of the request.
        expected_wait_s: Time that the peer may take to answer by protocol, in seconds. Connections
            are closed only if at least ``MIN_SILENCE_S`` more have passed.
    """
    sent_s = time.monotonic()
    try:
        yield
    except (TimeoutError, asyncio.CancelledError):
        if time.monotonic() - sent_s >= expected_wait_s + MIN_SILENCE_S:
            _close_idle(session, URL(url), sent_s)
        raise


def _close_idle(session: aiohttp.ClientSession, url: URL, sent_s: float) -> None:
    connector = session.connector
    if not isinstance(connector, PeerConnector):
        return
    num_closed = connector.close_idle(url, sent_s)
    if num_closed:
        logging.info(
            "%s:%s has not responded for %.2f s: closed %d idle connections to it",
            url.host,
            url.port,
            time.monotonic() - sent_s,
            num_closed,
        )
