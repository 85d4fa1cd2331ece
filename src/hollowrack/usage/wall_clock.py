"""The time of day, without the jumps that a machine's clock may make.

Windows of usage are windows of true time, and a machine's time of day stays close to that, but for
jumps by seconds that are taken back later. The steady clock does not jump; so a jump shows as a
sudden change of the distance between both clocks, which is not followed until it has lasted.
"""

from collections.abc import Callable

# The time of day is steered towards true time by far less than this between two readings.
MAX_STEP_S = 0.25
# A jump that is not taken back for this long was a correction.
MIN_LASTING_S = 120.0


class WallClock:
    """Reads the time of day.

    Args:
        time_of_day_s: Returns the machine's time of day, in seconds since 1970.
        steady_s: Returns its steady clock, in seconds.
    """

    def __init__(self, time_of_day_s: Callable[[], float], steady_s: Callable[[], float]) -> None:
        self._time_of_day_s = time_of_day_s
        self._steady_s = steady_s
        self._offset_s = time_of_day_s() - steady_s()
        # Since when the machine's clock has been off, on the steady clock.
        self._off_since_s: float | None = None

    def time_s(self) -> float:
        """Return the time of day, in seconds since 1970."""
        steady_s = self._steady_s()
        offset_s = self._time_of_day_s() - steady_s
        if abs(offset_s - self._offset_s) <= MAX_STEP_S:
            self._offset_s = offset_s
            self._off_since_s = None
        elif self._off_since_s is None:
            self._off_since_s = steady_s
        elif steady_s - self._off_since_s >= MIN_LASTING_S:
            self._offset_s = offset_s
            self._off_since_s = None
        return steady_s + self._offset_s
