"""What a node tells of waits: as metrics, in its log and at an item's end."""

import asyncio
import logging

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from hollowrack.forwarding.back_end import NotRunReason
from hollowrack.forwarding.load_log import LoadLog
from hollowrack.forwarding.run_waits import MAX_ATTEMPTS_TOLD
from hollowrack.observability.edge_metrics import EdgeCollector, EdgeCounters
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import Fleet, make_job

NUM_ITEMS = 12
NUM_PLACES = 8


def test_waits_of_items_are_told_as_metrics_and_at_their_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def main() -> None:
        fleet = Fleet(1)
        node = fleet.nodes["n0"]
        await asyncio.sleep(1.0)
        assert await node.jobs.submit(make_job(num_items=NUM_ITEMS)) is None
        await asyncio.sleep(5.0)
        registry = CollectorRegistry(auto_describe=False)
        registry.register(EdgeCollector(node, EdgeCounters()))
        text = generate_latest(registry).decode()
        for place in ("node_queue", "first_event", "whole_item", "listing"):
            assert f'hollowrack_wait_seconds_count{{place="{place}"}} {NUM_ITEMS}.0' in text
        # Eight begin at once; the others wait for one of them, 0.1 s long.
        at_once = f'hollowrack_wait_seconds_bucket{{le="0.02",place="node_queue"}} {NUM_PLACES}.0'
        assert at_once in text
        await fleet.stop()

    run_virtual(main())
    ends = [message for message in caplog.messages if message.startswith("item j1.i")]
    assert len(ends) == NUM_ITEMS
    assert ends[0].split("waiting: ")[1].startswith("0 refusals; queue 0.00 s, worker e")
    assert ends[0].endswith("first event after 0.04 s")
    assert any("queue 0.1" in end for end in ends)


def test_the_load_of_a_service_is_told_while_there_is_any() -> None:
    async def main() -> None:
        fleet = Fleet(1)
        node = fleet.nodes["n0"]
        log = LoadLog(node.queue)
        await asyncio.sleep(1.0)
        assert log.next_lines() == []
        fleet.back_ends.num_events = 500
        fleet.back_ends.behaviours["e1"] = WorkerBehaviour(refusal=NotRunReason.BUSY)
        assert await node.jobs.submit(make_job(num_items=NUM_ITEMS)) is None
        await asyncio.sleep(2.0)
        (line,) = log.next_lines()
        begin, refusals = line.split(" run, refused since the last line: ")
        waiting = NUM_ITEMS - node.queue.statistics.num_running["engines"]
        assert begin.startswith(f"service engines: {waiting} runs wait, the oldest for ")
        assert refusals.endswith(" BUSY")
        await asyncio.sleep(30.0)
        fleet.back_ends.behaviours["e1"].refusal = None
        await asyncio.sleep(30.0)
        log.next_lines()
        assert log.next_lines() == []
        assert not +node.queue.statistics.num_running
        await fleet.stop()

    run_virtual(main())


def test_the_line_of_an_item_that_is_refused_again_and_again_stays_short(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def main() -> None:
        fleet = Fleet(1)
        await asyncio.sleep(1.0)
        for name in ("e0", "e1"):
            fleet.back_ends.behaviours[name] = WorkerBehaviour(refusal=NotRunReason.BUSY)
        assert await fleet.nodes["n0"].jobs.submit(make_job(num_items=2)) is None
        await asyncio.sleep(10.0)
        for name in ("e0", "e1"):
            fleet.back_ends.behaviours[name].refusal = None
        await asyncio.sleep(5.0)
        await fleet.stop()

    run_virtual(main())
    (end, *_) = [message for message in caplog.messages if message.startswith("item j1.i")]
    told = end.split("waiting: ")[1].split("; ")
    assert len(told) == 2 + MAX_ATTEMPTS_TOLD
    assert told[1].endswith(" attempts before")
    assert "not run (the worker refused)" in told[-2]
