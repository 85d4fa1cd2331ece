"""Which requests have ended workers, as far as one node knows.

A request is quarantined once as many workers as :data:`QUARANTINE_CRASH_THRESHOLD` have ended under
it, wherever and in however many tries. An answer by a worker that lived through the request clears
it.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.store import ABSENT_REVISION
from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.quarantine.types import QuarantineState, SuspectChange

# Sound requests are caught in the end of a worker once or, beside a crashing one, twice.
QUARANTINE_CRASH_THRESHOLD = 3
# From this many on other nodes are told at once, though the request may still be on its way.
IMMEDIATE_SHARING_CRASH_THRESHOLD = 2
# After this time a request may be tried again: its workers may have been mended meanwhile.
QUARANTINE_S = 3600.0
# A request that a worker answered this lately is not what ended another: requests that crash
# workers crash each one. It spares look-ups that many callers make at once when workers are lost
# together.
SUCCESS_TTL_S = 5.0
MAX_RECENT_SUCCESSES = 4096
MAX_SUSPECTS = 1024


@dataclass
class _Suspect:
    """One request under which workers ended.

    Attributes:
        ended: All lives of workers that did, as texts.
        shared: Those that the store's record names.
        revision: Revision of that record.
        must_tell: Whether what the record lacks is to be written.
        is_cleared: Whether the request is sound, so that the record is to go.
        since_s: When this node first heard of it, on the loop's clock.
    """

    ended: set[str] = field(default_factory=set)
    shared: frozenset[str] = frozenset()
    revision: int = ABSENT_REVISION
    must_tell: bool = False
    is_cleared: bool = False
    since_s: float = 0.0


class SuspectRegistry:
    """The requests that are suspected or quarantined, by fingerprint.

    Attributes:
        changed: Set whenever there may be something to tell the other nodes; the reader clears it.
    """

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._good_s: OrderedDict[str, float] = OrderedDict()
        self._lifted = asyncio.Event()

    @property
    def num_suspects(self) -> int:
        """How many requests have ended a worker and are not cleared."""
        return sum(not suspect.is_cleared for suspect in self._suspects.values())

    @property
    def num_quarantined(self) -> int:
        """How many requests are not sent to workers."""
        return sum(self.quarantine_state(fingerprint) is not None for fingerprint in self._suspects)

    def record_crash(
        self, fingerprint: str, worker: WorkerIncarnation, is_retried_here: bool
    ) -> None:
        """A worker ended while it ran a request.

        Args:
            fingerprint: The request's.
            worker: The life of the worker.
            is_retried_here: Whether this node runs the request until it is whole, so that others
                need not know of a first end.
        """
        good_s = self._good_s.get(fingerprint)
        if good_s is not None and now_s() - good_s < SUCCESS_TTL_S:
            return
        suspect = self._of(fingerprint)
        suspect.is_cleared = False
        self._add(fingerprint, suspect, {str(worker)})
        suspect.must_tell |= (
            not is_retried_here or len(suspect.ended) >= IMMEDIATE_SHARING_CRASH_THRESHOLD
        )
        self.changed.set()

    def record_abandoned(self, fingerprint: str) -> None:
        """This node stopped running a request that is not whole: it may go on elsewhere."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.is_cleared:
            suspect.must_tell = True
            self.changed.set()

    def record_success(self, fingerprint: str) -> None:
        """A worker answered a request well: it is sound."""
        self._good_s[fingerprint] = now_s()
        self._good_s.move_to_end(fingerprint)
        if len(self._good_s) > MAX_RECENT_SUCCESSES:
            self._good_s.popitem(last=False)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.is_cleared:
            self._clear(fingerprint)

    def quarantine_state(self, fingerprint: str) -> QuarantineState | None:
        """Why a request must not be sent to a worker; ``None`` if it may be."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.is_cleared or len(suspect.ended) < QUARANTINE_CRASH_THRESHOLD:
            return None
        remaining_s = suspect.since_s + QUARANTINE_S - now_s()
        return QuarantineState(len(suspect.ended), remaining_s) if remaining_s > 0.0 else None

    def num_crashes(self, fingerprint: str) -> int:
        """How many workers are known to have ended under a request."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None or suspect.is_cleared else len(suspect.ended)

    async def wait_until_lifted(self, fingerprint: str) -> None:
        """Wait until a request may be sent to workers."""
        while (verdict := self.quarantine_state(fingerprint)) is not None:
            try:
                async with asyncio.timeout(verdict.remaining_s):
                    await self._lifted.wait()
            except TimeoutError:
                continue

    def update_from_record(
        self, fingerprint: str, ended_workers: Iterable[str], revision: int
    ) -> None:
        """Take in what the store's record of a request says."""
        suspect = self._of(fingerprint)
        if revision <= suspect.revision:
            return
        suspect.shared = frozenset(ended_workers)
        suspect.revision = revision
        self._add(fingerprint, suspect, suspect.shared)
        self.changed.set()

    def remove_record(self, fingerprint: str) -> None:
        """The store's record of a request is gone: it was cleared, or its time is over."""
        if fingerprint in self._suspects:
            self._forget(fingerprint)

    def changes(self) -> list[SuspectChange]:
        """Return what the store should be told."""
        return [
            change
            for fingerprint, suspect in self._suspects.items()
            if (change := _change(fingerprint, suspect)) is not None
        ]

    def overdue(self) -> list[SuspectChange]:
        """Return the removal of each record that has been known for longer than a quarantine."""
        return [
            SuspectChange(fingerprint, frozenset(), suspect.revision)
            for fingerprint, suspect in self._suspects.items()
            if suspect.revision != ABSENT_REVISION and _is_over(suspect)
        ]

    def _of(self, fingerprint: str) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect(since_s=now_s())
            self._make_room()
        elif _is_over(suspect):
            # After a quarantine ends count anew; the record is replaced with the next one.
            suspect.ended.clear()
            suspect.must_tell = False
            suspect.since_s = now_s()
        return suspect

    def _make_room(self) -> None:
        """Leave out the oldest, one that is not quarantined if there is such a one."""
        if self.num_suspects <= MAX_SUSPECTS:
            return
        *older, _ = (
            fingerprint for fingerprint, suspect in self._suspects.items() if not suspect.is_cleared
        )
        free = (fingerprint for fingerprint in older if self.quarantine_state(fingerprint) is None)
        chosen = next(free, older[0])
        logging.warning("quarantine is full: the request with fingerprint %s is left out", chosen)
        self._clear(chosen)

    def _clear(self, fingerprint: str) -> None:
        """Suspect a request no longer, here and in the store."""
        suspect = self._suspects[fingerprint]
        if suspect.revision == ABSENT_REVISION:
            self._forget(fingerprint)
        else:
            suspect.is_cleared = True
            self._lift()
        self.changed.set()

    def _forget(self, fingerprint: str) -> None:
        del self._suspects[fingerprint]
        self._lift()

    def _lift(self) -> None:
        self._lifted.set()
        self._lifted = asyncio.Event()

    def _add(self, fingerprint: str, suspect: _Suspect, workers: Collection[str]) -> None:
        """Add workers that ended under a request; tells in the log when that condemns it."""
        was_suspect = len(suspect.ended) < QUARANTINE_CRASH_THRESHOLD
        suspect.ended.update(workers)
        if was_suspect and len(suspect.ended) >= QUARANTINE_CRASH_THRESHOLD:
            logging.warning(
                "request with fingerprint %s: quarantined for %.0f s, workers ended under it: %s",
                fingerprint,
                max(0.0, suspect.since_s + QUARANTINE_S - now_s()),
                ", ".join(sorted(suspect.ended)),
            )


def _is_over(suspect: _Suspect) -> bool:
    return now_s() - suspect.since_s >= QUARANTINE_S


def _change(fingerprint: str, suspect: _Suspect) -> SuspectChange | None:
    if suspect.is_cleared:
        return SuspectChange(fingerprint, frozenset(), suspect.revision)
    if suspect.must_tell and not suspect.ended <= suspect.shared:
        return SuspectChange(fingerprint, frozenset(suspect.ended), suspect.revision)
    return None
