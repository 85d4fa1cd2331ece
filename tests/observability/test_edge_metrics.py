"""Wait times must be reported consistently in metrics, load lines and the final line of an item."""

import asyncio
import logging
import random

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from hollowrack.forwarding.back_end import BackEndCall, NotRunError, NotRunReason
from hollowrack.forwarding.forwarder import ForwardRequest
from hollowrack.forwarding.load_log import LoadLog
from hollowrack.forwarding.run_waits import MAX_ATTEMPTS_LOGGED
from hollowrack.forwarding.types import Worker
from hollowrack.observability.edge_metrics import EdgeCollector, EdgeCounters
from hollowrack.regions.topology import RegionTopology
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import WorkerBehaviour
from tests.jobs.helpers import HOST, Fleet, make_job
from tests.jobs.region_fleet import SOUTH, RegionFleet
from tests.regions.helpers import R2, TOPOLOGY
from tests.regions.nodes import make_node

NUM_ITEMS = 12
NUM_SLOTS = 8


def test_item_waits_are_reported_as_metrics_and_in_the_final_log_line(
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
        # Eight items start at once; the others wait about 0.1 s for a free slot.
        immediate = f'hollowrack_wait_seconds_bucket{{le="0.02",place="node_queue"}} {NUM_SLOTS}.0'
        assert immediate in text
        await fleet.stop()

    run_virtual(main())
    final_lines = [message for message in caplog.messages if message.startswith("item j1.i")]
    assert len(final_lines) == NUM_ITEMS
    assert final_lines[0].split("waiting: ")[1].startswith("0 refusals; queue 0.00 s, worker e")
    assert final_lines[0].endswith("first event after 0.04 s")
    assert any("queue 0.1" in line for line in final_lines)


def test_requests_are_counted_by_distance_and_links_by_region() -> None:
    async def main() -> None:
        zones = {"z1": "a", "z2": "a", "z3": "b"}
        topology = RegionTopology(zones, "z1")
        node = make_node(random.Random(1), "z1", {}, topology=topology)
        for index, zone in enumerate(("z1", "z2", "z3", "unknown")):
            worker = Worker(f"w{index}", "svc", "127.0.0.1:1", zone, 2)
            node.worker_changed(worker)
            node.workers.reserve_slot(worker)
        node.workers.loads.links.record("z3", 0.04)
        registry = CollectorRegistry(auto_describe=False)
        registry.register(EdgeCollector(node, EdgeCounters()))
        text = generate_latest(registry).decode()
        for distance, count in (("OWN_ZONE", 1), ("OWN_REGION", 1), ("OTHER_REGION", 2)):
            assert f'hollowrack_requests_sent_total{{distance="{distance}"}} {count}.0' in text
        assert 'hollowrack_region_extra_seconds{region="b"} 0.04' in text

    run_virtual(main())


def test_requests_kept_in_their_regions_are_reported_as_metrics() -> None:
    async def main() -> None:
        fleet = Fleet(1, topology=TOPOLOGY, worker_zones=("z1", "z9"))
        node = fleet.nodes["n0"]
        route = node.routes.lookup(HOST, "/s/x")
        assert route is not None
        call = BackEndCall("q1", "POST", "/s/x", (), b"", allowed_regions=R2)
        await node.forwarder.forward(ForwardRequest(call, route, None))
        worker = node.workers.get("s0")
        assert worker is not None
        with pytest.raises(NotRunError):
            await node.back_ends.open(worker, call, 1.0)
        registry = CollectorRegistry(auto_describe=False)
        registry.register(EdgeCollector(node, EdgeCounters()))
        text = generate_latest(registry).decode()
        assert 'hollowrack_requests_refused_by_regions_total{service="scorers"} 1.0' in text
        assert 'hollowrack_sends_stopped_total{condition="RegionSendCondition"} 1.0' in text
        assert "hollowrack_workers_of_unknown_region 2.0" in text
        await fleet.stop()

    run_virtual(main())


def test_service_load_is_logged_only_while_there_is_work() -> None:
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


def test_final_line_of_an_item_with_many_refusals_is_truncated(
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
    (final_line, *_) = [message for message in caplog.messages if message.startswith("item j1.i")]
    waits = final_line.split("waiting: ")[1].split("; ")
    assert len(waits) == 2 + MAX_ATTEMPTS_LOGGED
    assert waits[1].endswith(" attempts before")
    assert "not run (the worker refused)" in waits[-2]


def test_decisions_because_of_allowed_regions_are_counted_by_kind() -> None:
    async def main() -> None:
        fleet = RegionFleet()
        node = fleet.nodes["n0"]
        await asyncio.sleep(1.0)
        assert await fleet.submit_at("n0", make_job(), SOUTH) is None
        await asyncio.sleep(1.0)
        assert await fleet.submit_at("n0", make_job("j2"), frozenset({"west"})) is not None
        registry = CollectorRegistry(auto_describe=False)
        registry.register(EdgeCollector(node, EdgeCounters()))
        text = generate_latest(registry).decode()
        assert "hollowrack_jobs_with_regions 1.0" in text
        assert 'hollowrack_job_regions_total{event="JOB_REFUSED"} 1.0' in text
        await fleet.stop()

    run_virtual(main())


def test_kept_workers_are_reported_by_outcome() -> None:
    async def main() -> None:
        fleet = Fleet(1)
        node = fleet.nodes["n0"]
        await asyncio.sleep(1.0)
        fleet.faults["n0"].refuses = True
        await asyncio.sleep(4.0)
        for worker in node.workers.all():
            node.workers.record_success(worker)
        fleet.faults["n0"].refuses = False
        await asyncio.sleep(0.5)
        node.worker_entry_removed("e0")
        node.worker_entry_removed("e1")
        registry = CollectorRegistry(auto_describe=False)
        registry.register(EdgeCollector(node, EdgeCounters()))
        assert "hollowrack_workers_kept 2.0" in generate_latest(registry).decode()
        await asyncio.sleep(2.0)
        text = generate_latest(registry).decode()
        assert "hollowrack_workers_kept 0.0" in text
        assert 'hollowrack_workers_kept_ended_total{outcome="expired"} 2.0' in text
        await fleet.stop()

    run_virtual(main())
