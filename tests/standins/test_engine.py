"""Engine stand-in behind the real client.

Guards against a stand-in that differs from the engine API, or whose faults have no effect.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest

from hollowrack.clients.engine import (
    EngineRefusedError,
    EngineUnreachableError,
    GenerationRequest,
    HttpEngineClient,
    StreamBrokenError,
    TokenChunk,
)
from hollowrack.results import ResultCode
from hollowrack_standins.engine import EngineStandin
from hollowrack_standins.engine_core import EngineConfig, EngineCore, Sequence

CONFIG = EngineConfig(model="m", num_slots=2, step_s=0.001, median_tokens=10, swap_s=0.001)
REQUEST = GenerationRequest("r1", "m", "a prompt", max_tokens=40)


def _run(test: Callable[[EngineStandin, HttpEngineClient], Awaitable[None]]) -> None:
    async def run() -> None:
        engine = EngineStandin(CONFIG)
        address = await engine.start()
        async with aiohttp.ClientSession() as session:
            await test(engine, HttpEngineClient(session, address))
        await engine.stop()

    asyncio.run(run())


async def _generate(client: HttpEngineClient, request: GenerationRequest) -> list[TokenChunk]:
    chunks: list[TokenChunk] = []
    async with client.generate(request, idle_timeout_s=1.0) as batches:
        async for batch in batches:
            chunks += batch
    return chunks


def test_stream_is_complete_and_has_weight_versions() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        chunks = await _generate(client, REQUEST)
        assert [chunk.token_index for chunk in chunks] == list(range(len(chunks)))
        assert {chunk.weight_version for chunk in chunks} == {0}
        assert [chunk.finish_reason for chunk in chunks][-1] is not None

    _run(test)


def test_resumed_stream_continues_with_the_same_tokens() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        complete = await _generate(client, REQUEST)
        resumed = await _generate(
            client,
            GenerationRequest(
                "r2", "m", "a prompt", 40, resume_text=complete[0].text, resume_num_tokens=1
            ),
        )
        assert [chunk.text for chunk in resumed] == [chunk.text for chunk in complete[1:]]

    _run(test)


@pytest.mark.parametrize(
    ("fault", "value", "error"),
    [
        ("refuses", True, EngineRefusedError),
        ("breaks_after_tokens", 3, StreamBrokenError),
        ("is_paused", True, StreamBrokenError),
    ],
)
def test_stream_faults_raise_client_errors(fault: str, value: Any, error: type[Exception]) -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        setattr(engine.core.faults, fault, value)
        with pytest.raises(error):
            await _generate(client, REQUEST)

    _run(test)


def test_crash_disconnects_streams_and_restart_begins_an_incarnation() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        incarnation = engine.core.incarnation
        pending = asyncio.create_task(_generate(client, GenerationRequest("s", "m", "p", 10_000)))
        engine.core.faults.is_paused = True
        await asyncio.sleep(0.05)
        await engine.crash()
        with pytest.raises((StreamBrokenError, EngineUnreachableError)):
            await pending
        with pytest.raises(EngineUnreachableError):
            await _generate(client, REQUEST)
        engine.core.faults.is_paused = False
        await engine.start()
        assert engine.core.incarnation != incarnation
        assert await _generate(client, REQUEST)

    _run(test)


def test_client_disconnect_cancels_the_request() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        engine.core.faults.is_paused = True
        task = asyncio.create_task(_generate(client, REQUEST))
        await asyncio.sleep(0.05)
        assert not engine.core.is_idle
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for _ in range(100):
            if engine.core.is_idle:
                break
            await asyncio.sleep(0.02)
        assert engine.core.is_idle
        assert engine.num_cancelled == 1

    _run(test)


def test_orders_are_fenced_by_token_and_incarnation() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        incarnation = engine.core.incarnation
        assert (await client.order_version("m", 1, 10, incarnation)).unwrap() is None
        older_token = await client.order_version("m", 2, 9, incarnation)
        assert older_token.failure().code is ResultCode.ORDER_FENCED
        other_incarnation = await client.order_version("m", 2, 11, "another")
        assert other_incarnation.failure().code is ResultCode.ORDER_FENCED
        assert (await client.read_state()).unwrap().weight_version == 1

    _run(test)


def test_failed_swap_stops_serving_until_the_next_swap() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        engine.core.faults.num_failing_swaps = 1
        incarnation = engine.core.incarnation
        failed = await client.order_version("m", 1, 1, incarnation)
        assert failed.failure().code is ResultCode.SWAP_FAILED
        assert (await client.read_state()).unwrap().status == "broken"
        with pytest.raises(EngineRefusedError):
            await _generate(client, REQUEST)
        assert (await client.order_version("m", 1, 2, incarnation)).unwrap() is None
        assert (await client.read_state()).unwrap().status == "serving"

    _run(test)


def test_engine_keeps_serving_when_weights_cannot_be_read() -> None:
    async def run() -> None:
        engine = EngineStandin(CONFIG, weight_store_url="http://127.0.0.1:1")
        address = await engine.start()
        async with aiohttp.ClientSession() as session:
            client = HttpEngineClient(session, address)
            failed = await client.order_version("m", 5, 1, engine.core.incarnation)
            assert failed.failure().code is ResultCode.SWAP_FAILED
            assert (await client.read_state()).unwrap().status == "serving"
            assert await _generate(client, REQUEST)
        await engine.stop()

    asyncio.run(run())


def test_load_report_lag_and_cache_event_gaps() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        engine.core.faults.event_gap_every = 2
        engine.core.faults.load_lag_s = 30.0
        await _generate(client, GenerationRequest("r", "m", "x" * 640, 4))
        events = (await client.read_cache_events(0)).unwrap()
        assert len(events.stored) == 5 and events.num_events == 9
        assert (await client.read_load()).unwrap().num_running == 0

    _run(test)


def test_misreported_versions_and_withheld_cache_events() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        engine.core.faults.misreports_version = True
        engine.core.faults.event_lag = 4
        chunks = await _generate(client, GenerationRequest("r", "m", "z" * 640, 4))
        assert {chunk.weight_version for chunk in chunks} == {1000}
        assert len((await client.read_cache_events(0)).unwrap().stored) == 6

    _run(test)


def test_kv_import_caches_the_exported_prefix() -> None:
    async def test(engine: EngineStandin, client: HttpEngineClient) -> None:
        async with aiohttp.ClientSession() as session:
            url = f"http://{engine.server.address}/kv"
            async with session.post(f"{url}/export", json={"prompt": "y" * 128}) as response:
                blob = await response.read()
            async with session.post(f"{url}/import", data=blob) as response:
                assert (await response.json())["num_blocks"] == 2
            async with session.post(f"{url}/import", data=b"junk") as response:
                assert response.status == 400

    _run(test)


def test_priority_preempts_and_preempted_sequence_keeps_its_tokens() -> None:
    core = EngineCore(CONFIG, "incarnation")
    for number in range(2):
        core.add(Sequence(f"t{number}", f"p{number}", 100, priority=10, seed=1))
    core.step()
    core.add(Sequence("live", "q", 100, priority=0, seed=1))
    outputs = core.step()
    assert {output.request_id for output in outputs} == {"live", "t1"} or {
        output.request_id for output in outputs
    } == {"live", "t0"}
    indexes_by_request: dict[str, list[int]] = {}
    while not core.is_idle:
        for output in core.step():
            indexes_by_request.setdefault(output.request_id, []).append(output.index)
    for indexes in indexes_by_request.values():
        assert indexes == list(range(indexes[0], indexes[-1] + 1))
