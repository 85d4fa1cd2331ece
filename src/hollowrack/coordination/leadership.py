"""One leader among the nodes: whoever created the leader key under its own session.

The revision at which the key was created is the leader's fencing token. A leader acts only while
its session is valid by its own steady clock, and a new one waits a handover time before it acts, so
that orders of two leaders are apart in time even where receivers do not check fencing tokens.

A process that finds the key in the name of an earlier process of its own node takes it over at
once: a node runs one process at a time, so that earlier one has ended. A second key, without a
lease, says who led last: its node need not wait, as nobody else can have acted in between.
"""

import asyncio
import random

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.session import Session, decode_owner, node_of_owner
from hollowrack.coordination.store import (
    ABSENT_REVISION,
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    Put,
    StoredItem,
)
from hollowrack.tasks import cancel_all

CAMPAIGN_PAUSE_S = 0.3
CAMPAIGN_JITTER_S = 0.1
# An action decided now must reach its receiver before the session can have ended.
ACTION_MARGIN_S = 0.5
NO_HANDOVER_S = 0.0
# The store may end a session that its holder takes for valid. The holder learns of that with its
# next renewal, half a second later at most, and its last order is then on the way.
REVOKED_MARGIN_S = 0.6
# The node that led last goes first, if it is there.
MIN_CAMPAIGN_DELAY_S = 0.15
# While processes start, that node may start as well, and any other would wait out the handover.
STARTUP_WINDOW_S = 3.0
STARTUP_CAMPAIGN_DELAY_S = 0.8
MAX_AGE_CAMPAIGN_DELAY_S = 0.45
OLD_AGE_S = 20.0
LAST_SUFFIX = "-last"


