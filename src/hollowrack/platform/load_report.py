"""Decoder of the load that workers report in a response header."""

from absl import logging

from hollowrack.forwarding.back_end import LoadReport
from hollowrack.platform import names

# Running requests, waiting requests, slots and, optionally, the current throughput. Only the first
# two are used: entries of workers state the slots, and the throughput is soon outdated.
MIN_NUM_FIELDS = 3
MAX_NUM_FIELDS = 4
# More digits than any possible number of requests, which connections limit.
MAX_DIGITS = 6
# One log line is written per this many malformed reports of all workers, so that a faulty worker
# cannot fill the log.
MALFORMED_PER_LOG_LINE = 1000


class LoadReportDecoder:
    """Decodes load reports and ignores malformed ones.

    Attributes:
        num_malformed: Number of malformed reports of all workers.
    """

    def __init__(self) -> None:
        self.num_malformed = 0

    def decode(self, value: str | None, worker_id: str) -> LoadReport | None:
        """Return the load in a header value; ``None`` if it is absent or malformed.

        Args:
            value: Value of the header; ``None`` if the response has no such header.
            worker_id: Identifier of the worker, for the log.
        """
        if value is None:
            return None
        fields = [field.strip() for field in value.split(",", MAX_NUM_FIELDS)]
        if MIN_NUM_FIELDS <= len(fields) <= MAX_NUM_FIELDS and all(map(_is_count, fields)):
            return LoadReport(int(fields[0]), int(fields[1]))
        if self.num_malformed % MALFORMED_PER_LOG_LINE == 0:
            logging.warning(
                "worker %s: malformed %s %r ignored, %d of all workers before it; "
                "expected comma-separated counts",
                worker_id,
                names.LOAD_REPORT,
                value[:80],
                self.num_malformed,
            )
        self.num_malformed += 1
        return None


def _is_count(field: str) -> bool:
    return field.isascii() and field.isdigit() and len(field) <= MAX_DIGITS
