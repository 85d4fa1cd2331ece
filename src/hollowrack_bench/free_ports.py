"""Loopback ports that stay free until they are listened on.

A port that the system chooses may be taken, before it is listened on, by any connection that goes
out from this machine. These ports lie below the range from which outgoing connections take theirs.
A port stays locked while the process lives that asked for it: tests that run side by side, in
processes of their own, get different ones.
"""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path
from typing import IO

HOST = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000

# One for each user: a folder of another one could not be written to.
LOCK_FOLDER = Path(tempfile.gettempdir()) / f"hollowrack-ports-{os.getuid()}"

_locks: dict[int, IO[bytes]] = {}
_rng = random.SystemRandom()


def free_port() -> int:
    """Return a port on which nothing listens now, and which no process on this machine holds."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        if port not in _locks and _is_free(port) and _lock(port):
            return port


def free_address() -> str:
    """Return ``IP:PORT`` with a free port."""
    return f"{HOST}:{free_port()}"


def _lock(port: int) -> bool:
    """Lock a port against other processes; the system gives the lock back when this one ends."""
    LOCK_FOLDER.mkdir(exist_ok=True)
    file = (LOCK_FOLDER / str(port)).open("wb")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        return False
    _locks[port] = file
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
