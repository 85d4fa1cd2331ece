"""Guards against a time of day changed by a temporary jump of the machine's clock."""

from hollowrack.usage.wall_clock import MAX_JUMP_DURATION_S, WallClock


class Machine:
    def __init__(self) -> None:
        self.steady_s = 50.0
        self.offset_s = 0.0
        self.clock = WallClock(
            lambda: 1000.0 + self.steady_s + self.offset_s, lambda: self.steady_s
        )

    def error_after(self, seconds: float, offset_s: float) -> float:
        """Return the clock's error after some time, with the machine's clock at an offset."""
        self.steady_s += seconds
        self.offset_s = offset_s
        return self.clock.time_s() - 1000.0 - self.steady_s


def test_small_corrections_are_followed() -> None:
    machine = Machine()
    assert machine.error_after(1.0, 0.0) == 0.0
    assert abs(machine.error_after(1.0, 0.1) - 0.1) < 1e-9
    assert abs(machine.error_after(1.0, -0.1) + 0.1) < 1e-9


def test_reverted_jump_is_ignored() -> None:
    for jump_s in (2.0, -2.0, 3600.0):
        machine = Machine()
        machine.error_after(1.0, 0.0)
        assert [machine.error_after(1.0, jump_s) for _ in range(10)] == [0.0] * 10
        assert machine.error_after(1.0, 0.0) == 0.0
        # A second jump is not counted as part of the first.
        assert machine.error_after(MAX_JUMP_DURATION_S, jump_s) == 0.0


def test_lasting_jump_is_adopted() -> None:
    machine = Machine()
    machine.error_after(1.0, 0.0)
    assert machine.error_after(1.0, 5.0) == 0.0
    assert machine.error_after(MAX_JUMP_DURATION_S, 5.0) == 5.0
