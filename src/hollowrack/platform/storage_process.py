"""The process on the platform's storage machines.

Everything that must last is kept in the platform's store, so this process holds nothing; it runs
because the platform wants one on every storage machine, and ends on SIGTERM.
"""

import asyncio
import signal


async def serve_storage() -> None:
    """Run the process until SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await stopped.wait()
