"""``hollowrack bench capacity``: CPU time, bytes and memory as functions of size.

Each is measured at four sizes; a straight line is fitted, and its largest residual is the spread.
"""

import asyncio
import json
import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

import aiohttp
import numpy

from hollowrack.clients.engine import EngineState
from hollowrack.clients.machine_list import Machine
from hollowrack.membership.swim import Swim
from hollowrack.membership.types import Member
from hollowrack.messages import codec
from hollowrack.requests.claims import Claim, Finish, RequestClaims
from hollowrack.requests.types import RecordedAnswer
from hollowrack.rollout.commands import CommitSample, HandOver, OpenRun, SubmitStep
from hollowrack.rollout.ledger import SampleLedger
from hollowrack.rollout.types import Prompt, RunSettings, Sample, SampleSlot, VersionSpan
from hollowrack.routing.choice import choose
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.types import BackEndKind, RouteRequest
from hollowrack_bench.local_fleet import MODEL, FleetConfig, LocalFleet
from hollowrack_standins.engine_core import EngineConfig

NUM_ZONES = 7
MEMBERSHIP_SIZES = (60, 120, 240, 360)
MEMBERSHIP_DURATION_S = 20.0
TICK_S = 0.05
# Overhead per datagram: authentication tag, sender, session identifier and sequence number.
SEALING_BYTES = 45
REQUEST_SIZES = (100, 200, 300, 400)
STREAM_SIZES = (2_000, 4_000, 6_000, 8_000)
SAMPLE_SIZES = (200, 400, 800, 1600)
CLAIM_SIZES = (500, 1000, 2000, 4000)
BACK_END_SIZES = (75, 150, 300, 600)
PLACEMENTS_PER_SIZE = 300
SAMPLE_TEXT_BYTES = 2000
TOKENS_PER_STREAM = 500
CONCURRENT_STREAMS = 10
STREAM_END = b"data: [DONE]\n\n"


@dataclass(frozen=True)
class Slope:
    """Straight line fitted to measurements at several sizes.

    Attributes:
        name: Name of the measured quantity.
        unit: Unit of the slope.
        sizes: Sizes measured, in ascending order.
        values: Measured value at each size.
        slope: Increase per unit of size.
        intercept: Value at size zero.
        spread: Largest absolute residual, as a fraction of the largest value.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    spread: float


def fit(name: str, unit: str, sizes: tuple[int, ...], values: list[float]) -> Slope:
    """Fit a straight line by least squares."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    line = slope * numpy.array(sizes) + intercept
    spread = float(numpy.max(numpy.abs(line - values)) / max(1e-12, numpy.max(numpy.abs(values))))
    return Slope(name, unit, tuple(sizes), tuple(values), float(slope), float(intercept), spread)


def measure_all() -> list[Slope]:
    """Measure all slopes; takes about two minutes."""
    membership_bytes, membership_cpu = _measure_membership()
    relay_request, relay_tokens = asyncio.run(_measure_relay())
    return [
        membership_bytes,
        membership_cpu,
        _measure_member_memory(),
        relay_request,
        relay_tokens,
        _measure_placement(),
        *_measure_ledger(),
        *_measure_claims(),
    ]


def as_json(slopes: list[Slope]) -> str:
    """Return the slopes by name, as JSON text."""
    return json.dumps({slope.name: asdict(slope) for slope in slopes}, indent=2) + "\n"


# -- membership -----------------------------------------------------------------------------


def _measure_membership() -> tuple[Slope, Slope]:
    rates: list[float] = []
    cpu_shares: list[float] = []
    for size in MEMBERSHIP_SIZES:
        num_bytes, cpu_s = _run_membership(size)
        rates.append(num_bytes / size / MEMBERSHIP_DURATION_S)
        cpu_shares.append(cpu_s / size / MEMBERSHIP_DURATION_S)
    return (
        fit("membership_bytes_per_node_s", "bytes/s a node", MEMBERSHIP_SIZES, rates),
        fit("membership_cpu_per_node_s", "CPU s/s a node", MEMBERSHIP_SIZES, cpu_shares),
    )


def _members(size: int) -> list[Member]:
    return [
        Member(f"node-{index}", f"zone-{index % NUM_ZONES}", f"10.0.0.{index}:7102", "f" * 32)
        for index in range(size)
    ]


