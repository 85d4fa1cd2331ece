"""Engine controller: orders the engines of a zone to load their target weight versions.

The leader of the zone's replicated group sends the orders; it may run in another zone. Each order
carries the leader's ballot as a fencing token, so that engines reject orders of a former leader.
Failed orders are repeated until the engine reports the target version.
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
GROUP_POLL_INTERVAL_S = 1.0
FAILED_ORDER_BACKOFF_S = 1.0
# A group created before other nodes are discovered has a single member and is lost with it.
DISCOVERY_POLL_INTERVAL_S = 0.1
DISCOVERY_QUIET_PERIOD_S = 1.5
# Longer than an election: a group without a leader by then may have lost its majority.
LEADERLESS_TIMEOUT_S = 5.0


def zone_of_group(group: str) -> str | None:
    """Return the zone of an engine group, or ``None`` for another kind of group."""
    if group.startswith(ENGINE_GROUP_PREFIX):
        return group.removeprefix(ENGINE_GROUP_PREFIX)
    return None


def engine_group(zone: str) -> str:
    """Return the name of the replicated group whose leader controls a zone's engines."""
    return ENGINE_GROUP_PREFIX + zone


class EmptyStateMachine:
    """Empty state machine of a group that is used only for leader election."""

    def apply(self, command: bytes) -> bytes:
        """Return the command unchanged."""
        return command

    def snapshot(self) -> bytes:
        """Return an empty snapshot."""
        return b""

    def restore(self, snapshot: bytes) -> None:
        """Ignore the snapshot."""


class EngineController:
    """Controls the engines of each zone whose group this node leads.

    Args:
        zone: Zone of this node, whose group it creates if it does not exist.
        host: Hosts the group replicas of this node.
        groups: Creates the zone's group.
        fleet: The node's view of the back ends.
        make_client: Returns the client of the engine at an address.
        target_version: Returns the target weight version of a model; ``None`` if it has none.
        decisions: Log of the decisions.
        num_nodes: Returns the number of known live nodes, including this one.
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
        self._order_tasks: dict[str, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the group and reconcile loops."""
        self._tasks = [
            asyncio.create_task(self._group_loop()),
            asyncio.create_task(self._reconcile_loop()),
        ]

    async def stop(self) -> None:
        """Stop the loops and cancel the orders in progress."""
        tasks = [*self._tasks, *self._order_tasks.values()]
        await cancel_all(*tasks)

    async def _group_loop(self) -> None:
        group = engine_group(self._zone)
        await self._wait_for_discovery()
        last_leader_s = now_s()
        while True:
            await self._groups.find_or_create(group)
            if await self._groups.has_leader(group):
                last_leader_s = now_s()
            elif now_s() - last_leader_s > LEADERLESS_TIMEOUT_S:
                # Safe without the former members: the group has no state, and engines reject
                # orders with older fencing tokens.
                logging.warning("group %s has no leader; forcing a new epoch", group)
                await self._groups.force_new_epoch(group)
                last_leader_s = now_s()
            await asyncio.sleep(GROUP_POLL_INTERVAL_S)

    async def _wait_for_discovery(self) -> None:
        """Wait until enough nodes for a group are known or their number has stopped changing."""
        num_known = self._num_nodes()
        last_change_s = now_s()
        while (
            num_known < DEFAULT_NUM_REPLICAS and now_s() - last_change_s < DISCOVERY_QUIET_PERIOD_S
        ):
            await asyncio.sleep(DISCOVERY_POLL_INTERVAL_S)
            if self._num_nodes() != num_known:
                num_known = self._num_nodes()
                last_change_s = now_s()

    async def _reconcile_loop(self) -> None:
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            for group in list(self._host.groups):
                zone = zone_of_group(group)
                if zone is not None and self._host.leads(group):
                    self._send_zone_orders(
                        zone, self._host.groups[group].replica.promised.fencing_token
                    )

    def _send_zone_orders(self, zone: str, token: int) -> None:
        for address, record in self._fleet.records.items():
            if record.machine.zone == zone and address not in self._order_tasks:
                self._start_order_if_needed(address, record, token)

    def _start_order_if_needed(self, address: str, record: BackEndRecord, token: int) -> None:
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
        task = asyncio.create_task(
            self._send_order(address, machine.pool, target, token, incarnation)
        )
        self._order_tasks[address] = task
        task.add_done_callback(lambda _: self._order_tasks.pop(address, None))

    async def _send_order(
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
            logging.warning(
                "weight version order to engine %s failed: %s", address, result.failure()
            )
            await asyncio.sleep(FAILED_ORDER_BACKOFF_S)
