"""Allocation of free loopback ports.

The ports are below the ephemeral range, so that no outgoing connection can occupy them before they
are listened on. Each is locked until the allocating process ends, so that concurrent test processes
get different ports.
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

# One per user, since the folder of another user is not writable.
LOCK_FOLDER = Path(tempfile.gettempdir()) / f"hollowrack-ports-{os.getuid()}"

_locks: dict[int, IO[bytes]] = {}
_rng = random.SystemRandom()


def free_port() -> int:
    """Return a port that is not in use and that no other process has allocated."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        if port not in _locks and _is_free(port) and _lock(port):
            return port


def free_address() -> str:
    """Return a loopback ``IP:PORT`` with a free port."""
    return f"{HOST}:{free_port()}"


def _lock(port: int) -> bool:
    """Lock a port until this process ends; returns False if another process holds it."""
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
