"""Structured logging through absl, as JSON or as human-readable lines.

Prompts, responses, keys and signatures must never be logged. Fields such as request, sample, run,
step, node and zone come from the context in which a message is logged.
"""

import contextvars
import logging as standard_logging
import queue
import time
from collections.abc import Iterator
from contextlib import contextmanager
from logging.handlers import QueueHandler, QueueListener

from absl import flags, logging
from pythonjsonlogger.json import JsonFormatter

from hollowrack.settings.sections import Logging

_fields: contextvars.ContextVar[dict[str, str]] = contextvars.ContextVar("log_fields")

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@contextmanager
def log_fields(**fields: str) -> Iterator[None]:
    """Add fields (request, sample, run, step, node, zone) to messages logged in the block."""
    token = _fields.set(_fields.get({}) | fields)
    try:
        yield
    finally:
        _fields.reset(token)


class _FieldFilter(standard_logging.Filter):
    def filter(self, record: standard_logging.LogRecord) -> bool:
        if hasattr(record, "fields"):
            return True  # Already annotated in the context in which the record was created.
        for name, value in _fields.get({}).items():
            setattr(record, name, value)
        record.fields = " ".join(f"{name}={value}" for name, value in _fields.get({}).items())
        return True


class _NodeJsonFormatter(JsonFormatter):
    """JSON formatter that omits the joined field text of the human-readable format."""

    def add_fields(
        self,
        log_data: dict[str, object],
        record: standard_logging.LogRecord,
        message_dict: dict[str, object],
    ) -> None:
        super().add_fields(log_data, record, message_dict)
        log_data.pop("fields", None)


MAX_QUEUED_RECORDS = 4000
DRAIN_POLL_INTERVAL_S = 0.01


class BoundedLogHandler(QueueHandler):
    """Log handler that queues records for a writer thread and drops them when the queue is full.

    Without it, a blocked standard error stream would block the whole process on its next log line.

    Attributes:
        num_dropped: Records dropped since the last line that reported dropped records.
    """

    def __init__(self, target: standard_logging.Handler, max_queued: int) -> None:
        self._queue: queue.Queue[standard_logging.LogRecord] = queue.Queue(max_queued)
        super().__init__(self._queue)
        self.num_dropped = 0
        self._target = target
        self._listener = QueueListener(self._queue, target)
        self._listener.start()

    def prepare(self, record: standard_logging.LogRecord) -> standard_logging.LogRecord:
        """Apply the target's filters in the calling context; the writer formats the record."""
        self._target.filter(record)
        return record

    def stop(self) -> None:
        """Write all queued records and stop the writer; blocks while the stream is blocked."""
        self._listener.stop()

    def drain(self, timeout_s: float) -> None:
        """Wait until the queue is empty, for at most ``timeout_s`` seconds."""
        deadline_s = time.monotonic() + timeout_s
        while not self._queue.empty() and time.monotonic() < deadline_s:
            time.sleep(DRAIN_POLL_INTERVAL_S)

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        """Queue a record or drop it; logs the number of dropped records once there is room."""
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            self.num_dropped += 1
            return
        if self.num_dropped:
            num_dropped, self.num_dropped = self.num_dropped, 0
            logging.warning("%d log lines were dropped: the log queue was full", num_dropped)


def use_bounded_handler(max_queued: int = MAX_QUEUED_RECORDS) -> BoundedLogHandler:
    """Replace the absl handler by a bounded one; call after :func:`setup_logging`.

    Args:
        max_queued: Maximum number of records queued for writing.
    """
    target = logging.get_absl_handler()
    bounded_handler = BoundedLogHandler(target, max_queued)
    root = standard_logging.getLogger()
    root.removeHandler(target)
    root.addHandler(bounded_handler)
    return bounded_handler


def setup_logging(settings: Logging, node: str, zone: str) -> None:
    """Set the log format and level of the process, and the node and zone fields.

    Args:
        settings: Log format and level.
        node: Name of this node.
        zone: Zone of this node.
    """
    # absl warns about messages logged before flags are parsed, and this program defines no flags.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(_LEVELS[settings.level])
    handler = logging.get_absl_handler()
    if settings.format == "json":
        handler.setFormatter(
            _NodeJsonFormatter(
                "{asctime}{levelname}{message}{module}",
                style="{",
                rename_fields={"asctime": "time", "levelname": "level"},
            )
        )
    else:
        handler.setFormatter(
            standard_logging.Formatter("%(asctime)s %(levelname)s %(message)s %(fields)s")
        )
    handler.addFilter(_FieldFilter())
    logging.use_absl_handler()
    _fields.set({"node": node, "zone": zone})
    for logger_name in ("uvicorn", "uvicorn.error", "uvicorn.access", "aiohttp", "asyncio"):
        standard_logging.getLogger(logger_name).setLevel(standard_logging.WARNING)
