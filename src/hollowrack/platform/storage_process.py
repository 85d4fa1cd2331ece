"""Process of a storage machine, which waits for SIGTERM.

The platform requires a process on every storage machine, but persistent data is kept in its store.
"""

import asyncio
import signal


async def serve_storage() -> None:
    """Run a storage process until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await stopped.wait()
