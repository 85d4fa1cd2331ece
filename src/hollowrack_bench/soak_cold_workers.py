"""Cold workers of a soak: which were cold when, and what they received meanwhile."""

import re
import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from hollowrack.forwarding.types import WorkerIncarnation
from hollowrack.observability.log_search import parse_lines

COLD_S = 8.0
COLD_REQUESTS_PER_S = 2.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
MAX_REQUESTS_PER_S = COLD_REQUESTS_PER_S * COLD_OVERAGE + COLD_SLACK
# Longest time for an undisturbed node to learn of a change of a worker's entry.
MAX_KNOWN_S = 4.0
WINDOW_S = 1.0
_COLD_LINE = re.compile(r"worker (\S+): cold for ")
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S"


@dataclass
class ColdSpell:
    """A time for which one incarnation of a worker was cold.

    Attributes:
        incarnation: The incarnation.
        since_s: Start, as Unix time in seconds.
        until_s: End, as Unix time in seconds.
    """

    incarnation: WorkerIncarnation
    since_s: float
    until_s: float


@dataclass(frozen=True)
class ColdSpellCheck:
    """What one worker received while it was cold and all nodes knew.

    Attributes:
        spell: The spell.
        num_requests: Number of requests received.
        max_in_window: Highest number received in any second.
    """

    spell: ColdSpell
    num_requests: int
    max_in_window: int


def check_spells(
    spells: Iterable[ColdSpell],
    arrivals: Mapping[str, Sequence[float]],
    log_lines: Iterable[str],
    nodes: Sequence[str],
    is_known_in_time: bool,
) -> list[ColdSpellCheck]:
    """Count the requests of each spell from when the last node logged that it knew.

    Args:
        spells: Spells of all workers.
        arrivals: Unix times, in seconds, of all requests that each worker received, by its
            identifier.
        log_lines: Log lines of all nodes.
        nodes: Names of all nodes.
        is_known_in_time: Whether every node certainly knows within ``MAX_KNOWN_S``, as no fault
            delays entries. Otherwise spells that a node did not log are left out.
    """
    known_s = _known_times_s(log_lines)
    checks = []
    for spell in spells:
        times_s = [
            _first_at_or_after(known_s.get((node, str(spell.incarnation)), ()), spell.since_s)
            for node in nodes
        ]
        if is_known_in_time:
            limit_s = spell.since_s + MAX_KNOWN_S
            times_s = [limit_s if at_s is None else min(at_s, limit_s) for at_s in times_s]
        found_s = [at_s for at_s in times_s if at_s is not None]
        if len(found_s) < len(nodes):
            continue
        # A request that was sent just before its node knew arrives a moment later.
        from_s = max(found_s) + WINDOW_S / 2
        received = [
            at_s
            for at_s in arrivals.get(spell.incarnation.worker_id, ())
            if from_s <= at_s < spell.until_s
        ]
        checks.append(ColdSpellCheck(spell, len(received), max_in_window(received)))
    return checks


def max_in_window(times_s: Sequence[float]) -> int:
    """Return the highest number of times in any half-open second."""
    ordered = sorted(times_s)
    highest, first = 0, 0
    for index, time_s in enumerate(ordered):
        while ordered[first] <= time_s - WINDOW_S:
            first += 1
        highest = max(highest, index - first + 1)
    return highest


def _known_times_s(log_lines: Iterable[str]) -> dict[tuple[str, str], list[float]]:
    """Return the Unix times at which nodes logged a cold worker, by node and incarnation."""
    times_s: dict[tuple[str, str], list[float]] = {}
    for line in parse_lines(log_lines)[0]:
        found = _COLD_LINE.match(line.message)
        if found is not None:
            key = (line.node, found[1])
            times_s.setdefault(key, []).append(_unix_time_s(line.time))
    return times_s


def _unix_time_s(text: str) -> float:
    seconds, _, milliseconds = text.partition(",")
    return time.mktime(time.strptime(seconds, _TIME_FORMAT)) + int(milliseconds) / 1000.0


def _first_at_or_after(times_s: Sequence[float], since_s: float) -> float | None:
    # Log times are rounded down to milliseconds.
    return min((at_s for at_s in times_s if at_s >= since_s - 0.001), default=None)
