"""Orders capacity from the platform, while this node leads.

The platform tells nobody what was ordered, so the plan is kept in the coordination store: the first
leader that knows the workers decides it, and every later one orders the same. Were each leader to
hold what it finds, every worker that fails during a change of leaders would be lost for good.
"""

import asyncio
from collections.abc import Callable

from absl import logging

from hollowrack.capacity.planner import orders_of, plan_as_found
from hollowrack.capacity.types import CapacityClient, CapacityOrder, CapacityPlan
from hollowrack.clock import now_s
from hollowrack.coordination.duty import DutyHolder, DutyOutcome
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.leadership_term import LeadershipTerm
from hollowrack.coordination.record import Record
from hollowrack.coordination.store import CoordinationStore, StoredItem
from hollowrack.forwarding.types import Service
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.tasks import cancel_all

POLL_INTERVAL_S = 0.5
# Workers write of themselves about once a second: by then all that live have been seen.
FIRST_LOOK_S = 2.0
# An order that was lost, or undone by an older one that arrived late, is repaired by the next.
REPEAT_S = 10.0
RETRY_INTERVAL_S = 1.0


class CapacityReconciler:
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
        self._leadership = leadership
        self._services = services
        self._workers = workers
        self._client = client
        self._record = Record(store, key, CapacityPlan)
        self._tenure = LeadershipTerm(leadership)
        self._due_s: dict[CapacityOrder, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start ordering whenever this node leads."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop ordering; what was ordered stays."""
        await cancel_all(self._task)

    def update_plan(self, item: StoredItem | None) -> None:
        """Take in the plan as a mirror shows it."""
        self._record.update(item)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._leadership.may_act:
                continue
            if self._tenure.update():
                self._due_s.clear()
            plan = self._record.value
            if plan is not None:
                await self._order(plan)
            elif self._tenure.age_s >= FIRST_LOOK_S:
                await self._decide()

    async def _decide(self) -> None:
        serving = [worker for worker in self._workers.all() if not worker.is_leaving]
        plan = plan_as_found(self._services(), serving)
        if plan.zones and await self._record.ensure_current():
            is_decided = await self._record.replace(plan)
            logging.info("capacity: %s %s", plan, "decided" if is_decided else "not decided")

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
            self._due_s[order] = now_s() + (REPEAT_S if is_done else RETRY_INTERVAL_S)
