"""Scenarios in which usage windows end during partial outages, and what they are measured by."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from hollowrack_bench.virtual_time import run_virtual
from tests.usage.helpers import WINDOW_S, UsageFleet, true_time_s

USAGE_LATE_S = 10.0
USAGE_TOLERANCE = 0.05
NUM_NODES = 12
REQUEST_INTERVAL_S = 0.02
ELECTION_S = 8.0
# Time after a fault until the last window that it may affect has been reported.
SETTLING_S = 30.0

Scenario = Callable[[UsageFleet], Awaitable[None]]


@dataclass(frozen=True)
class Outcome:
    """Reports of one run.

    Attributes:
        num_due: Number of windows that were due before the end of the run.
        late: Windows that were reported later than ``USAGE_LATE_S`` after their end, or not at all.
        max_difference: Largest difference between the reported and the true number of requests of
            a window, as a fraction of the true one.
        violations: Violations of the duty protocol.
    """

    num_due: int
    late: tuple[int, ...]
    max_difference: float
    violations: tuple[str, ...]


def run_scenario(scenario: Scenario, seed: int = 0, **arguments: Any) -> Outcome:
    """Run a fleet under constant load, with a scenario that starts at the end of a window."""

    async def main() -> Outcome:
        fleet = UsageFleet(
            NUM_NODES, num_zones=3, max_change_delay_s=3.0, seed=str(seed), **arguments
        )
        load = asyncio.create_task(_send_requests(fleet, asyncio.Event()))
        await asyncio.sleep(ELECTION_S)
        first_window = math.ceil(true_time_s() / WINDOW_S)
        await wait_until(first_window * WINDOW_S)
        await scenario(fleet)
        await asyncio.sleep(SETTLING_S)
        load.cancel()
        last_window = int((true_time_s() - USAGE_LATE_S) // WINDOW_S) - 1
        outcome = _outcome(fleet, range(first_window - 1, last_window + 1))
        await fleet.stop()
        return outcome

    return run_virtual(main())


async def wait_until(time_s: float) -> None:
    """Wait until a true time."""
    await asyncio.sleep(max(0.0, time_s - true_time_s()))


async def wait_for_window_end(after_s: float) -> None:
    """Wait until a time relative to the end of a window; negative for a time before it."""
    end_s = math.ceil((true_time_s() - after_s) / WINDOW_S) * WINDOW_S
    await wait_until(end_s + after_s)


async def _send_requests(fleet: UsageFleet, stopped: asyncio.Event) -> None:
    number = 0
    while not stopped.is_set():
        name = f"n{number % NUM_NODES}"
        if name in fleet.nodes and name not in fleet.cut_off:
            fleet.begin(name, "ab"[number % 2])
        number += 1
        await asyncio.sleep(REQUEST_INTERVAL_S)


def _outcome(fleet: UsageFleet, due: range) -> Outcome:
    late = []
    max_difference = 0.0
    for window in due:
        reported_at_s = fleet.reported_at_s.get(window, math.inf)
        if reported_at_s > (window + 1) * WINDOW_S + USAGE_LATE_S:
            late.append(window)
        counts = fleet.service.reports.get(window)
        if counts is not None:
            true = sum(count for (begun, _), count in fleet.begun.items() if begun == window)
            max_difference = max(max_difference, abs(sum(counts.values()) - true) / true)
    return Outcome(len(due), tuple(late), max_difference, tuple(fleet.service.violations))


def leader_of(fleet: UsageFleet) -> str:
    (leader,) = fleet.leaders()
    return leader


def third_is_refused(before_s: float = 1.0, after_s: float = 9.0, silent: bool = False) -> Scenario:
    """The store refuses a third of the nodes with the leader among them, around a window's end."""

    async def scenario(fleet: UsageFleet) -> None:
        await wait_for_window_end(-before_s)
        refused = _third_with_leader(fleet)
        _set_refused(fleet, refused, True, silent)
        await asyncio.sleep(before_s + after_s)
        _set_refused(fleet, refused, False, silent)

    return scenario


def _third_with_leader(fleet: UsageFleet) -> list[str]:
    leader = leader_of(fleet)
    others = [name for name in fleet.nodes if name != leader]
    return [leader, *others[::3][: NUM_NODES // 3 - 1]]


def _set_refused(fleet: UsageFleet, names: list[str], value: bool, silent: bool = False) -> None:
    for name in names:
        if name in fleet.nodes:
            setattr(fleet.nodes[name].faults, "is_silent" if silent else "refuses", value)


def leader_dies_among_refused(after_s: float, refused_s: float) -> Scenario:
    """The leader dies while the store refuses a third of the nodes."""

    async def scenario(fleet: UsageFleet) -> None:
        await wait_for_window_end(-1.0)
        refused = _third_with_leader(fleet)[1:]
        _set_refused(fleet, refused, True)
        await asyncio.sleep(1.0 + after_s)
        await fleet.kill(leader_of(fleet))
        await asyncio.sleep(refused_s)
        _set_refused(fleet, refused, False)

    return scenario


def store_fails(after_s: float, duration_s: float) -> Scenario:
    """The store refuses all nodes for some time."""

    async def scenario(fleet: UsageFleet) -> None:
        await wait_for_window_end(after_s)
        _set_refused(fleet, list(fleet.nodes), True)
        await asyncio.sleep(duration_s)
        _set_refused(fleet, list(fleet.nodes), False)

    return scenario


def leader_dies_without_counts(after_s: float) -> Scenario:
    """The leader dies while some nodes with a session do not reach it."""

    async def scenario(fleet: UsageFleet) -> None:
        await wait_for_window_end(-3.0)
        leader = leader_of(fleet)
        hosts = [name for name in fleet.nodes if fleet.nodes[name].node.session.is_valid]
        for name in [name for name in hosts if name != leader][:2]:
            fleet.cut_links.add(frozenset((name, leader)))
        await asyncio.sleep(3.0 + after_s)
        await fleet.kill(leader)
        await asyncio.sleep(5.0)
        fleet.cut_links.clear()
        fleet.start(leader)

    return scenario


def leader_dies(after_s: float) -> Scenario:
    """The leader dies some time after a window's end, and is restarted 5 s later."""

    async def scenario(fleet: UsageFleet) -> None:
        await wait_for_window_end(after_s)
        leader = leader_of(fleet)
        await fleet.kill(leader)
        await asyncio.sleep(5.0)
        fleet.start(leader)

    return scenario


def leader_freezes(after_s: float, duration_s: float) -> Scenario:
    """The leader reaches nothing and is reached by nothing for some time after a window's end."""

    async def scenario(fleet: UsageFleet) -> None:
        await wait_for_window_end(after_s)
        leader = leader_of(fleet)
        fleet.cut_off.add(leader)
        fleet.nodes[leader].faults.is_silent = True
        await asyncio.sleep(duration_s)
        fleet.nodes[leader].faults.is_silent = False
        fleet.cut_off.discard(leader)

    return scenario


def delivery_fails(outcome: Any, after_s: float, duration_s: float) -> Scenario:
    """The platform's service answers every call with an outcome for some time."""

    async def scenario(fleet: UsageFleet) -> None:
        await wait_for_window_end(after_s)
        fleet.service.faults.outcome = outcome
        await asyncio.sleep(duration_s)
        fleet.service.faults.outcome = None

    return scenario
