"""Guards against windows that are reported late or with too few counts during partial outages."""

import asyncio

from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.usage.types import WindowReport
from hollowrack_bench.virtual_time import run_virtual
from tests.usage.helpers import EPOCH_S, WINDOW_S, UsageFleet
from tests.usage.test_reporting import ELECTION_S

# Time, node, window, number of requests and outcome of each call to the platform's service in
# `record_calls`, on c1bcfc7, which had no bounds.
CALLS_WITHOUT_BOUNDS = [
    (7.752, "n3", 0, 0, "ACCEPTED"),
    (12.756, "n3", 1, 8, "THROTTLED"),
    (13.508, "n3", 1, 8, "ACCEPTED"),
    (17.762, "n3", 2, 10, "ACCEPTED"),
    (23.75, "n1", 2, 10, "ACCEPTED"),
    (25.254, "n1", 3, 10, "ACCEPTED"),
    (33.75, "n2", 3, 10, "ACCEPTED"),
    (35.254, "n2", 4, 10, "ACCEPTED"),
    (35.508, "n2", 5, 10, "ACCEPTED"),
    (37.762, "n2", 6, 10, "ACCEPTED"),
    (42.766, "n2", 7, 2, "ACCEPTED"),
    (47.77, "n2", 8, 0, "ACCEPTED"),
    (52.774, "n2", 9, 0, "ACCEPTED"),
]

Call = tuple[float, str, int, int, str]


async def record_calls() -> list[Call]:
    """Record the calls while the service, the leader and the store fail one after the other."""
    calls: list[Call] = []
    fleet = UsageFleet(4)
    report_usage = fleet.service.report_usage

    async def record_call(holder: DutyHolder, report: WindowReport) -> DutyOutcome:
        called_s = round(asyncio.get_running_loop().time(), 3)
        outcome = await report_usage(holder, report)
        window = report.window - int(EPOCH_S // WINDOW_S)
        calls.append((called_s, holder.node, window, sum(report.counts.values()), outcome.name))
        return outcome

    fleet.service.report_usage = record_call  # type: ignore[method-assign]
    await asyncio.sleep(ELECTION_S)
    for step in range(60):
        if step in {10, 14}:
            fleet.service.faults.outcome = DutyOutcome.THROTTLED if step == 10 else None
        if step == 25:
            await fleet.kill(fleet.leaders()[0])
        if step in {40, 48}:
            for node in fleet.nodes.values():
                node.faults.refuses = step == 40
        fleet.begin(sorted(fleet.nodes)[step % 3], "a")
        await asyncio.sleep(0.5)
    await asyncio.sleep(20.0)
    await fleet.stop()
    return calls


def test_without_bounds_all_calls_are_those_of_the_version_without_bounds() -> None:
    assert run_virtual(record_calls()) == CALLS_WITHOUT_BOUNDS
