"""How long a back end that is marked as leaving still gets new requests."""

import asyncio

from hollowrack.clock import now_s
from hollowrack_bench.requests_bench import ENGINE
from hollowrack_bench.simulation.callers import TraceReplay
from hollowrack_bench.simulation.fleet import SimulatedFleet, SimulatedFleetConfig
from hollowrack_bench.trace import TraceShape, draw_trace
from hollowrack_bench.virtual_time import run_virtual

MARK_DELAY_S = 5.0
TRACE_S = 15.0


def measure_leaving_delay_s(seed: int, num_nodes_per_zone: int = 2) -> float:
    """Return the seconds from the mark to the last new request on the back end (0 for none)."""
    return run_virtual(_measure(seed, num_nodes_per_zone))


async def _measure(seed: int, num_nodes_per_zone: int) -> float:
    config = SimulatedFleetConfig(
        num_nodes_per_zone=num_nodes_per_zone, num_engines=6, engine=ENGINE, seed=seed
    )
    fleet = SimulatedFleet(config)
    await fleet.start()
    engine = fleet.engines["engine-0"]
    trace = draw_trace(TraceShape(completions_per_s=20.0, services_per_s=0.0), TRACE_S, seed)
    calls = asyncio.create_task(TraceReplay(fleet, trace, seed=seed).run())
    await asyncio.sleep(MARK_DELAY_S)
    if not engine.num_opened:
        raise RuntimeError("the back end got no request before the mark; nothing is measured")
    # Only the mark tells: the machine list goes on calling the back end live.
    marked_s = now_s()
    node = list(fleet.nodes.values())[seed % len(fleet.nodes)]
    node.mark_back_end_leaving(engine.address)
    last_s = marked_s
    seen = engine.num_opened
    while not calls.done():
        await asyncio.sleep(0.01)
        if engine.num_opened > seen:
            seen, last_s = engine.num_opened, now_s()
    await fleet.stop()
    return last_s - marked_s
