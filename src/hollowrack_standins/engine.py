"""Engine stand-in over HTTP: completions, control, load report, cache events and KV transfer."""

import asyncio
import json
import time
import uuid
from collections import deque
from dataclasses import asdict
from http import HTTPStatus
from typing import Any

import aiohttp
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from hollowrack.tasks import cancel_all
from hollowrack_standins.engine_core import (
    EngineConfig,
    EngineCore,
    EngineStatus,
    Sequence,
    StepOutput,
)
from hollowrack_standins.server import StandinServer

_IDLE_POLL_INTERVAL_S = 0.002
_MAX_LOAD_HISTORY = 512
WEIGHT_CHUNK_BYTES = 64 * 1024

TokenQueue = asyncio.Queue[StepOutput | None]


class EngineStandin:
    """Runs an :class:`EngineCore` in real time and serves it over HTTP.

    Args:
        config: Configuration of all incarnations.
        weight_store_url: Base URL of the weight store; empty to update without reading weights.
        address: ``IP:PORT`` to listen on.
        weight_version: Initial weight version, also after a crash.

    Attributes:
        num_cancelled: Number of unfinished requests that were removed when their stream closed,
            without those ended by a cancel call.
    """

    def __init__(
        self,
        config: EngineConfig,
        weight_store_url: str = "",
        address: str = "127.0.0.1:0",
        weight_version: int = 0,
    ) -> None:
        self._config = config
        self._weight_store_url = weight_store_url
        self._initial_version = weight_version
        self.core = EngineCore(config, uuid.uuid4().hex, weight_version)
        self.num_cancelled = 0
        self.accepted_fencing_tokens: list[int] = []
        self.refused_fencing_tokens: list[int] = []
        self._queues: dict[str, TokenQueue] = {}
        self._load_history: deque[tuple[float, int, int, int]] = deque(maxlen=_MAX_LOAD_HISTORY)
        self._swap_lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None
        self.server = StandinServer(self._routes(), address)

    # -- start and stop ---------------------------------------------------------------------

    async def start(self) -> str:
        """Start the engine and return the bound address."""
        self._task = asyncio.create_task(self._run())
        return await self.server.start()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self._stop_steps()
        await self.server.stop()

    async def crash(self) -> None:
        """Drop all state and connections; :meth:`start` begins a new incarnation."""
        await self._stop_steps()
        await self.server.crash()
        self._queues = {}
        faults = self.core.faults
        self.core = EngineCore(self._config, uuid.uuid4().hex, self._initial_version)
        self.core.faults = faults

    async def _stop_steps(self) -> None:
        await cancel_all(self._task)
        for queue in self._queues.values():
            queue.put_nowait(None)

    async def _run(self) -> None:
        next_step_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            self._load_history.append(
                (now_s, self.core.num_running, self.core.num_waiting, self.core.num_live)
            )
            if self.core.is_idle or self.core.faults.is_paused:
                await asyncio.sleep(_IDLE_POLL_INTERVAL_S)
                next_step_s = time.monotonic()
                continue
            for output in self.core.step():
                queue = self._queues.get(output.request_id)
                if queue is not None:
                    queue.put_nowait(output)
            # The next step is timed from the previous one, so that a late wake-up adds no delay.
            next_step_s = max(next_step_s + self.core.step_duration_s(), now_s)
            await asyncio.sleep(max(0.0, next_step_s - time.monotonic()))

    # -- completions ------------------------------------------------------------------------

    def _routes(self) -> list[Route]:
        return [
            Route("/v1/completions", self._completions, methods=["POST"]),
            Route("/v1/requests/{request_id:path}/cancel", self._cancel, methods=["POST"]),
            Route("/control/state", self._state, methods=["GET"]),
            Route("/control/load", self._update_weights, methods=["POST"]),
            Route("/metrics", self._metrics, methods=["GET"]),
            Route("/cache/events", self._cache_events, methods=["GET"]),
            Route("/kv/export", self._kv_export, methods=["POST"]),
            Route("/kv/import", self._kv_import, methods=["POST"]),
            Route("/faults", self._set_faults, methods=["POST"]),
        ]

    async def _completions(self, request: Request) -> Response:
        body = await request.json()
        if self.core.faults.refuses or self.core.status is not EngineStatus.SERVING:
            return PlainTextResponse(
                self.core.status.value, status_code=503, headers={"Retry-After": "1"}
            )
        if body["model"] != self._config.model:
            return PlainTextResponse("unknown model", status_code=404)
        sequence = Sequence(
            request_id=body["request_id"],
            prompt=body["prompt"],
            max_tokens=body["max_tokens"],
            priority=body.get("priority", 0),
            seed=body.get("seed", 0),
            num_tokens=body.get("resume_num_tokens", 0),
        )
        return _TokenStream(self, sequence)

    def open_stream(self, sequence: Sequence) -> TokenQueue:
        """Add a request and return the queue of its outputs; ``None`` disconnects the stream."""
        queue: TokenQueue = asyncio.Queue()
        self._queues[sequence.request_id] = queue
        self.core.add(sequence)
        return queue

    def close_stream(self, request_id: str) -> None:
        """Remove a request that has ended or whose caller has disconnected."""
        self._queues.pop(request_id, None)
        if self.core.cancel(request_id):
            self.num_cancelled += 1

    async def _cancel(self, request: Request) -> Response:
        request_id = request.path_params["request_id"]
        queue = self._queues.get(request_id)
        if queue is not None:
            queue.put_nowait(None)
        return JSONResponse({"cancelled": self.core.cancel(request_id)})

    # -- control ----------------------------------------------------------------------------

    async def _state(self, request: Request) -> Response:
        del request
        return JSONResponse(
            {
                "incarnation": self.core.incarnation,
                "status": self.core.status.value,
                "model": self._config.model,
                "weight_version": self.core.weight_version,
                "num_slots": self._config.num_slots,
                "fencing_token": self.core.fencing_token,
            }
        )

    async def _update_weights(self, request: Request) -> Response:
        body = await request.json()
        async with self._swap_lock:
            fencing_token = int(body["fencing_token"])
            # Weights are read before the update starts, so that a failed read interrupts nothing.
            if not await self._fetch_weights(body["model"], body["weight_version"]):
                return PlainTextResponse("the weights cannot be read", status_code=502)
            is_same_incarnation = body["incarnation"] == self.core.incarnation
            if not is_same_incarnation or not self.core.begin_swap(fencing_token):
                self.refused_fencing_tokens.append(fencing_token)
                return PlainTextResponse("fenced: an older token or life", status_code=409)
            self.accepted_fencing_tokens.append(fencing_token)
            core = self.core
            await asyncio.sleep(self._config.swap_s)
            if not core.end_swap(body["weight_version"]):
                return PlainTextResponse("the swap failed partway", status_code=500)
        return JSONResponse({"weight_version": body["weight_version"]})

    async def _fetch_weights(self, model: str, version: int) -> bool:
        if not self._weight_store_url:
            return True
        url = f"{self._weight_store_url}/weights/{model}/{version}"
        start = 0
        try:
            async with aiohttp.ClientSession() as session:
                while True:
                    headers = {"Range": f"bytes={start}-{start + WEIGHT_CHUNK_BYTES - 1}"}
                    async with session.get(url, headers=headers) as response:
                        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
                            await asyncio.sleep(float(response.headers["Retry-After"]))
                            continue
                        if response.status != HTTPStatus.PARTIAL_CONTENT:
                            return False
                        start += len(await response.read())
                        total = int(response.headers["Content-Range"].rpartition("/")[2])
                        if start >= total:
                            return True
        except (aiohttp.ClientError, OSError):
            return False

    async def _metrics(self, request: Request) -> Response:
        del request
        num_running, num_waiting, num_live = self._lagged_load()
        return PlainTextResponse(
            f"engine_num_running {num_running}\n"
            f"engine_num_waiting {num_waiting}\n"
            f"engine_num_live {num_live}\n"
        )

    def _lagged_load(self) -> tuple[int, int, int]:
        visible_until_s = time.monotonic() - self.core.faults.load_lag_s
        load = (0, 0, 0)
        for at_s, num_running, num_waiting, num_live in self._load_history:
            if at_s > visible_until_s:
                break
            load = (num_running, num_waiting, num_live)
        return load

    async def _cache_events(self, request: Request) -> Response:
        first_sequence = int(request.query_params.get("first_sequence", "0"))
        events = self.core.events_from(first_sequence)
        first = events[0].sequence if events else first_sequence
        end = events[-1].sequence + 1 if events else first
        return JSONResponse(
            {
                "incarnation": self.core.incarnation,
                "first_sequence": first,
                "stored": [event.block for event in events if event.is_stored],
                "removed": [event.block for event in events if not event.is_stored],
                "num_events": end - first,
            }
        )

    async def _kv_export(self, request: Request) -> Response:
        body = await request.json()
        blob = json.dumps({"prompt": body["prompt"], "model": self._config.model}).encode()
        return Response(blob, media_type="application/octet-stream")

    async def _kv_import(self, request: Request) -> Response:
        blob = await request.body()
        try:
            prompt = json.loads(blob)["prompt"]
        except (ValueError, KeyError, TypeError):
            return PlainTextResponse("not a KV blob", status_code=400)
        return JSONResponse({"num_blocks": self.core.import_prefix(prompt)})

    async def _set_faults(self, request: Request) -> Response:
        for name, value in (await request.json()).items():
            if not hasattr(self.core.faults, name):
                return PlainTextResponse(f"no fault {name!r}", status_code=400)
            setattr(self.core.faults, name, value)
        return JSONResponse(asdict(self.core.faults))


