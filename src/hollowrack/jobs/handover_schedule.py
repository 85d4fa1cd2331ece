"""Times of the handover of jobs at a planned stop: when attempts start, and when they must end."""

import random

from hollowrack.backoff import Backoff

# Time to drain owned jobs. It exceeds the time for callers to switch to other nodes, as the output
# of items unfinished at the deadline is lost if they cannot be handed over.
MAX_DRAIN_S = 10.0
DRAIN_FRACTION = 0.65
# Time for one attempt.
MAX_ATTEMPT_S = 0.6
ATTEMPT_FRACTION = 0.1
# Attempts end at this fraction of the grace period; the rest is for the end of the process.
END_FRACTION = 0.9
# Slots are released until this fraction at the latest.
RELEASE_FRACTION = 0.95
# Backoff between attempts: about five while the store refuses calls for the 2 s of a grace period
# of 8 s.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 0.5
# The last attempt has at least this fraction of the time of one attempt.
LAST_ATTEMPT_FRACTION = 0.25


class HandoverSchedule:
    """Schedule of the handover of all jobs of one process.

    All times are on the event loop's clock.

    Args:
        stop_s: Time of the request to stop.
        grace_s: Time from that request until the process is killed, in seconds.
        rng: Source of the jitter; only used after a failed attempt.

    Attributes:
        drain_deadline_s: Until then owned jobs continue; the first attempt starts at that time.
        attempt_timeout_s: Longest time for one attempt, in seconds.
        end_s: Time at which the last attempt must have ended.
        release_deadline_s: Time at which other nodes must have been told of the process's end.
    """

    def __init__(self, stop_s: float, grace_s: float, rng: random.Random) -> None:
        self.drain_deadline_s = stop_s + min(MAX_DRAIN_S, DRAIN_FRACTION * grace_s)
        self.attempt_timeout_s = min(MAX_ATTEMPT_S, ATTEMPT_FRACTION * grace_s)
        self.end_s = stop_s + END_FRACTION * grace_s
        self.release_deadline_s = stop_s + RELEASE_FRACTION * grace_s
        self._backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, rng)

    def timeout_s(self, now_s: float) -> float:
        """Return how long an attempt that starts now may take; 0 if it must not start."""
        return max(0.0, min(self.attempt_timeout_s, self.end_s - now_s))

    def next_start_s(self, now_s: float) -> float | None:
        """Return when the next attempt starts after one failed; ``None`` if it was the last one."""
        latest_s = self.end_s - LAST_ATTEMPT_FRACTION * self.attempt_timeout_s
        if now_s >= latest_s:
            return None
        return min(now_s + self._backoff.next_delay_s(), latest_s)
