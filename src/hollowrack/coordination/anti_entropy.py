"""Anti-entropy for store mirrors: fetches changes from other nodes while a node's watch hangs.

A watch on a dead connection blocks until its timeout, and a backoff follows each failure. Meanwhile
other nodes may have received changes, so a node whose watch has not answered for a short time
polls a few neighbours for changes after its own revision. Store revisions order all changes, so
newer changes may be applied from any node, however stale its mirror is; the age in the answer says
how current the result is.

A round takes :data:`ROUND_INTERVAL_S`, plus the request timeout if a polled neighbour is dead. If
no neighbour has newer changes, the delay is that of the node's own watch: its timeout, its backoff
and its request to a source that may be dead.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.shared_store import FeedClient, SharedStore
from hollowrack.coordination.store import Changes
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack.results import ResultCode
from hollowrack.tasks import cancel_all

# Longer than the wait and the interval of a short watch (0.65 s).
WATCH_SILENCE_TIMEOUT_S = 0.8
# Several rounds must fit into the propagation limit of 2 s.
ROUND_INTERVAL_S = 0.3
# With two neighbours per round, a change reaches nine nodes within about four rounds.
FANOUT = 2
# Maximum age of an answer that shows that the store is reachable again.
MAX_REACHABLE_STORE_AGE_S = 0.7
# Neighbours may answer from mirrors of any age, as revisions show what is newer.
ANY_AGE_S = 1e9


class AntiEntropy:
    """Polls neighbours for changes while a mirror's own watch does not answer.

    Args:
        mirrors: Mirrors to keep current, by prefix.
        client: Sends the requests to other nodes.
        neighbours: Returns the addresses of other nodes.
        shared: Records the age of the answers.
        rng: Selects the neighbours of a round.
    """

    def __init__(
        self,
        mirrors: Mapping[str, PrefixMirror],
        client: FeedClient,
        neighbours: Callable[[], Sequence[str]],
        shared: SharedStore,
        rng: random.Random,
    ) -> None:
        self._mirrors = mirrors
        self._client = client
        self._neighbours = neighbours
        self._shared = shared
        self._rng = rng
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic check."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic check."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            silent = [
                prefix
                for prefix, mirror in self._mirrors.items()
                if now_s() - mirror.last_answer_s > WATCH_SILENCE_TIMEOUT_S
            ]
            if silent:
                selected = self._select_neighbours()
                await asyncio.gather(
                    *(self._poll(address, prefix) for prefix in silent for address in selected)
                )

    def _select_neighbours(self) -> list[str]:
        neighbours = list(self._neighbours())
        return self._rng.sample(neighbours, min(FANOUT, len(neighbours)))

    async def _poll(self, address: str, prefix: str) -> None:
        """Fetch and apply one neighbour's changes after this node's revision."""
        mirror = self._mirrors[prefix]
        wants_listing = not mirror.is_loaded.is_set()
        sent_s = now_s()
        answer = await self._watch(address, mirror, prefix, wants_listing)
        if answer is not None and answer.is_history_gone:
            wants_listing = True
            answer = await self._watch(address, mirror, prefix, wants_listing)
        if answer is None or answer.is_stale or answer.is_history_gone:
            return
        error = answer.validation_error(wants_listing)
        if error is not None:
            code = int(ResultCode.MESSAGE_INVALID)
            logging.error("[%d] invalid changes of %s from %s: %s", code, prefix, address, error)
            mirror.relist()
            return
        self._apply(address, prefix, answer, wants_listing)
        self._shared.record_answer(prefix, answer.as_of_s(sent_s))
        if answer.age_s < MAX_REACHABLE_STORE_AGE_S:
            mirror.retry_now()

    async def _watch(
        self, address: str, mirror: PrefixMirror, prefix: str, wants_listing: bool
    ) -> SharedChanges | None:
        request = WatchRequest(prefix, mirror.reached_revision, 0.0, ANY_AGE_S, wants_listing)
        return await self._client.watch(address, request)

    def _apply(self, address: str, prefix: str, answer: SharedChanges, is_listing: bool) -> None:
        mirror = self._mirrors[prefix]
        before = mirror.reached_revision
        if is_listing:
            mirror.apply_listing(answer.listed())
        else:
            mirror.apply_changes(Changes(answer.items(), answer.revision))
        if mirror.reached_revision != before and answer.changes:
            logging.info(
                "changes of %s from node %s: revision %d after %d, age %.2f s",
                prefix,
                address,
                mirror.reached_revision,
                before,
                answer.age_s,
            )
