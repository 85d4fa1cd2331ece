"""Structured logging through absl: JSON for machines, plain lines for people.

Prompts, answers, keys and signatures are never logged. Fields that name a request, sample, run,
step, node and zone are taken from the context in which a message is logged.
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

from hollowrack.settings.model import Logging

_fields: contextvars.ContextVar[dict[str, str]] = contextvars.ContextVar("log_fields")

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


@contextmanager
def log_fields(**fields: str) -> Iterator[None]:
    """Add fields (request, sample, run, step, node, zone) to all messages logged inside."""
    token = _fields.set(_fields.get({}) | fields)
    try:
        yield
    finally:
        _fields.reset(token)


class _FieldFilter(standard_logging.Filter):
    def filter(self, record: standard_logging.LogRecord) -> bool:
        if hasattr(record, "fields"):
            return True  # Seen before, in the context where it was made.
        for name, value in _fields.get({}).items():
            setattr(record, name, value)
        record.fields = " ".join(f"{name}={value}" for name, value in _fields.get({}).items())
        return True


class _NodeJsonFormatter(JsonFormatter):
    """JSON lines; the human formatter's joined field text is left out."""

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
    """Hands records to a thread that writes them, and drops what it cannot keep up with.

    A reader that does not read would otherwise stop the whole process at its next line.
    """

    def __init__(self, target: standard_logging.Handler, max_waiting: int) -> None:
        self._waiting: queue.Queue[standard_logging.LogRecord] = queue.Queue(max_waiting)
        super().__init__(self._waiting)
        self.num_dropped = 0
        self._target = target
        self._listener = QueueListener(self._waiting, target)
        self._listener.start()

    def prepare(self, record: standard_logging.LogRecord) -> standard_logging.LogRecord:
        """Let the target's filters see the record where it was made; formatting is left to it."""
        self._target.filter(record)
        return record

    def stop(self) -> None:
        """Stop the thread once all that waits is written; needs a reader."""
        self._listener.stop()

    def drain(self, timeout_s: float) -> None:
        """Wait a moment until what waits is written, at the end of a process."""
        deadline_s = time.monotonic() + timeout_s
        while not self._waiting.empty() and time.monotonic() < deadline_s:
            time.sleep(DRAIN_POLL_INTERVAL_S)

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        """Queue a record, or count it as dropped; the count is told once there is room again."""
        try:
            self._waiting.put_nowait(record)
        except queue.Full:
            self.num_dropped += 1
            return
        if self.num_dropped:
            num_dropped, self.num_dropped = self.num_dropped, 0
            logging.warning("%d log lines were dropped: nobody read them in time", num_dropped)


def use_bounded_handler(max_queued: int = MAX_QUEUED_RECORDS) -> BoundedLogHandler:
    """Make logging never wait for its reader; call after :func:`setup_logging`.

    Args:
        max_queued: Most records that wait to be written.
    """
    target = logging.get_absl_handler()
    bounded = BoundedLogHandler(target, max_queued)
    root = standard_logging.getLogger()
    root.removeHandler(target)
    root.addHandler(bounded)
    return bounded


def setup_logging(settings: Logging, node: str, zone: str) -> None:
    """Set the process's log format and level, and the fields that name this node."""
    # The program has no absl flags; without this absl takes every message for a premature one.
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
    for noisy in ("uvicorn", "uvicorn.error", "uvicorn.access", "aiohttp", "asyncio"):
        standard_logging.getLogger(noisy).setLevel(standard_logging.WARNING)
