"""Finished answers on the two nodes that an identifier hashes to, so that any node finds them."""

import asyncio
from dataclasses import dataclass
from typing import Any

from hollowrack.messages.codec import message
from hollowrack.replication.links import NodeLinks
from hollowrack.requests.answer_store import AnswerStore
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import Problem, ProblemError, ResultCode

NUM_REPLICAS = 2
# A node that joined lately changes an identifier's homes; a read asks a few more than a write.
NUM_READ_REPLICAS = 4
FIND_TIMEOUT_S = 1.0


@message("answers.keep")
@dataclass(frozen=True)
class StoreAnswer:
    """Asks a node to keep an answer."""

    request_id: str
    answer: RecordedAnswer


@message("answers.find")
@dataclass(frozen=True)
class FindAnswer:
    """Asks a node for an answer it may keep."""

    request_id: str


class ReplicatedAnswers:
    """Keeps and finds answers over the fleet.

    Args:
        node: This node.
        links: How to reach other nodes.
        store: Answers kept here.
    """

    def __init__(self, node: str, links: NodeLinks, store: AnswerStore) -> None:
        self._node = node
        self._links = links
        self._store = store

    def add(self, request_id: str, answer: RecordedAnswer) -> None:
        """Keep an answer here and on its home nodes."""
        self._store.add(request_id, answer)
        for node in self._links.candidates(request_id)[:NUM_REPLICAS]:
            if node != self._node:
                self._links.post(node, StoreAnswer(request_id, answer))

    async def find(self, request_id: str) -> RecordedAnswer | None:
        """Return the answer if it is kept here or on a home node."""
        own = self._store.find(request_id)
        if own is not None:
            return own
        homes = self._links.candidates(request_id)[:NUM_READ_REPLICAS]
        requests = [
            self._links.request(node, FindAnswer(request_id), FIND_TIMEOUT_S)
            for node in homes
            if node != self._node
        ]
        for answer in await asyncio.gather(*requests):
            found: Any = answer.value_or(None)
            if isinstance(found, RecordedAnswer):
                return found
        return None

    def receive_answer(self, request: StoreAnswer) -> None:
        """Keep an answer for another node."""
        self._store.add(request.request_id, request.answer)

    def answer_find(self, request: FindAnswer) -> RecordedAnswer:
        """Answer another node.

        Raises:
            ProblemError: ``UNKNOWN_REQUEST`` if the answer is not kept here.
        """
        found = self._store.find(request.request_id)
        if found is None:
            raise ProblemError(
                Problem(ResultCode.UNKNOWN_REQUEST, "no answer is kept", request.request_id)
            )
        return found
