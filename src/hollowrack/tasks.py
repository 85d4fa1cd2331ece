"""Cancellation of background tasks."""

import asyncio
from typing import Any


async def cancel_all(*tasks: asyncio.Task[Any] | None) -> None:
    """Cancel tasks and wait until they have ended; ``None`` stands for a task never started."""
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)
