"""Orders capacity from the platform, while this node leads.

The platform tells nobody what was ordered, so the plan is kept in the coordination store: the first
leader that knows the workers decides it, and every later one orders the same. Were each leader to
hold what it finds, every worker that fails during a change of leaders would be lost for good.
"""

import asyncio
from collections.abc import Callable

from absl import logging
from returns.result import Failure

from hollowrack.capacity.planner import orders_of, plan_as_found
from hollowrack.capacity.types import CapacityClient, CapacityOrder, CapacityPlan
from hollowrack.clock import now_s
from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.store import (
    ABSENT_REVISION,
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    Put,
    StoredItem,
)
from hollowrack.forwarding.types import Service
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.messages import codec
from hollowrack.tasks import cancel_all

LOOK_S = 0.5
# Workers write of themselves about once a second: by then all that live have been seen.
FIRST_LOOK_S = 2.0
# An order that was lost, or undone by an older one that arrived late, is repaired by the next.
REPEAT_S = 10.0
RETRY_PAUSE_S = 1.0


class CapacityDuty:
    """Orders capacity for all nodes.

    Args:
        node: This node's name.
        key: Key of the plan in the coordination store.
        store: The coordination store.
        leadership: Whether this node may order.
        services: Returns the services in force.
        workers: The workers known.
        client: Gives orders.
    """

    def __init__(
        self,
        node: str,
        key: str,
        store: CoordinationStore,
        leadership: Leadership,
        services: Callable[[], tuple[Service, ...]],
        workers: WorkerDirectory,
        client: CapacityClient,
    ) -> None:
        self._node = node
        self._key = key
        self._store = store
        self._leadership = leadership
        self._services = services
        self._workers = workers
        self._client = client
        self._plan: CapacityPlan | None = None
        self._revision = ABSENT_REVISION
        self._led_token: int | None = None
        self._leads_since_s = 0.0
        self._due_s: dict[CapacityOrder, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start ordering whenever this node leads."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop ordering; what was ordered stays."""
        await cancel_all(self._task)

    def take(self, item: StoredItem | None) -> None:
        """Take in what the store holds, as a mirror or a failed write shows it."""
        if item is None or item.revision <= self._revision:
            return
        decoded = codec.decode(item.value)
        if isinstance(decoded, Failure) or not isinstance(decoded.unwrap(), CapacityPlan):
            logging.error("capacity: the plan cannot be read: %s", decoded)
            return
        self._revision = item.revision
        self._plan = decoded.unwrap()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            if not self._leadership.may_act:
                continue
            self._note_leading()
            if self._plan is None:
                await self._decide()
            else:
                await self._order(self._plan)

    def _note_leading(self) -> None:
        if self._led_token != self._leadership.fencing_token:
            self._led_token = self._leadership.fencing_token
            self._leads_since_s = now_s()
            self._due_s.clear()

    async def _decide(self) -> None:
        if now_s() < self._leads_since_s + FIRST_LOOK_S:
            return
        serving = [worker for worker in self._workers.all() if not worker.is_leaving]
        plan = plan_as_found(self._services(), serving)
        if not plan.zones:
            return
        value = codec.encode(plan)
        condition = Condition(self._key, self._revision)
        outcome = await self._store.transact([condition], [Put(self._key, value)])
        if isinstance(outcome, Committed):
            logging.info("capacity: decided %s", plan)
            self.take(StoredItem(self._key, value, outcome.revision))
        elif isinstance(outcome, Conflict):
            self.take(next(iter(outcome.current), None))
        else:
            # If the write was done all the same, the next attempt shows it as a conflict.
            logging.warning("capacity: not decided, %s", outcome)

    async def _order(self, plan: CapacityPlan) -> None:
        for order in orders_of(plan):
            token = self._leadership.fencing_token
            if now_s() < self._due_s.get(order, 0.0):
                continue
            if token is None or not self._leadership.may_act:
                return
            outcome = await self._client.order_capacity(DutyHolder(self._node, token), order)
            is_done = outcome is DutyOutcome.ACCEPTED
            logging.info("capacity: %s: %s", order, outcome.value)
            self._due_s[order] = now_s() + (REPEAT_S if is_done else RETRY_PAUSE_S)
