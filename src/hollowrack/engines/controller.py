"""Brings the engines of a zone to the weight versions they should run.

The leader of the zone's replicated group gives the orders, from whichever zone it runs in, and each
order carries the leader's ballot as a fencing token, so that an engine refuses a leader that was
replaced without knowing it.
An engine whose swap failed is ordered again until it reports one consistent version.
"""

import asyncio
from collections.abc import Callable

from absl import logging
from returns.result import Failure

from hollowrack.clients.engine import MakeEngineClient
from hollowrack.clock import now_s
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.replication.client import GroupClient
from hollowrack.replication.host import GroupHost
from hollowrack.replication.placement import DEFAULT_NUM_REPLICAS
from hollowrack.routing.fleet import BackEndRecord, FleetView
from hollowrack.routing.types import BackEndKind
from hollowrack.tasks import cancel_all

ENGINE_GROUP_PREFIX = "engines:"
RECONCILE_INTERVAL_S = 0.1
ENSURE_INTERVAL_S = 1.0
FAILED_ORDER_BACKOFF_S = 1.0
# A group founded by a node that has found no others yet is lost with that node.
DISCOVERY_POLL_INTERVAL_S = 0.1
DISCOVERY_QUIET_PERIOD_S = 1.5
# An election takes less than this; a group without a leader for longer may have no majority left.
LEADERLESS_TIMEOUT_S = 5.0


def zone_of_group(group: str) -> str | None:
    """Return the zone of an engine group, or ``None`` for another kind of group."""
    if group.startswith(ENGINE_GROUP_PREFIX):
        return group.removeprefix(ENGINE_GROUP_PREFIX)
    return None


def engine_group(zone: str) -> str:
    """Return the group whose leader orders a zone's engines."""
    return ENGINE_GROUP_PREFIX + zone


class EmptyStateMachine:
    """State machine of a group that is used for its leadership alone."""

    def apply(self, command: bytes) -> bytes:
        """Do nothing."""
        return command

    def snapshot(self) -> bytes:
        """Return no state."""
        return b""

    def restore(self, snapshot: bytes) -> None:
        """Take back no state."""


class EngineController:
    """Orders the engines of each zone whose group this node leads.

    Args:
        zone: This node's zone, whose group it creates if nobody has.
        host: Runs the groups that this node is a member of.
        groups: Creates the zone's group.
        fleet: The node's view of the back ends.
        make_client: Returns the client of an engine by its address.
        target_version: Returns the weight version a model should run, or ``None``.
        decisions: Where decisions are recorded.
        num_nodes: Returns how many live nodes this node knows, itself included.
    """

    def __init__(
        self,
        zone: str,
        host: GroupHost,
        groups: GroupClient,
        fleet: FleetView,
        make_client: MakeEngineClient,
        target_version: Callable[[str], int | None],
        decisions: DecisionLog,
        num_nodes: Callable[[], int],
    ) -> None:
        self._zone = zone
        self._num_nodes = num_nodes
        self._host = host
        self._groups = groups
        self._fleet = fleet
        self._make_client = make_client
        self._target_version = target_version
        self._decisions = decisions
        self._orders: dict[str, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the loops."""
        self._tasks = [
            asyncio.create_task(self._run_ensure()),
            asyncio.create_task(self._run_reconcile()),
        ]

    async def stop(self) -> None:
        """Stop giving orders."""
        tasks = [*self._tasks, *self._orders.values()]
        await cancel_all(*tasks)

    async def _run_ensure(self) -> None:
        group = engine_group(self._zone)
        await self._until_nodes_are_found()
        led_s = now_s()
        while True:
            await self._groups.find_or_create(group)
            if await self._groups.has_leader(group):
                led_s = now_s()
            elif now_s() - led_s > LEADERLESS_TIMEOUT_S:
                # The group has no state, and engines refuse older tokens: nothing is lost by
                # leaving its earlier members behind.
                logging.warning("group %s has no leader: founded again", group)
                await self._groups.force_new_epoch(group)
                led_s = now_s()
            await asyncio.sleep(ENSURE_INTERVAL_S)

    async def _until_nodes_are_found(self) -> None:
        """Wait until enough nodes for a group are known, or no new one has been found lately."""
        num_known = self._num_nodes()
        last_found_s = now_s()
        while (
            num_known < DEFAULT_NUM_REPLICAS and now_s() - last_found_s < DISCOVERY_QUIET_PERIOD_S
        ):
            await asyncio.sleep(DISCOVERY_POLL_INTERVAL_S)
            if self._num_nodes() != num_known:
                num_known = self._num_nodes()
                last_found_s = now_s()

    async def _run_reconcile(self) -> None:
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            for group in list(self._host.groups):
                zone = zone_of_group(group)
                if zone is not None and self._host.leads(group):
                    self._order_zone(zone, self._host.groups[group].replica.promised.fencing_token)

    def _order_zone(self, zone: str, token: int) -> None:
        for address, record in self._fleet.records.items():
            if record.machine.zone == zone and address not in self._orders:
                self._order_if_needed(address, record, token)

    def _order_if_needed(self, address: str, record: BackEndRecord, token: int) -> None:
        machine = record.machine
        if machine.kind != BackEndKind.ENGINE.value:
            return
        if record.engine is None or record.is_leaving:
            return
        target = self._target_version(machine.pool)
        is_current = record.engine.weight_version == target and record.engine.status == "serving"
        if target is None or is_current or record.engine.weight_version > target:
            return
        incarnation = record.engine.incarnation
        task = asyncio.create_task(self._order(address, machine.pool, target, token, incarnation))
        self._orders[address] = task
        task.add_done_callback(lambda _: self._orders.pop(address, None))

    async def _order(
        self, address: str, model: str, version: int, token: int, incarnation: str
    ) -> None:
        client = self._make_client(address)
        result = await client.order_version(model, version, token, incarnation)
        outcome = result.failure().code.name if isinstance(result, Failure) else "done"
        self._decisions.record(
            DecisionKind.ORDER_ENGINE, address, outcome, model=model, version=version, token=token
        )
        state = await client.read_state()
        self._fleet.apply_engine_state(address, state.value_or(None))
        if isinstance(result, Failure):
            logging.warning("order to %s failed: %s", address, result.failure())
            await asyncio.sleep(FAILED_ORDER_BACKOFF_S)