def _run_membership(size: int) -> tuple[int, float]:
    """Run the membership of a fleet with changing facts; returns bytes sent and CPU seconds."""
    rng = random.Random(size)
    members = _members(size)
    by_address = {member.address: member.node for member in members}
    nodes = {
        member.node: Swim(member, members, random.Random(rng.random()), 0.0) for member in members
    }
    num_bytes = 0
    now_s = 0.0
    for _ in range(40):
        now_s = _membership_round(nodes, by_address, now_s)[0]
    started_s = time.process_time()
    for tick in range(int(MEMBERSHIP_DURATION_S / TICK_S)):
        if tick % 100 == 0:
            nodes["node-0"].raise_fact("bundle", tick)
            nodes["node-1"].raise_fact("weights/quote", tick)
        now_s, sent = _membership_round(nodes, by_address, now_s)
        num_bytes += sent
    return num_bytes, time.process_time() - started_s


def _membership_round(
    nodes: dict[str, Swim], by_address: dict[str, str], now_s: float
) -> tuple[float, int]:
    """Tick all nodes and deliver all datagrams; returns the time and the bytes sent."""
    num_bytes = 0
    now_s += TICK_S
    queue: list[tuple[str, Any]] = []
    for name, node in nodes.items():
        node.tick(now_s)
        node.exchange_peers.clear()
        queue += [(name, datagram) for datagram in node.outbox]
        node.outbox = []
    while queue:
        sender, datagram = queue.pop()
        data = codec.encode(datagram.message)
        num_bytes += len(data) + SEALING_BYTES
        receiver = nodes[by_address[datagram.address]]
        receiver.receive(sender, codec.decode(data).unwrap())
        queue += [(receiver.own.node, answer) for answer in receiver.outbox]
        receiver.outbox = []
    return now_s, num_bytes


def _measure_member_memory() -> Slope:
    def build(size: int) -> object:
        members = _members(size)
        return Swim(members[0], members, random.Random(0), 0.0)

    return _memory_slope("memory_per_known_node", "bytes a known node", MEMBERSHIP_SIZES, build)


# -- relay ----------------------------------------------------------------------------------


