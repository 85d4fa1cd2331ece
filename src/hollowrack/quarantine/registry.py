"""Registry of suspects: requests under which workers have crashed, as known to one node.

A request is quarantined once :data:`QUARANTINE_CRASH_THRESHOLD` worker incarnations have crashed
soon after they started it, over all nodes and attempts. A crash under a run that had made progress
has more often another cause and counts :data:`LATER_CRASH_WEIGHT`; as such crashes count as well, a
request that crashes its workers late is stopped too. A successful answer by any worker clears the
request.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.store import ABSENT_REVISION
from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.quarantine.types import CrashTiming, QuarantineState, SuspectChange

# Above the number of crashes that interrupt a harmless request: one or, beside a request that
# crashes workers, two.
QUARANTINE_CRASH_THRESHOLD = 3
# Limits the crashes under one request to twice the threshold, whatever their timing.
LATER_CRASH_WEIGHT = 0.5
# From this number on, crashes are shared with other nodes even while this node retries the request.
IMMEDIATE_SHARING_CRASH_THRESHOLD = 2
# After this time the request may be sent again, as its workers may have been fixed.
QUARANTINE_DURATION_S = 3600.0
# A crash within this time after a success is not attributed to the request, as a request that
# crashes workers crashes every one that runs it. Protects requests that many callers send
# concurrently when several workers are lost together.
SUCCESS_TTL_S = 5.0
MAX_RECENT_SUCCESSES = 4096
MAX_SUSPECTS = 1024


@dataclass
class _Suspect:
    """One request under which workers have crashed.

    Attributes:
        crashes: Timing of the crashes, by the text of the worker incarnation.
        shared: The same, as contained in the store's record.
        revision: Revision of that record; :data:`ABSENT_REVISION` without one.
        must_share: Whether crashes missing in the record must be written to it.
        is_cleared: Whether the request has been cleared and its record must be removed.
        since_s: Time at which this node learned of the suspect, on the loop's clock.
    """

    crashes: dict[str, CrashTiming] = field(default_factory=dict)
    shared: Mapping[str, CrashTiming] = field(default_factory=dict)
    revision: int = ABSENT_REVISION
    must_share: bool = False
    is_cleared: bool = False
    since_s: float = 0.0

    @property
    def crash_weight(self) -> float:
        """Number of crashes, those after the start weighted less."""
        num_at_start = sum(timing is CrashTiming.AT_START for timing in self.crashes.values())
        return num_at_start + LATER_CRASH_WEIGHT * (len(self.crashes) - num_at_start)

    @property
    def is_quarantined(self) -> bool:
        """Whether enough workers have crashed under it to quarantine it."""
        return not self.is_cleared and self.crash_weight >= QUARANTINE_CRASH_THRESHOLD


class SuspectRegistry:
    """Suspected and quarantined requests, by fingerprint.

    Attributes:
        changed: Set when there may be changes to write to the store; cleared by the reader.
    """

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._last_success_s: OrderedDict[str, float] = OrderedDict()
        self._quarantine_lifted = asyncio.Event()
        self._record_updated = asyncio.Event()

    @property
    def num_suspects(self) -> int:
        """Number of suspects, quarantined ones included."""
        return sum(not suspect.is_cleared for suspect in self._suspects.values())

    @property
    def num_quarantined(self) -> int:
        """Number of quarantined requests."""
        return sum(self.quarantine_state(fingerprint) is not None for fingerprint in self._suspects)

    def record_crash(
        self,
        fingerprint: str,
        worker: WorkerIncarnation,
        is_retried_here: bool,
        timing: CrashTiming = CrashTiming.AT_START,
    ) -> None:
        """Record that a worker crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            worker: Incarnation of the worker.
            is_retried_here: Whether this node retries the request until it is complete, so that a
                first crash need not be shared with other nodes.
            timing: When the worker crashed, relative to the request.
        """
        last_success_s = self._last_success_s.get(fingerprint)
        if last_success_s is not None and now_s() - last_success_s < SUCCESS_TTL_S:
            return
        suspect = self._get_or_add(fingerprint)
        suspect.is_cleared = False
        self._add_crashes(fingerprint, suspect, {str(worker): timing})
        suspect.must_share |= (
            not is_retried_here or len(suspect.crashes) >= IMMEDIATE_SHARING_CRASH_THRESHOLD
        )
        self.changed.set()

    def record_abandoned(self, fingerprint: str) -> None:
        """Record that this node stopped running an incomplete request; other nodes may run it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.is_cleared:
            suspect.must_share = True
            self.changed.set()

    def record_success(self, fingerprint: str) -> None:
        """Record that a worker answered a request successfully, and clear the request."""
        self._last_success_s[fingerprint] = now_s()
        self._last_success_s.move_to_end(fingerprint)
        if len(self._last_success_s) > MAX_RECENT_SUCCESSES:
            self._last_success_s.popitem(last=False)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.is_cleared:
            self._clear(fingerprint)

    def quarantine_state(self, fingerprint: str) -> QuarantineState | None:
        """Return the quarantine state of a request; ``None`` if it may be sent to workers."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_quarantined:
            return None
        remaining_s = suspect.since_s + QUARANTINE_DURATION_S - now_s()
        return QuarantineState(len(suspect.crashes), remaining_s) if remaining_s > 0.0 else None

    def num_crashes(self, fingerprint: str) -> int:
        """Return the number of worker incarnations known to have crashed under a request."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None or suspect.is_cleared else len(suspect.crashes)

    def crash_weight(self, fingerprint: str) -> float:
        """Return the number of crashes under a request, those after its start weighted less."""
        suspect = self._suspects.get(fingerprint)
        return 0.0 if suspect is None or suspect.is_cleared else suspect.crash_weight

    async def wait_until_lifted(self, fingerprint: str) -> None:
        """Wait until a request is not quarantined."""
        while (state := self.quarantine_state(fingerprint)) is not None:
            try:
                async with asyncio.timeout(state.remaining_s):
                    await self._quarantine_lifted.wait()
            except TimeoutError:
                continue

    async def wait_until_shared(self, fingerprint: str) -> None:
        """Wait until the store's record contains all crashes known here that must be shared."""
        while (suspect := self._suspects.get(fingerprint)) is not None:
            if not _has_unshared_crashes(suspect):
                return
            await self._record_updated.wait()

    def update_from_record(
        self, fingerprint: str, crashes: Mapping[str, CrashTiming], revision: int
    ) -> None:
        """Apply the store's record of a request, unless its revision is known already."""
        suspect = self._get_or_add(fingerprint)
        if revision <= suspect.revision:
            return
        suspect.shared = dict(crashes)
        suspect.revision = revision
        self._add_crashes(fingerprint, suspect, suspect.shared)
        self.changed.set()
        self._wake_record_waiters()

    def remove_record(self, fingerprint: str) -> None:
        """Remove a request whose record was removed from the store (cleared or expired)."""
        if fingerprint in self._suspects:
            self._remove(fingerprint)

    def pending_changes(self) -> list[SuspectChange]:
        """Return the changes that must be written to the store."""
        return [
            change
            for fingerprint, suspect in self._suspects.items()
            if (change := _pending_change(fingerprint, suspect)) is not None
        ]

    def expired_records(self) -> list[SuspectChange]:
        """Return removals of the records known for longer than a quarantine lasts."""
        return [
            SuspectChange(fingerprint, {}, suspect.revision)
            for fingerprint, suspect in self._suspects.items()
            if suspect.revision != ABSENT_REVISION and _is_expired(suspect)
        ]

    def _get_or_add(self, fingerprint: str) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._suspects[fingerprint] = _Suspect(since_s=now_s())
            self._evict_excess()
        elif _is_expired(suspect):
            # The quarantine is over: counting restarts, and the next change replaces the record.
            suspect.crashes.clear()
            suspect.must_share = False
            suspect.since_s = now_s()
        return suspect

    def _evict_excess(self) -> None:
        """Evict the oldest suspect beyond the limit, preferably one that is not quarantined."""
        if self.num_suspects <= MAX_SUSPECTS:
            return
        *older, _ = (
            fingerprint for fingerprint, suspect in self._suspects.items() if not suspect.is_cleared
        )
        not_quarantined = (
            fingerprint for fingerprint in older if self.quarantine_state(fingerprint) is None
        )
        evicted = next(not_quarantined, older[0])
        logging.warning(
            "limit of suspects reached: crash count of the request with fingerprint %s discarded",
            evicted,
        )
        self._clear(evicted)

    def _clear(self, fingerprint: str) -> None:
        """Clear a request locally, and mark its record for removal from the store."""
        suspect = self._suspects[fingerprint]
        if suspect.revision == ABSENT_REVISION:
            self._remove(fingerprint)
        else:
            suspect.is_cleared = True
            self._wake_waiters()
        self.changed.set()

    def _remove(self, fingerprint: str) -> None:
        del self._suspects[fingerprint]
        self._wake_waiters()
        self._wake_record_waiters()

    def _wake_record_waiters(self) -> None:
        self._record_updated.set()
        self._record_updated = asyncio.Event()

    def _wake_waiters(self) -> None:
        self._quarantine_lifted.set()
        self._quarantine_lifted = asyncio.Event()

    def _add_crashes(
        self, fingerprint: str, suspect: _Suspect, crashes: Mapping[str, CrashTiming]
    ) -> None:
        """Add crashes to a suspect; logs a warning when that quarantines the request.

        If nodes disagree about one crash, it happened at the start of one attempt at least.
        """
        was_quarantined = suspect.is_quarantined
        for worker, timing in crashes.items():
            if suspect.crashes.get(worker) is not CrashTiming.AT_START:
                suspect.crashes[worker] = timing
        if suspect.is_quarantined and not was_quarantined:
            logging.warning(
                "request with fingerprint %s: quarantined for %.0f s, workers crashed under it: %s",
                fingerprint,
                max(0.0, suspect.since_s + QUARANTINE_DURATION_S - now_s()),
                ", ".join(sorted(suspect.crashes)),
            )


def _is_expired(suspect: _Suspect) -> bool:
    return now_s() - suspect.since_s >= QUARANTINE_DURATION_S


def _pending_change(fingerprint: str, suspect: _Suspect) -> SuspectChange | None:
    if suspect.is_cleared:
        return SuspectChange(fingerprint, {}, suspect.revision)
    if _has_unshared_crashes(suspect):
        return SuspectChange(fingerprint, dict(suspect.crashes), suspect.revision)
    return None


def _has_unshared_crashes(suspect: _Suspect) -> bool:
    if not suspect.must_share or suspect.is_cleared:
        return False
    return any(
        suspect.shared.get(worker) is not timing for worker, timing in suspect.crashes.items()
    )
