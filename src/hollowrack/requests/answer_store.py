"""Answer store: bounded in-memory store of answers, for callers that lost their connection."""

from collections import OrderedDict

from hollowrack.requests.types import RecordedAnswer

MAX_STORED_BYTES = 16 * 1024 * 1024


class AnswerStore:
    """Stores the latest answers by request identifier and evicts the oldest first.

    Args:
        max_answers: Maximum number of answers.
        max_bytes: Maximum total size of the bodies, in bytes.
    """

    def __init__(self, max_answers: int, max_bytes: int = MAX_STORED_BYTES) -> None:
        self._max_answers = max_answers
        self._max_bytes = max_bytes
        self._num_bytes = 0
        self._answers: OrderedDict[str, RecordedAnswer] = OrderedDict()

    def add(self, request_id: str, answer: RecordedAnswer) -> None:
        """Store an answer, unless the identifier has one or the body exceeds ``max_bytes``."""
        if request_id in self._answers or len(answer.body) > self._max_bytes:
            return
        self._answers[request_id] = answer
        self._num_bytes += len(answer.body)
        while len(self._answers) > self._max_answers or self._num_bytes > self._max_bytes:
            _, evicted = self._answers.popitem(last=False)
            self._num_bytes -= len(evicted.body)

    def find(self, request_id: str) -> RecordedAnswer | None:
        """Return the answer stored for an identifier; ``None`` if there is none."""
        return self._answers.get(request_id)
