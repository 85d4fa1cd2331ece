"""The clock of the running event loop.

All timing uses the loop's clock, so that the same code runs in real time in production and in
virtual time in tests and benchmarks.
"""

import asyncio


def now_s() -> float:
    """Return the running loop's monotonic time, in seconds."""
    return asyncio.get_running_loop().time()
