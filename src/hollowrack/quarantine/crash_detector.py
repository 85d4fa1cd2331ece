"""Tells a worker that has ended from a connection that broke."""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum

from absl import logging

from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.types import Worker, WorkerIncarnation


class DisconnectCause(Enum):
    """What is known of a worker that broke a request off."""

    ENDED = "it has ended: nothing listens at its address, or a later life does"
    UNPROVEN = "it has not been shown to have ended"


class CrashDetector:
    """Looks after each worker that broke a request off.

    A worker that ends breaks everything off that it runs, so one look answers for all of them.

    Args:
        back_ends: Looks whether a worker listens.
        on_crash: Called with the fingerprint of a request, the life of the worker that ended under
            it, and whether the request goes on.

    Attributes:
        num_disconnects: How many requests were broken off, by cause.
    """

    def __init__(
        self, back_ends: BackEndClient, on_crash: Callable[[str, WorkerIncarnation, bool], None]
    ) -> None:
        self.num_disconnects: Counter[DisconnectCause] = Counter()
        self._back_ends = back_ends
        self._on_ended = on_crash
        self._looks: dict[WorkerIncarnation, asyncio.Task[bool]] = {}
        self._notes: set[asyncio.Task[None]] = set()

    def record_disconnect(
        self, request_id: str, fingerprint: str, worker: Worker, is_retried_here: bool = False
    ) -> None:
        """A worker broke a request off: find out in the background whether it has ended."""
        look = self._looks.get(worker.incarnation)
        if look is None:
            look = asyncio.create_task(self._back_ends.has_ended(worker))
            self._looks[worker.incarnation] = look
            look.add_done_callback(lambda _: self._looks.pop(worker.incarnation, None))
        note = asyncio.create_task(
            self._note(request_id, fingerprint, worker, look, is_retried_here)
        )
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
        cause = DisconnectCause.ENDED if await asyncio.shield(look) else DisconnectCause.UNPROVEN
        self.num_disconnects[cause] += 1
        logging.info(
            "request %s with fingerprint %s: broken off by worker %s, %s",
            request_id,
            fingerprint,
            worker.incarnation,
            cause.value,
        )
        if cause is DisconnectCause.ENDED:
            self._on_ended(fingerprint, worker.incarnation, goes_on)
