"""Changes that neighbours know already, for a node whose own watch gives no answer.

A watch hangs on a dead connection or source until its time-out, and after a failure comes a pause.
Meanwhile other nodes may have heard of changes. So a node whose watch has been without an answer
for a short while asks some others, again and again, what they know beyond its own revision. Store
revisions order all changes, so whatever is newer may be taken from any node, however old its
mirror is; only how old the outcome is rests on the age that the answer tells.

A round takes :data:`ROUND_INTERVAL_S`, and the time-out of a question more if one of those asked
is dead.
Without a neighbour that knows more, a node has its own watch alone, with its time-out, its pause
and its question to a source that may be dead.
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

# Watches are short: one that is answered is heard of within 0.65 s, its wait and its pause.
WATCH_SILENCE_TIMEOUT_S = 0.8
# Several rounds fit the two seconds that changes have, together with the silence before them.
ROUND_INTERVAL_S = 0.3
# With two neighbours a round what one of nine nodes knows is at all within about four rounds.
FANOUT = 2
# A neighbour whom the store answered this lately shows that it is worth asking.
STORE_ANSWERS_S = 0.7
# No bound on the age of a neighbour's mirror, in seconds: revisions tell what is newer.
ANY_AGE_S = 1e9


class AntiEntropy:
    """Asks neighbours for changes while a mirror's own watch is silent.

    Args:
        mirrors: The mirrors, by prefix.
        client: Asks other nodes.
        neighbours: Returns where other nodes are reached.
        shared: Is told how old what is known may be.
        rng: Chooses neighbours.
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
        """Start looking after the mirrors."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop looking after the mirrors."""
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
                asked = self._choose()
                await asyncio.gather(
                    *(self._ask(address, prefix) for prefix in silent for address in asked)
                )

    def _choose(self) -> list[str]:
        neighbours = list(self._neighbours())
        return self._rng.sample(neighbours, min(FANOUT, len(neighbours)))

    async def _ask(self, address: str, prefix: str) -> None:
        """Ask one neighbour for what it knows beyond this node's revision."""
        mirror = self._mirrors[prefix]
        wants_listing = not mirror.is_loaded.is_set()
        asked_s = now_s()
        answer = await self._watch(address, mirror, prefix, wants_listing)
        if answer is not None and answer.is_history_gone:
            wants_listing = True
            answer = await self._watch(address, mirror, prefix, wants_listing)
        if answer is None or answer.is_stale or answer.is_history_gone:
            return
        fault = answer.validation_error(wants_listing)
        if fault is not None:
            code = int(ResultCode.MESSAGE_INVALID)
            logging.error("[%d] changes of %s from %s: %s", code, prefix, address, fault)
            mirror.relist()
            return
        self._adopt(address, prefix, answer, wants_listing)
        self._shared.record_answer(prefix, answer.as_of_s(asked_s))
        if answer.age_s < STORE_ANSWERS_S:
            mirror.retry_now()

    async def _watch(
        self, address: str, mirror: PrefixMirror, prefix: str, wants_listing: bool
    ) -> SharedChanges | None:
        request = WatchRequest(prefix, mirror.reached_revision, 0.0, ANY_AGE_S, wants_listing)
        return await self._client.watch(address, request)

    def _adopt(self, address: str, prefix: str, answer: SharedChanges, is_listing: bool) -> None:
        mirror = self._mirrors[prefix]
        before = mirror.reached_revision
        if is_listing:
            mirror.apply_listing(answer.listed())
        else:
            mirror.apply_changes(Changes(answer.items(), answer.revision))
        if mirror.reached_revision != before and answer.changes:
            logging.info(
                "changes of %s from the node %s: revision %d after %d, of %.2f s ago",
                prefix,
                address,
                mirror.reached_revision,
                before,
                answer.age_s,
            )