class Leadership:
    """Campaigns for the leader key and says whether this node may act as leader.

    Args:
        store: The coordination store.
        session: This node's session.
        key: The leader key.
        owner: This node's name and incarnation.
        handover_s: How long a new leader waits before it acts, in seconds.
        rng: Source of the jitter.
    """

    def __init__(
        self,
        store: CoordinationStore,
        session: Session,
        key: str,
        owner: str,
        handover_s: float,
        rng: random.Random,
    ) -> None:
        self.key = key
        self.last_key = f"{key}{LAST_SUFFIX}"
        self.fencing_token: int | None = None
        self._store = store
        self._session = session
        self._owner = owner
        self._last: StoredItem | None = None
        self._free_revision = ABSENT_REVISION
        self._wait_s = handover_s
        self._handover_s = handover_s
        self._rng = rng
        self._lease: int | None = None
        self._acts_from_s = float("inf")
        # Since when certainly nobody has led, on the loop's clock.
        self._free_since_s = float("inf")
        self._started_s = 0.0
        self._is_free = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this node holds the key for sure."""
        return (
            self.fencing_token is not None
            and self._lease == self._session.lease
            and self._session.is_valid
        )

    @property
    def may_act(self) -> bool:
        """Whether an order may be sent now."""
        now = now_s()
        return (
            self.is_leader
            and now >= self._acts_from_s
            and now < self._session.valid_until_s - ACTION_MARGIN_S
        )

    def start(self) -> None:
        """Start campaigning."""
        self._started_s = now_s()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop campaigning; the session's end removes the key."""
        await cancel_all(self._task)
        self.fencing_token = None

    async def resign(self) -> None:
        """Stop campaigning and give the key up at once, for a planned stop."""
        token = self.fencing_token
        await self.stop()
        if token is not None:
            # Nobody needs to wait for this node: it has stopped on purpose.
            removes = [self.key, self.last_key]
            await self._store.transact([Condition(self.key, token)], [], removes)

    def update_leader_key(self, item: StoredItem | None) -> None:
        """Take in what the leader key holds, as seen by a mirror or a failed write."""
        if item is None:
            self._free_since_s = min(self._free_since_s, now_s())
            self._free_from(ABSENT_REVISION, self._handover_s)
            return
        self._free_since_s = float("inf")
        holder = decode_owner(item.value)
        if holder == self._owner:
            return
        self.fencing_token = None
        if node_of_owner(holder) == node_of_owner(self._owner):
            self._free_from(item.revision, NO_HANDOVER_S)
        else:
            self._is_free.clear()

    def update_last_leader_key(self, item: StoredItem | None) -> None:
        """Take in what the key of the last leader holds.

        Every leader writes it. So if it has changed, somebody led after this node last saw the
        leader key free, and whoever campaigns must have seen the change.
        """
        if _revision_of(item) != _revision_of(self._last):
            self._free_since_s = now_s() if self._is_free.is_set() else float("inf")
        self._last = item

    @property
    def was_last_leader(self) -> bool:
        """Whether this node led last, in this process or an earlier one."""
        if self._last is None:
            return False
        return node_of_owner(decode_owner(self._last.value)) == node_of_owner(self._owner)

    def _free_from(self, revision: int, wait_s: float) -> None:
        self._free_revision = revision
        self._wait_s = wait_s
        self._is_free.set()

    async def _run(self) -> None:
        while True:
            await self._is_free.wait()
            if not self.was_last_leader:
                await asyncio.sleep(self._yield_s() + self._rng.uniform(0, CAMPAIGN_JITTER_S))
            if self._is_free.is_set() and self._session.is_valid:
                await self._campaign()
            await asyncio.sleep(CAMPAIGN_PAUSE_S)

    def _yield_s(self) -> float:
        """How long to let others go first, in seconds.

        Young processes go first: while machines are stopped and started in turn, those that have
        just started are not the next to be stopped. Only the node that led last goes before them.
        """
        age_s = now_s() - self._started_s
        yield_s = MIN_CAMPAIGN_DELAY_S + MAX_AGE_CAMPAIGN_DELAY_S * min(1.0, age_s / OLD_AGE_S)
        is_starting = self._last is not None and age_s < STARTUP_WINDOW_S
        return yield_s + STARTUP_CAMPAIGN_DELAY_S if is_starting else yield_s

    async def _campaign(self) -> None:
        lease = self._session.lease
        if lease is None:
            return
        last_revision = _revision_of(self._last)
        must_wait = not self.was_last_leader and self._wait_s > NO_HANDOVER_S
        # The last leader has not acted long after its key was seen to be gone.
        free_since_s = min(self._free_since_s, now_s())
        outcome = await self._store.transact(
            [Condition(self.key, self._free_revision), Condition(self.last_key, last_revision)],
            [Put(self.key, self._owner.encode(), lease), Put(self.last_key, self._owner.encode())],
        )
        if isinstance(outcome, Committed):
            acts_from_s = now_s()
            if must_wait:
                acts_from_s = free_since_s + self._wait_s + REVOKED_MARGIN_S
            self._win(lease, outcome.revision, acts_from_s)
        elif isinstance(outcome, Conflict):
            self._note_conflict(lease, outcome)

    def _note_conflict(self, lease: int, outcome: Conflict) -> None:
        current = {item.key: item for item in outcome.current}
        self.update_last_leader_key(current.get(self.last_key))
        item = current.get(self.key)
        # A lost answer of an earlier attempt shows as a key that already names this process.
        if item is not None and decode_owner(item.value) == self._owner and item.lease == lease:
            self._win(lease, item.revision, now_s() + self._handover_s)
        else:
            self.update_leader_key(item)

    def _win(self, lease: int, revision: int, acts_from_s: float) -> None:
        self._is_free.clear()
        self._free_since_s = float("inf")
        self._lease = lease
        self.fencing_token = revision
        self._acts_from_s = acts_from_s
        wait_s = max(0.0, acts_from_s - now_s())
        logging.info("leader from now on, fencing token %d, orders after %.2f s", revision, wait_s)


def _revision_of(item: StoredItem | None) -> int:
    return ABSENT_REVISION if item is None else item.revision
