"""Structured logging through absl: JSON for machines, plain lines for people.

Prompts, answers, keys and signatures are never logged. Fields that name a request, sample, run,
step, node and zone are taken from the context in which a message is logged.
"""

import contextvars
import logging as standard_logging
from collections.abc import Iterator
from contextlib import contextmanager

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
