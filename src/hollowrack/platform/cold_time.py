"""Decoder of the remaining warm-up time that workers state in a response header."""

import math

from absl import logging

from hollowrack.platform import names
from hollowrack.platform.worker_entry import MAX_COLD_REMAINING_MS
from hollowrack.results import Problem, ResultCode
from hollowrack.warmup.coldness import MAX_COLD_S, MS_PER_S

# More characters than any valid time has.
MAX_VALUE_LENGTH = 24
# One log line is written per this many malformed times of all workers.
MALFORMED_PER_LOG_LINE = 1000


class ColdTimeDecoder:
    """Decodes warm-up times and ignores malformed ones.

    Attributes:
        num_malformed: Number of malformed times of all workers.
    """

    def __init__(self) -> None:
        self.num_malformed = 0

    def decode(self, value: str | None, worker_id: str) -> float | None:
        """Return the time in a header value, in seconds; ``None`` if it is absent or malformed.

        Args:
            value: Value of the header; ``None`` if the response has no such header.
            worker_id: Identifier of the worker, for the log.
        """
        if value is None:
            return None
        milliseconds = _milliseconds(value.strip())
        if milliseconds is not None:
            return min(MAX_COLD_S, milliseconds / MS_PER_S)
        if self.num_malformed % MALFORMED_PER_LOG_LINE == 0:
            detail = (
                f"{value[:MAX_VALUE_LENGTH]!r} is not a time in milliseconds and is ignored; "
                f"{self.num_malformed} malformed ones of all workers before it."
            )
            place = f"worker {worker_id}, header {names.COLD_REMAINING_MS}"
            logging.warning("%s", Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, place))
        self.num_malformed += 1
        return None


def _milliseconds(text: str) -> float | None:
    if not text.isascii() or len(text) > MAX_VALUE_LENGTH or "_" in text:
        return None
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and 0.0 <= value <= MAX_COLD_REMAINING_MS else None
