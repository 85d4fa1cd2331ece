"""A wall clock that ignores temporary jumps of the machine's time of day.

Usage windows are defined in true time. A machine's time of day is close to it, except for jumps of
several seconds that are reverted later. A jump appears as a sudden change of the offset to the
monotonic clock; a new offset is adopted only after it has lasted.
"""

from collections.abc import Callable

# Regular clock adjustments between two readings are far smaller.
MAX_STEP_S = 0.25
# A jump that is not reverted for this long is a correction.
MAX_JUMP_DURATION_S = 120.0


class WallClock:
    """Time of day, corrected for temporary jumps.

    Args:
        time_of_day_s: Returns the machine's time of day, in seconds since 1970.
        monotonic_s: Returns the machine's monotonic clock, in seconds.
    """

    def __init__(
        self, time_of_day_s: Callable[[], float], monotonic_s: Callable[[], float]
    ) -> None:
        self._time_of_day_s = time_of_day_s
        self._monotonic_s = monotonic_s
        self._offset_s = time_of_day_s() - monotonic_s()
        # Start of the current jump, on the monotonic clock.
        self._jump_since_s: float | None = None

    def time_s(self) -> float:
        """Return the time of day, in seconds since 1970."""
        monotonic_s = self._monotonic_s()
        offset_s = self._time_of_day_s() - monotonic_s
        if abs(offset_s - self._offset_s) <= MAX_STEP_S:
            self._offset_s = offset_s
            self._jump_since_s = None
        elif self._jump_since_s is None:
            self._jump_since_s = monotonic_s
        elif monotonic_s - self._jump_since_s >= MAX_JUMP_DURATION_S:
            self._offset_s = offset_s
            self._jump_since_s = None
        return monotonic_s + self._offset_s
