"""Fleet observer: polls the machine list and the engines' states, loads and cache events."""

import asyncio
import itertools
from collections.abc import Callable

from returns.result import Success

from hollowrack.clients.engine import MakeEngineClient
from hollowrack.clients.machine_list import Machine, ReadMachines
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.types import BackEndKind
from hollowrack.tasks import cancel_all

MACHINE_LIST_POLL_INTERVAL_S = 0.5
ENGINE_POLL_INTERVAL_S = 0.25
OTHER_ENGINES_POLL_ROUNDS = 4


class FleetObserver:
    """Polls the platform and updates the fleet view of one node.

    Args:
        fleet: The view to update.
        read_machines: Reads the machine list.
        make_client: Returns the client of an engine by its address.
        polls_every_round: Returns whether an engine is polled in every round, because this node
            makes decisions for it.
    """

    def __init__(
        self,
        fleet: FleetView,
        read_machines: ReadMachines,
        make_client: MakeEngineClient,
        polls_every_round: Callable[[Machine], bool],
    ) -> None:
        self._fleet = fleet
        self._read_machines = read_machines
        self._make_client = make_client
        self._polls_every_round = polls_every_round
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start polling."""
        self._tasks = [
            asyncio.create_task(self._run_machine_list()),
            asyncio.create_task(self._run_engines()),
        ]

    async def stop(self) -> None:
        """Stop polling."""
        await cancel_all(*self._tasks)

    async def _run_machine_list(self) -> None:
        while True:
            listed = await self._read_machines()
            # If the list cannot be read, the view stays as it is.
            if isinstance(listed, Success):
                self._fleet.apply_machine_list(listed.unwrap())
            await asyncio.sleep(MACHINE_LIST_POLL_INTERVAL_S)

    async def _run_engines(self) -> None:
        for round_number in itertools.count():
            addresses = [
                address
                for position, address in enumerate(list(self._fleet.records))
                if self._is_due(address, round_number + position)
            ]
            await asyncio.gather(*(self._poll_engine(address) for address in addresses))
            await asyncio.sleep(ENGINE_POLL_INTERVAL_S)

    def _is_due(self, address: str, round_number: int) -> bool:
        """Whether an engine is polled in this round.

        New engines and those this node decides for are polled in every round, others in every
        ``OTHER_ENGINES_POLL_ROUNDS``-th.
        """
        record = self._fleet.records[address]
        if record.machine.kind != BackEndKind.ENGINE.value:
            return False
        is_new = record.engine is None
        return (
            is_new
            or round_number % OTHER_ENGINES_POLL_ROUNDS == 0
            or self._polls_every_round(record.machine)
        )

    async def _poll_engine(self, address: str) -> None:
        client = self._make_client(address)
        state, load, events = await asyncio.gather(
            client.read_state(),
            client.read_load(),
            client.read_cache_events(self._fleet.prefixes.next_sequence(address)),
        )
        self._fleet.apply_engine_state(address, state.value_or(None))
        if isinstance(load, Success):
            self._fleet.apply_load(address, load.unwrap())
        if isinstance(events, Success):
            self._fleet.prefixes.apply(address, events.unwrap())
