"""Ports for tests that run side by side."""

import fcntl

import pytest

from hollowrack_bench import free_ports


def test_a_locked_port_is_not_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    free_ports.LOCK_FOLDER.mkdir(exist_ok=True)
    taken = free_ports.free_port()
    monkeypatch.setattr(free_ports, "FIRST_PORT", taken)
    monkeypatch.setattr(free_ports, "LAST_PORT", taken + 1)
    # Locks belong to open files, so that this stands for another process.
    monkeypatch.setattr(free_ports, "_locks", {})
    with (free_ports.LOCK_FOLDER / str(taken)).open("wb") as other:
        try:
            fcntl.flock(other, fcntl.LOCK_EX | fcntl.LOCK_NB)
            is_held = False
        except OSError:
            is_held = True
    assert is_held
    assert free_ports.free_port() == taken + 1
