"""Worker of the platform, as a process of its own: runs requests and reports each on its output.

The argument is a JSON object: ``id``, ``capacity``, ``has_model`` and ``version``. From SIGUSR1 to
SIGUSR2 it leaves two requests of five unanswered, and keeps their connections open.
The body of a request says how long it takes: ``events=N,interval-ms=M`` for a stream, ``work-ms=M``
for a plain answer. Other bodies are answered at once.
"""

import asyncio
import contextlib
import json
import signal
import sys
import time
from typing import Any

MAX_HEAD_BYTES = 65536
HANGING_REMAINDERS = (1, 3)
NUM_REMAINDERS = 5


class Worker:
    """Serves requests of any number of connections, one at a time on each."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.id: str = options["id"]
        self.version: int = options.get("version", 1)
        self.has_model: bool = options.get("has_model", False)
        self.num_orders = 0
        self.num_requests = 0
        self.is_busy = False
        self.is_grey = False
        self.slots = asyncio.Semaphore(options["capacity"])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._answer(reader, writer, method, target, headers, body)
        writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if headers.get("expect-instance", self.id) != self.id:
            _write(writer, 421, {"Not-Executed": "1", "Instance-Id": self.id}, b"")
        elif target == "/api/report":
            _write(writer, 200, {"Content-Type": "application/json"}, self._report())
        elif target == "/api/order":
            self._take_order(writer, json.loads(body))
        elif "request-id" not in headers:
            _write(writer, 200, {"Instance-Id": self.id}, b"")
        else:
            await self._run(reader, writer, method, target, headers, body)

    def _report(self) -> bytes:
        models = [{"name": "m0", "version": self.version, "adapters": []}] if self.has_model else []
        content = {"stage": "both", "models": models, "busy": self.is_busy}
        return json.dumps(content | {"sequence": self.num_orders}).encode()

    def _take_order(self, writer: asyncio.StreamWriter, order: dict[str, Any]) -> None:
        if self.is_busy or order.get("expected-revision", self.num_orders) != self.num_orders:
            _write(writer, 409, {}, b"")
        elif order["version"] <= self.version:
            _write(writer, 200, {}, b"")
        else:
            self.num_orders += 1
            self.version = order["version"]
            self._note("order accepted", version=self.version, holder=order["holder"])
            _write(writer, 202, {}, b"")

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        request_id = headers["request-id"]
        after = int(headers.get("last-event-id", "0"))
        self._note("arrived", id=request_id, method=method, target=target, after=after)
        self.num_requests += 1
        hangs = self.is_grey and self.num_requests % NUM_REMAINDERS in HANGING_REMAINDERS
        outcome = "dropped"
        try:
            async with self.slots:
                self._note("started", id=request_id, after=after)
                if hangs:
                    self._note("hangs", id=request_id)
                    await reader.read(1)
                    raise ConnectionResetError
                await self._work(
                    writer, request_id, after, _figures(body), "token-count" in headers
                )
                outcome = "finished"
        finally:
            self._note(outcome, id=request_id)

    async def _work(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        after: int,
        figures: dict[str, int],
        is_stream: bool,
    ) -> None:
        headers = {
            "Request-Id": request_id,
            "Server-Stamp": f"stamp.{self.id}.{request_id}",
            "Weight-Versions": str(self.version),
        }
        if not is_stream:
            await asyncio.sleep(figures.get("work-ms", 0) / 1000)
            _write(writer, 200, headers, f"{request_id} by {self.id}".encode())
            return
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(_head(200, headers))
        for number in range(after + 1, figures.get("events", 5) + 1):
            await asyncio.sleep(figures.get("interval-ms", 20) / 1000)
            event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")

    def _note(self, kind: str, **values: Any) -> None:
        line = json.dumps({"kind": kind, "at_s": time.monotonic()} | values)
        sys.stdout.write(line + "\n")
        sys.stdout.flush()


def _figures(body: bytes) -> dict[str, int]:
    parts = (part.partition("=") for part in body.decode("latin-1").split(","))
    return {name: int(value) for name, _, value in parts if value.isdigit()}


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} -", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode()


def _write(writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes) -> None:
    writer.write(_head(status, headers | {"Content-Length": str(len(body))}) + body)


async def main() -> None:
    """Serve until the process is killed."""
    worker = Worker(json.loads(sys.argv[1]))
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, setattr, worker, "is_grey", True)
    loop.add_signal_handler(signal.SIGUSR2, setattr, worker, "is_grey", False)
    host, port = server.sockets[0].getsockname()
    sys.stdout.write(json.dumps({"address": f"{host}:{port}"}) + "\n")
    sys.stdout.flush()
    await server.serve_forever()


asyncio.run(main())
