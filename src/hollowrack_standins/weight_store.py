"""A weight store: versions by model over HTTP ranges, with ETags and a rate limit."""

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
_BUCKET_S = 1.0


@dataclass
class WeightStoreFaults:
    """Switches for the faults of the store.

    Attributes:
        is_down: Every call is answered 503.
        max_calls_per_s: Calls over this rate are answered 429; ``None`` for no limit.
        corrupts_chunks: Answers carry a flipped byte.
    """

    is_down: bool = False
    max_calls_per_s: int | None = None
    corrupts_chunks: bool = False


class WeightStoreStandin:
    """The store.

    Args:
        address: ``IP:PORT`` to listen on.
        num_bytes: Size of each version.
    """

    def __init__(self, address: str = "127.0.0.1:0", num_bytes: int = DEFAULT_NUM_BYTES) -> None:
        self.faults = WeightStoreFaults()
        self.num_reads = 0
        self._num_bytes = num_bytes
        self._published: dict[tuple[str, int], bytes] = {}
        self._bucket_start_s = 0.0
        self._num_in_bucket = 0
        self.server = StandinServer(
            [
                Route("/weights/{model}/{version:int}", self._read, methods=["GET", "HEAD"]),
                Route("/weights/{model}/{version:int}", self._write, methods=["PUT"]),
            ],
            address,
        )

    async def start(self) -> str:
        """Start and return the bound address."""
        return await self.server.start()

    async def stop(self) -> None:
        """Stop."""
        await self.server.stop()

    def publish(self, model: str, version: int) -> None:
        """Publish a version with content drawn from its name."""
        content = random.Random(f"{model}/{version}").randbytes(self._num_bytes)
        self._published[(model, version)] = content

    async def _write(self, request: Request) -> Response:
        self.publish(request.path_params["model"], request.path_params["version"])
        return JSONResponse({}, status_code=201)

    async def _read(self, request: Request) -> Response:
        if self.faults.is_down:
            return PlainTextResponse("unavailable", status_code=503)
        if self._is_over_rate():
            return PlainTextResponse("throttled", status_code=429, headers={"Retry-After": "0.2"})
        key = (request.path_params["model"], request.path_params["version"])
        content = self._published.get(key)
        if content is None:
            return PlainTextResponse("no such version", status_code=404)
        self.num_reads += 1
        etag = f'"{hashlib.blake2b(content, digest_size=16).hexdigest()}"'
        if request.headers.get("If-None-Match") == etag:
            return Response(status_code=304, headers={"ETag": etag})
        return self._ranged(request, content, etag)

    def _ranged(self, request: Request, content: bytes, etag: str) -> Response:
        headers = {"ETag": etag, "Accept-Ranges": "bytes"}
        start, end = 0, len(content)
        status = 200
        wanted = request.headers.get("Range")
        if wanted is not None:
            first, _, last = wanted.removeprefix("bytes=").partition("-")
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

    def _is_over_rate(self) -> bool:
        now_s = time.monotonic()
        if now_s - self._bucket_start_s >= _BUCKET_S:
            self._bucket_start_s = now_s
            self._num_in_bucket = 0
        self._num_in_bucket += 1
        limit = self.faults.max_calls_per_s
        return limit is not None and self._num_in_bucket > limit
