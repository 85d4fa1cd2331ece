"""Weight store that serves model versions over HTTP, with ranges, ETags and a rate limit."""

import hashlib
import random
import time
from dataclasses import dataclass
from http import HTTPStatus

from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from hollowrack_standins.server import StandinServer

DEFAULT_NUM_BYTES = 256 * 1024
_RATE_WINDOW_S = 1.0


@dataclass
class WeightStoreFaults:
    """Faults of the store.

    Attributes:
        is_down: Whether every call is answered 503.
        max_calls_per_s: Rate above which reads are answered 429; ``None`` for no limit.
        corrupts_chunks: Whether one bit of each answer's body is flipped.
    """

    is_down: bool = False
    max_calls_per_s: int | None = None
    corrupts_chunks: bool = False


class WeightStoreStandin:
    """Serves the store over HTTP.

    Args:
        address: ``IP:PORT`` to listen on.
        num_bytes: Size of each version, in bytes.
    """

    def __init__(self, address: str = "127.0.0.1:0", num_bytes: int = DEFAULT_NUM_BYTES) -> None:
        self.faults = WeightStoreFaults()
        self.num_reads = 0
        self._num_bytes = num_bytes
        self._published: dict[tuple[str, int], bytes] = {}
        self._window_start_s = 0.0
        self._num_calls_in_window = 0
        self.server = StandinServer(
            [
                Route("/weights/{model}/{version:int}", self._read, methods=["GET", "HEAD"]),
                Route("/weights/{model}/{version:int}", self._write, methods=["PUT"]),
            ],
            address,
        )

    async def start(self) -> str:
        """Start serving and return the bound address."""
        return await self.server.start()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self.server.stop()

    def publish(self, model: str, version: int) -> None:
        """Publish a version; its content is derived from the model and the version number."""
        content = random.Random(f"{model}/{version}").randbytes(self._num_bytes)
        self._published[(model, version)] = content

    async def _write(self, request: Request) -> Response:
        self.publish(request.path_params["model"], request.path_params["version"])
        return JSONResponse({}, status_code=201)

    async def _read(self, request: Request) -> Response:
        if self.faults.is_down:
            return PlainTextResponse("unavailable", status_code=503)
        if self._is_over_rate_limit():
            return PlainTextResponse("throttled", status_code=429, headers={"Retry-After": "0.2"})
        key = (request.path_params["model"], request.path_params["version"])
        content = self._published.get(key)
        if content is None:
            return PlainTextResponse("no such version", status_code=404)
        self.num_reads += 1
        etag = f'"{hashlib.blake2b(content, digest_size=16).hexdigest()}"'
        if request.headers.get("If-None-Match") == etag:
            return Response(status_code=304, headers={"ETag": etag})
        return self._range_response(request, content, etag)

    def _range_response(self, request: Request, content: bytes, etag: str) -> Response:
        headers = {"ETag": etag, "Accept-Ranges": "bytes"}
        start, end = 0, len(content)
        status = 200
        requested_range = request.headers.get("Range")
        if requested_range is not None:
            first, _, last = requested_range.removeprefix("bytes=").partition("-")
            start = int(first)
            end = min(len(content), int(last) + 1) if last else len(content)
            if start >= len(content):
                headers["Content-Range"] = f"bytes */{len(content)}"
                return Response(
                    status_code=HTTPStatus.REQUESTED_RANGE_NOT_SATISFIABLE, headers=headers
                )
            status = 206
            headers["Content-Range"] = f"bytes {start}-{end - 1}/{len(content)}"
        part = content[start:end]
        if self.faults.corrupts_chunks:
            part = bytes([part[0] ^ 1]) + part[1:]
        return Response(part, status_code=status, headers=headers)

    def _is_over_rate_limit(self) -> bool:
        now_s = time.monotonic()
        if now_s - self._window_start_s >= _RATE_WINDOW_S:
            self._window_start_s = now_s
            self._num_calls_in_window = 0
        self._num_calls_in_window += 1
        limit = self.faults.max_calls_per_s
        return limit is not None and self._num_calls_in_window > limit
