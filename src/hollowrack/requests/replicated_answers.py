"""Replicated answers: stored at the nodes that their identifier hashes to.

Any node can find an answer by its identifier.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from hollowrack.messages.codec import message
from hollowrack.replication.links import NodeLinks
from hollowrack.requests.answer_store import AnswerStore
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import Problem, ProblemError, ResultCode

NUM_REPLICAS = 2
# Reads ask more nodes than writes do, because a node that joins changes the replicas.
NUM_READ_REPLICAS = 4
FIND_TIMEOUT_S = 1.0


@message("answers.keep")
@dataclass(frozen=True)
class StoreAnswer:
    """Message to a node to store an answer."""

    request_id: str
    answer: RecordedAnswer


@message("answers.find")
@dataclass(frozen=True)
class FindAnswer:
    """Request to a node for an answer."""

    request_id: str


class ReplicatedAnswers:
    """Stores and finds answers across the fleet.

    Args:
        node: Name of this node.
        links: Sends messages to other nodes.
        store: Answers stored at this node.
    """

    def __init__(self, node: str, links: NodeLinks, store: AnswerStore) -> None:
        self._node = node
        self._links = links
        self._store = store

    def add(self, request_id: str, answer: RecordedAnswer) -> None:
        """Store an answer at this node and at its replicas."""
        self._store.add(request_id, answer)
        for node in self._links.candidates(request_id)[:NUM_REPLICAS]:
            if node != self._node:
                self._links.post(node, StoreAnswer(request_id, answer))

    async def find(self, request_id: str) -> RecordedAnswer | None:
        """Return the answer if it is stored at this node or at a replica."""
        local = self._store.find(request_id)
        if local is not None:
            return local
        replicas = self._links.candidates(request_id)[:NUM_READ_REPLICAS]
        requests = [
            self._links.request(node, FindAnswer(request_id), FIND_TIMEOUT_S)
            for node in replicas
            if node != self._node
        ]
        for answer in await asyncio.gather(*requests):
            found: Any = answer.value_or(None)
            if isinstance(found, RecordedAnswer):
                return found
        return None

    def receive_answer(self, request: StoreAnswer) -> None:
        """Store an answer received from another node."""
        self._store.add(request.request_id, request.answer)

    def answer_find(self, request: FindAnswer) -> RecordedAnswer:
        """Return an answer to another node.

        Raises:
            ProblemError: ``UNKNOWN_REQUEST`` if the answer is not stored at this node.
        """
        found = self._store.find(request.request_id)
        if found is None:
            raise ProblemError(
                Problem(ResultCode.UNKNOWN_REQUEST, "no answer is stored", request.request_id)
            )
        return found
