"""Reconciler of the ordered capacity, active on the leader.

The platform does not report what was ordered, so the plan is kept in the coordination store: the
first leader that knows the workers decides it, and later leaders order the same. If each leader
ordered the capacity that it finds, a worker that fails during a change of leader would never be
replaced.
"""

import asyncio
from collections.abc import Callable

from absl import logging

from hollowrack.capacity.planner import orders_of, plan_current_workers
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
# Workers write their entries about once per second, so all live ones have been seen by then.
INITIAL_DELAY_S = 2.0
# Repeats repair an order that was lost, or overwritten by a late older one.
ORDER_REPEAT_INTERVAL_S = 10.0
RETRY_INTERVAL_S = 1.0


class CapacityReconciler:
    """Decides the capacity plan and orders it from the platform while this node leads.

    Args:
        node: This node's name.
        key: Key of the plan in the coordination store.
        store: Holds the plan.
        leadership: Whether this node may order.
        services: Returns the services of the configuration in force.
        workers: The known workers.
        client: Sends orders to the platform.
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
        self._term = LeadershipTerm(leadership)
        self._next_order_s: dict[CapacityOrder, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start ordering whenever this node leads."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop ordering; existing orders stay in force."""
        await cancel_all(self._task)

    def update_plan(self, item: StoredItem | None) -> None:
        """Update the plan from the mirrored item."""
        self._record.update(item)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if not self._leadership.may_act:
                continue
            if self._term.update():
                self._next_order_s.clear()
            plan = self._record.value
            if plan is not None:
                await self._order_plan(plan)
            elif self._term.age_s >= INITIAL_DELAY_S:
                await self._decide()

    async def _decide(self) -> None:
        available = [worker for worker in self._workers.all() if not worker.is_leaving]
        plan = plan_current_workers(self._services(), available)
        if plan.zones and await self._record.ensure_current():
            is_decided = await self._record.replace(plan)
            logging.info("capacity: %s %s", plan, "decided" if is_decided else "not decided")

    async def _order_plan(self, plan: CapacityPlan) -> None:
        for order in orders_of(plan):
            token = self._leadership.fencing_token
            if now_s() < self._next_order_s.get(order, 0.0):
                continue
            if token is None or not self._leadership.may_act:
                return
            outcome = await self._client.order_capacity(DutyHolder(self._node, token), order)
            is_accepted = outcome is DutyOutcome.ACCEPTED
            logging.info("capacity: %s: %s", order, outcome.value)
            self._next_order_s[order] = now_s() + (
                ORDER_REPEAT_INTERVAL_S if is_accepted else RETRY_INTERVAL_S
            )
