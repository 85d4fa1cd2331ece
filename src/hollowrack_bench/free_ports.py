"""Loopback ports that stay free until they are listened on.

A port that the system chooses may be taken, before it is listened on, by any connection that goes
out from this machine. These ports lie below the range from which outgoing connections take theirs.
"""

import random
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000

_handed_out: set[int] = set()
_rng = random.SystemRandom()


def free_port() -> int:
    """Return a port on which nothing listens now, and which was not returned before."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        if port not in _handed_out and _is_free(port):
            _handed_out.add(port)
            return port


def free_address() -> str:
    """Return ``IP:PORT`` with a free port."""
    return f"{HOST}:{free_port()}"


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