class _TokenStream(Response):
    """Streams one request as server-sent events; cancels it when the caller disconnects."""

    def __init__(self, engine: EngineStandin, sequence: Sequence) -> None:
        super().__init__()
        self._engine = engine
        self._sequence = sequence

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        queue = self._engine.open_stream(self._sequence)
        disconnect_task = asyncio.create_task(_wait_for_disconnect(receive))
        stream_task = asyncio.create_task(self._stream(queue, send))
        try:
            await asyncio.wait({disconnect_task, stream_task}, return_when=asyncio.FIRST_COMPLETED)
            if stream_task.done():
                stream_task.result()
        finally:
            disconnect_task.cancel()
            stream_task.cancel()
            self._engine.close_stream(self._sequence.request_id)

    async def _stream(self, queue: TokenQueue, send: Send) -> None:
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        num_sent = 0
        max_outputs = self._engine.core.faults.breaks_after_tokens
        while True:
            outputs = [await queue.get()]
            while not queue.empty():
                outputs.append(queue.get_nowait())
            events = b"".join(self._event(output) for output in outputs if output is not None)
            num_sent += len(outputs)
            last = outputs[-1]
            if last is None or (max_outputs is not None and num_sent > max_outputs):
                # No end marker: the connection is closed in the middle of the body.
                raise ConnectionResetError("fault: stream disconnected before its end")
            if last.finish_reason is not None:
                events += b"data: [DONE]\n\n"
            has_more = last.finish_reason is None
            await send({"type": "http.response.body", "body": events, "more_body": has_more})
            if not has_more:
                return

    def _event(self, output: StepOutput) -> bytes:
        body: dict[str, Any] = {
            "id": output.request_id,
            "choices": [{"index": 0, "text": output.text, "finish_reason": output.finish_reason}],
            "hollowrack": {
                "token_index": output.index,
                "num_tokens": output.num_tokens,
                "weight_version": output.weight_version,
                "incarnation": self._engine.core.incarnation,
            },
        }
        return b"data: " + json.dumps(body).encode() + b"\n\n"


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