async def _measure_relay() -> tuple[Slope, Slope]:
    """Measure CPU time of relayed calls minus that of the same calls sent to the engine."""
    engine = EngineConfig(
        num_slots=64,
        step_s=0.0005,
        step_per_sequence_s=0.0,
        prefill_block_s=0.0,
        median_tokens=1_000_000.0,
        length_sigma=0.01,
    )
    config = FleetConfig(
        zones=("a",), num_nodes_per_zone=1, num_engines=1, num_workers=1, engine=engine
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(config, Path(folder))
        await fleet.start()
        direct, relayed = f"http://{fleet.engines[0].server.address}", fleet.urls()[0]
        async with aiohttp.ClientSession() as session:
            await _relay_cpu_s(session, direct, relayed, 20, 20)
            short = [
                await _relay_cpu_s(session, direct, relayed, size, 1) for size in REQUEST_SIZES
            ]
            streams = [
                await _relay_cpu_s(
                    session, direct, relayed, size // TOKENS_PER_STREAM, TOKENS_PER_STREAM
                )
                for size in STREAM_SIZES
            ]
        await fleet.stop()
    return (
        fit("relay_cpu_per_request", "CPU s a request", REQUEST_SIZES, short),
        fit("relay_cpu_per_token", "CPU s a token", STREAM_SIZES, streams),
    )


async def _relay_cpu_s(
    session: aiohttp.ClientSession, direct: str, relayed: str, num_calls: int, num_tokens: int
) -> float:
    """Return the CPU time that relaying adds to concurrent streams, in seconds."""
    direct_s = await _stream_all(session, direct, True, num_calls, num_tokens)
    relayed_s = await _stream_all(session, relayed, False, num_calls, num_tokens)
    return max(0.0, relayed_s - direct_s)


async def _stream_all(
    session: aiohttp.ClientSession, url: str, is_engine: bool, num_calls: int, num_tokens: int
) -> float:
    started_s = time.process_time()
    for first in range(0, num_calls, CONCURRENT_STREAMS):
        numbers = range(first, min(num_calls, first + CONCURRENT_STREAMS))
        calls = (_stream(session, url, is_engine, number, num_tokens) for number in numbers)
        await asyncio.gather(*calls)
    return time.process_time() - started_s


async def _stream(
    session: aiohttp.ClientSession, url: str, is_engine: bool, number: int, num_tokens: int
) -> None:
    body: dict[str, Any] = {
        "model": MODEL,
        "prompt": f"part {number}",
        "max_tokens": num_tokens,
        "stream": True,
    }
    request_id = f"r{number}-{time.monotonic_ns()}"
    if is_engine:
        # The engine reads the identifier from the body, the node from a header.
        body["request_id"] = request_id
    headers = {"X-Request-Id": request_id}
    async with session.post(f"{url}/v1/completions", json=body, headers=headers) as response:
        data = await response.read()
        if response.status != HTTPStatus.OK or not data.endswith(STREAM_END):
            raise RuntimeError(
                f"completion failed or truncated: HTTP {response.status}: {data[:200]!r}"
            )


# -- placement, ledger, claims --------------------------------------------------------------


def _measure_placement() -> Slope:
    """Measure the CPU time of one routing decision by the number of back ends."""
    costs: list[float] = []
    for size in BACK_END_SIZES:
        fleet = FleetView()
        machines = [
            Machine(f"e{index}", "engine", MODEL, f"zone-{index % NUM_ZONES}", False)
            for index in range(size)
        ]
        fleet.apply_machine_list(machines)
        for machine in machines:
            state = EngineState("i", "serving", MODEL, 1, 8, 0)
            fleet.apply_engine_state(machine.address, state)
        route = RouteRequest(BackEndKind.ENGINE, MODEL, "zone-0", only_zone="zone-0")
        rng = random.Random(0)
        started_s = time.process_time()
        for _ in range(PLACEMENTS_PER_SIZE):
            load = fleet.pool_load(MODEL, "zone-0")
            if load.num_live >= load.num_slots:
                raise RuntimeError("no free slot for the measured routing decision")
            chosen = choose(route, fleet.snapshot(0.0, MODEL), fleet.prefixes, rng).unwrap()
            fleet.record_sent(chosen.address, False, 0.0)
            fleet.record_finished(chosen.address, False)
        costs.append((time.process_time() - started_s) / PLACEMENTS_PER_SIZE)
    return fit("placement_cpu_per_back_end", "CPU s a back end", BACK_END_SIZES, costs)


def _sample(index: int) -> Sample:
    slot = SampleSlot(0, "p", index)
    return Sample(slot, "x" * SAMPLE_TEXT_BYTES, 500, (VersionSpan(0, 0, 500),), "stop")


def _ledger_with_samples(size: int) -> SampleLedger:
    ledger = SampleLedger()
    ledger.execute(OpenRun(RunSettings(MODEL, 2, 0)))
    ledger.execute(SubmitStep(0, (Prompt("p", "text", size, 500),)))
    for index in range(size):
        ledger.apply(codec.encode(CommitSample(_sample(index))))
    return ledger


def _measure_ledger() -> list[Slope]:
    cpu: list[float] = []
    sent: list[float] = []
    for size in SAMPLE_SIZES:
        started_s = time.process_time()
        ledger = _ledger_with_samples(size)
        ledger.apply(codec.encode(HandOver(0, size)))
        cpu.append(time.process_time() - started_s)
        sent.append(float(sum(len(codec.encode(CommitSample(_sample(i)))) for i in range(size))))
    return [
        fit("ledger_cpu_per_sample", "CPU s a sample and replica", SAMPLE_SIZES, cpu),
        fit("ledger_bytes_per_sample", "bytes a sample and replica", SAMPLE_SIZES, sent),
        _memory_slope(
            "memory_per_slot", "bytes a committed slot", SAMPLE_SIZES, _ledger_with_samples
        ),
    ]


def _claims_with_answers(size: int) -> RequestClaims:
    claims = RequestClaims()
    for index in range(size):
        name, attempt = f"request-{index}", f"node#1/{index}"
        claims.apply(codec.encode(Claim(name, index, attempt)))
        answer = RecordedAnswer(200, "application/json", b"x" * 200)
        claims.apply(codec.encode(Finish(name, attempt, answer)))
    return claims


def _measure_claims() -> list[Slope]:
    cpu: list[float] = []
    for size in CLAIM_SIZES:
        started_s = time.process_time()
        _claims_with_answers(size)
        cpu.append(time.process_time() - started_s)
    return [
        fit("claims_cpu_per_request", "CPU s an unsafe request and replica", CLAIM_SIZES, cpu),
        _memory_slope(
            "memory_per_claim", "bytes an ended claim", CLAIM_SIZES, _claims_with_answers
        ),
    ]


def _memory_slope(
    name: str, unit: str, sizes: tuple[int, ...], build: Callable[[int], object]
) -> Slope:
    build(sizes[0])
    values: list[float] = []
    for size in sizes:
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        built = build(size)
        values.append(float(tracemalloc.get_traced_memory()[0] - before))
        tracemalloc.stop()
        del built
    return fit(name, unit, sizes, values)
