"""Process of a storage machine, which waits for SIGTERM.

The platform requires a process on every storage machine, but persistent data is kept in its store.
"""

import signal

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


def serve_storage() -> None:
    """Run a storage process until SIGTERM or SIGINT.

    Waits without an event loop: importing ``asyncio`` would double the memory of the process.
    """
    # A signal can be waited for only while it is blocked.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    signal.sigwait(STOP_SIGNALS)
