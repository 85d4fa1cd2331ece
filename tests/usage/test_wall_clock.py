from hollowrack.usage.wall_clock import MIN_LASTING_S, WallClock


class Machine:
    def __init__(self) -> None:
        self.steady_s = 50.0
        self.off_s = 0.0
        self.clock = WallClock(lambda: 1000.0 + self.steady_s + self.off_s, lambda: self.steady_s)

    def after(self, seconds: float, off_s: float) -> float:
        """Return by how much the clock is wrong after a while."""
        self.steady_s += seconds
        self.off_s = off_s
        return self.clock.time_s() - 1000.0 - self.steady_s


def test_small_corrections_are_followed() -> None:
    machine = Machine()
    assert machine.after(1.0, 0.0) == 0.0
    assert abs(machine.after(1.0, 0.1) - 0.1) < 1e-9
    assert abs(machine.after(1.0, -0.1) + 0.1) < 1e-9


def test_a_jump_that_is_taken_back_is_never_seen() -> None:
    for jump_s in (2.0, -2.0, 3600.0):
        machine = Machine()
        machine.after(1.0, 0.0)
        assert [machine.after(1.0, jump_s) for _ in range(10)] == [0.0] * 10
        assert machine.after(1.0, 0.0) == 0.0
        # A second jump is not taken for a part of the first one.
        assert machine.after(MIN_LASTING_S, jump_s) == 0.0


def test_a_jump_that_lasts_is_a_correction() -> None:
    machine = Machine()
    machine.after(1.0, 0.0)
    assert machine.after(1.0, 5.0) == 0.0
    assert machine.after(MIN_LASTING_S, 5.0) == 5.0
