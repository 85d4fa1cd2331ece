"""Finished answers kept for callers that lost their connection: bounded in number and bytes."""

from collections import OrderedDict

from hollowrack.requests.types import RecordedAnswer

MAX_STORED_BYTES = 16 * 1024 * 1024


class AnswerStore:
    """The latest answers by request identifier; the oldest go first.

    Args:
        max_answers: Most answers kept.
        max_bytes: Most bytes of bodies kept.
    """

    def __init__(self, max_answers: int, max_bytes: int = MAX_STORED_BYTES) -> None:
        self._max_answers = max_answers
        self._max_bytes = max_bytes
        self._num_bytes = 0
        self._answers: OrderedDict[str, RecordedAnswer] = OrderedDict()

    def add(self, request_id: str, answer: RecordedAnswer) -> None:
        """Keep an answer; the first one for an identifier stays."""
        if request_id in self._answers or len(answer.body) > self._max_bytes:
            return
        self._answers[request_id] = answer
        self._num_bytes += len(answer.body)
        while len(self._answers) > self._max_answers or self._num_bytes > self._max_bytes:
            _, dropped = self._answers.popitem(last=False)
            self._num_bytes -= len(dropped.body)

    def find(self, request_id: str) -> RecordedAnswer | None:
        """Return the answer kept for an identifier."""
        return self._answers.get(request_id)
