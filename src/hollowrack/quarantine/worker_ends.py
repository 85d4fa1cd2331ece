"""Tells a worker that has ended from a connection that broke."""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum

from absl import logging

from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.types import Worker, WorkerLife


class BreakCause(Enum):
    """What is known of a worker that broke a request off."""

    ENDED = "it has ended: nothing listens at its address, or a later life does"
    UNPROVEN = "it has not been shown to have ended"


class WorkerEnds:
    """Looks after each worker that broke a request off.

    A worker that ends breaks everything off that it runs, so one look answers for all of them.

    Args:
        back_ends: Looks whether a worker listens.
        on_ended: Called with the fingerprint of a request, the life of the worker that ended under
            it, and whether the request goes on.

    Attributes:
        num_breaks: How many requests were broken off, by cause.
    """

    def __init__(
        self, back_ends: BackEndClient, on_ended: Callable[[str, WorkerLife, bool], None]
    ) -> None:
        self.num_breaks: Counter[BreakCause] = Counter()
        self._back_ends = back_ends
        self._on_ended = on_ended
        self._looks: dict[WorkerLife, asyncio.Task[bool]] = {}
        self._notes: set[asyncio.Task[None]] = set()

    def note_break(
        self, request_id: str, fingerprint: str, worker: Worker, goes_on: bool = False
    ) -> None:
        """A worker broke a request off: find out in the background whether it has ended."""
        look = self._looks.get(worker.life)
        if look is None:
            look = asyncio.create_task(self._back_ends.has_ended(worker))
            self._looks[worker.life] = look
            look.add_done_callback(lambda _: self._looks.pop(worker.life, None))
        note = asyncio.create_task(self._note(request_id, fingerprint, worker, look, goes_on))
        self._notes.add(note)
        note.add_done_callback(self._notes.discard)

    async def _note(
        self,
        request_id: str,
        fingerprint: str,
        worker: Worker,
        look: asyncio.Task[bool],
        goes_on: bool,
    ) -> None:
        cause = BreakCause.ENDED if await asyncio.shield(look) else BreakCause.UNPROVEN
        self.num_breaks[cause] += 1
        logging.info(
            "request %s with fingerprint %s: broken off by worker %s, %s",
            request_id,
            fingerprint,
            worker.life,
            cause.value,
        )
        if cause is BreakCause.ENDED:
            self._on_ended(fingerprint, worker.life, goes_on)
