"""The load that workers tell with their answers."""

from absl import logging

from hollowrack.forwarding.back_end import LoadReport
from hollowrack.platform import names

# Running, waiting and slots; a fourth figure tells the speed of that moment, which is over before
# another request comes.
MIN_NUM_FIGURES = 3
MAX_NUM_FIGURES = 4
# A worker cannot have more requests than connections; a longer figure is no count of requests.
MAX_DIGITS = 6
# A worker that always tells nonsense must not fill the log.
MALFORMED_PER_LOG_LINE = 1000


class LoadReportDecoder:
    """Decodes loads, and ignores malformed ones.

    Attributes:
        num_malformed: How many were ignored.
    """

    def __init__(self) -> None:
        self.num_malformed = 0

    def decode(self, value: str | None, worker_id: str) -> LoadReport | None:
        """Return the load in a header's value; ``None`` if there is none or it is malformed.

        Args:
            value: The header's value; ``None`` if the answer has no such header.
            worker_id: The worker, for the log.
        """
        if value is None:
            return None
        figures = [figure.strip() for figure in value.split(",", MAX_NUM_FIGURES)]
        if MIN_NUM_FIGURES <= len(figures) <= MAX_NUM_FIGURES and all(map(_is_count, figures)):
            return LoadReport(int(figures[0]), int(figures[1]))
        if self.num_malformed % MALFORMED_PER_LOG_LINE == 0:
            logging.warning(
                "worker %s: %s %r is ignored, %d before it; it should be counts joined by commas",
                worker_id,
                names.LOAD_REPORT,
                value[:80],
                self.num_malformed,
            )
        self.num_malformed += 1
        return None


def _is_count(figure: str) -> bool:
    return figure.isascii() and figure.isdigit() and len(figure) <= MAX_DIGITS
