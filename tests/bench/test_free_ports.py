"""Concurrent processes must not get the same port."""

import fcntl

import pytest

from hollowrack_bench import free_ports


def test_locked_port_is_not_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    free_ports.LOCK_FOLDER.mkdir(exist_ok=True)
    locked_port = free_ports.free_port()
    monkeypatch.setattr(free_ports, "FIRST_PORT", locked_port)
    monkeypatch.setattr(free_ports, "LAST_PORT", locked_port + 1)
    # Locks belong to open file descriptions, so a second one acts like another process.
    monkeypatch.setattr(free_ports, "_locks", {})
    with (free_ports.LOCK_FOLDER / str(locked_port)).open("wb") as other:
        try:
            fcntl.flock(other, fcntl.LOCK_EX | fcntl.LOCK_NB)
            is_locked = False
        except OSError:
            is_locked = True
    assert is_locked
    assert free_ports.free_port() == locked_port + 1
