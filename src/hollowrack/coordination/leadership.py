"""Leader election: the leader is the node that created the leader key under its own session.

The revision at which the key was created is the leader's fencing token. A leader acts only while
its session is valid by the loop's clock, and a new leader waits for a handover time before it acts,
so that the orders of two leaders do not overlap even where receivers do not check fencing tokens.

If an earlier incarnation of the same node holds the key, the node takes it over at once: a node
runs one process at a time, so the earlier one has ended. A second key without a lease names the
last leader. That node does not need to wait, as no other can have acted in between.
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

CAMPAIGN_RETRY_INTERVAL_S = 0.3
CAMPAIGN_JITTER_S = 0.1
# An order sent now must arrive before the session can expire.
ACTION_MARGIN_S = 0.5
NO_HANDOVER_S = 0.0
# The store may revoke a session that its holder still considers valid. The holder learns of it with
# its next renewal, up to 0.5 s later, and its last order may then be in flight.
REVOKED_MARGIN_S = 0.6
# Lets the last leader campaign first.
MIN_CAMPAIGN_DELAY_S = 0.15
# While processes start, the last leader may be starting too; any other node would have to wait for
# the handover.
STARTUP_WINDOW_S = 3.0
STARTUP_CAMPAIGN_DELAY_S = 0.8
# Part of the campaign delay that grows linearly with the process age, up to the age
# MAX_DELAY_PROCESS_AGE_S.
MAX_AGE_CAMPAIGN_DELAY_S = 0.45
MAX_DELAY_PROCESS_AGE_S = 20.0
LAST_SUFFIX = "-last"


class Leadership:
    """Campaigns for the leader key and determines whether this node may act as leader.

    Args:
        store: Holds the leader key.
        session: Session whose lease the leader key is bound to.
        key: The leader key; ``<key>-last`` names the last leader.
        owner: This node's name and incarnation.
        handover_s: How long a new leader waits before it acts, in seconds.
        rng: Source of the jitter.

    Attributes:
        fencing_token: Revision at which this node created the leader key; ``None`` if it does not
            lead.
        leading_since_s: Time at which this node learnt of its last election, on the loop's clock;
            infinite before the first one.
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
        self.leading_since_s = float("inf")
        self._store = store
        self._session = session
        self._owner = owner
        self._last_leader: StoredItem | None = None
        # Revision that the leader key must have when this node campaigns.
        self._free_revision = ABSENT_REVISION
        self._wait_s = handover_s
        self._handover_s = handover_s
        self._rng = rng
        self._lease: int | None = None
        self._may_act_from_s = float("inf")
        # Time from which there has certainly been no leader, on the loop's clock; infinite if
        # unknown.
        self._free_since_s = float("inf")
        self._start_time_s = 0.0
        self._is_free = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this node certainly holds the leader key."""
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
            and now >= self._may_act_from_s
            and now < self._session.valid_until_s - ACTION_MARGIN_S
        )

    @property
    def acts_in_s(self) -> float:
        """Time until the handover time of the current term ends, in seconds; 0 if it has ended."""
        return max(0.0, self._may_act_from_s - now_s())

    def start(self) -> None:
        """Start campaigning."""
        self._start_time_s = now_s()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop campaigning; the session's end removes the key."""
        await cancel_all(self._task)
        self.fencing_token = None

    async def resign(self) -> None:
        """Stop campaigning and remove the leader key at once, for a planned stop."""
        token = self.fencing_token
        await self.stop()
        if token is not None:
            # Without the last-leader key no other node delays its campaign in favour of this one.
            removes = [self.key, self.last_key]
            await self._store.transact([Condition(self.key, token)], [], removes)

    def update_leader_key(self, item: StoredItem | None) -> None:
        """Update the state of the leader key, as seen by a mirror or a failed write."""
        if item is None:
            self._free_since_s = min(self._free_since_s, now_s())
            self._set_free(ABSENT_REVISION, self._handover_s)
            return
        self._free_since_s = float("inf")
        holder = decode_owner(item.value)
        if holder == self._owner:
            return
        self.fencing_token = None
        if node_of_owner(holder) == node_of_owner(self._owner):
            self._set_free(item.revision, NO_HANDOVER_S)
        else:
            self._is_free.clear()

    def update_last_leader_key(self, item: StoredItem | None) -> None:
        """Update the state of the last-leader key.

        Every leader writes it. If it has changed, another node has led since this node last saw the
        leader key free, and a campaign must be conditional on the new revision.
        """
        if _revision_of(item) != _revision_of(self._last_leader):
            self._free_since_s = now_s() if self._is_free.is_set() else float("inf")
        self._last_leader = item

    @property
    def was_last_leader(self) -> bool:
        """Whether this node was the last leader, in this incarnation or an earlier one."""
        if self._last_leader is None:
            return False
        return node_of_owner(decode_owner(self._last_leader.value)) == node_of_owner(self._owner)

    def _set_free(self, revision: int, wait_s: float) -> None:
        self._free_revision = revision
        self._wait_s = wait_s
        self._is_free.set()

    async def _run(self) -> None:
        while True:
            await self._is_free.wait()
            if not self.was_last_leader:
                await asyncio.sleep(
                    self._campaign_delay_s() + self._rng.uniform(0, CAMPAIGN_JITTER_S)
                )
            if self._is_free.is_set() and self._session.is_valid:
                await self._campaign()
            await asyncio.sleep(CAMPAIGN_RETRY_INTERVAL_S)

    def _campaign_delay_s(self) -> float:
        """Delay before campaigning, in seconds; it grows with the age of the process.

        During a rolling restart the youngest processes are the last to be stopped again, so they
        make the most stable leaders. Only the last leader campaigns earlier.
        """
        age_s = now_s() - self._start_time_s
        delay_s = MIN_CAMPAIGN_DELAY_S + MAX_AGE_CAMPAIGN_DELAY_S * min(
            1.0, age_s / MAX_DELAY_PROCESS_AGE_S
        )
        is_starting = self._last_leader is not None and age_s < STARTUP_WINDOW_S
        return delay_s + STARTUP_CAMPAIGN_DELAY_S if is_starting else delay_s

    async def _campaign(self) -> None:
        lease = self._session.lease
        if lease is None:
            return
        last_revision = _revision_of(self._last_leader)
        must_wait = not self.was_last_leader and self._wait_s > NO_HANDOVER_S
        # The handover time starts when the key was seen to be removed, not with the campaign.
        free_since_s = min(self._free_since_s, now_s())
        outcome = await self._store.transact(
            [Condition(self.key, self._free_revision), Condition(self.last_key, last_revision)],
            [Put(self.key, self._owner.encode(), lease), Put(self.last_key, self._owner.encode())],
        )
        if isinstance(outcome, Committed):
            acts_from_s = now_s()
            if must_wait:
                acts_from_s = free_since_s + self._wait_s + REVOKED_MARGIN_S
            self._become_leader(lease, outcome.revision, acts_from_s)
        elif isinstance(outcome, Conflict):
            self._process_conflict(lease, outcome)

    def _process_conflict(self, lease: int, outcome: Conflict) -> None:
        current = {item.key: item for item in outcome.current}
        self.update_last_leader_key(current.get(self.last_key))
        item = current.get(self.key)
        # An earlier attempt whose answer was lost may have succeeded.
        if item is not None and decode_owner(item.value) == self._owner and item.lease == lease:
            self._become_leader(lease, item.revision, now_s() + self._handover_s)
        else:
            self.update_leader_key(item)

    def _become_leader(self, lease: int, revision: int, acts_from_s: float) -> None:
        self._is_free.clear()
        self._free_since_s = float("inf")
        self._lease = lease
        self.fencing_token = revision
        self.leading_since_s = now_s()
        self._may_act_from_s = acts_from_s
        wait_s = max(0.0, acts_from_s - now_s())
        logging.info(
            "elected leader, fencing token %d, may send orders in %.2f s", revision, wait_s
        )


def _revision_of(item: StoredItem | None) -> int:
    return ABSENT_REVISION if item is None else item.revision
