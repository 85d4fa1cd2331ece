"""Node daemon: a node core with its sockets, HTTP clients and HTTP listeners."""

import asyncio
import uuid

import aiohttp
from absl import logging
from returns.result import Result
from starlette.applications import Starlette
from starlette.routing import Route

from hollowrack.api.callers import CallerApi
from hollowrack.api.operators import OperatorApi
from hollowrack.api.responses import internal_error_response
from hollowrack.api.server import HttpServer
from hollowrack.api.trainers import TrainerApi
from hollowrack.clients.config_store import HttpStoreCall
from hollowrack.clients.engine import EngineClient, HttpEngineClient
from hollowrack.clients.machine_list import Machine, read_machine_list
from hollowrack.clients.service import HttpServiceClient
from hollowrack.membership.network import SocketNetwork
from hollowrack.membership.types import Member
from hollowrack.node_core import NodeCore
from hollowrack.node_dependencies import NodeDependencies, NodeIdentity
from hollowrack.replication.journal import JournalFolder
from hollowrack.results import Problem, value_or_raise
from hollowrack.settings.load import read_cluster_key
from hollowrack.settings.model import NodeSettings

JOURNAL_FOLDER = "journals"
NO_CONNECTION_LIMIT = 0  # Admission bounds the number of streams.
_UNKNOWN_GENERATION = -1


class Node:
    """Node of the fleet that communicates over sockets and HTTP.

    Args:
        settings: Validated settings.
        seed: Seed of all random choices; ``None`` selects a random seed.

    Attributes:
        drained: Set when a graceful stop is complete.

    Raises:
        ProblemError: ``CLUSTER_KEY_INVALID``.
        OSError: If the data folder cannot be used.
    """

    def __init__(self, settings: NodeSettings, seed: int | None = None) -> None:
        self.settings = settings
        self.drained = asyncio.Event()
        self._seed = seed
        self._cluster_key = value_or_raise(read_cluster_key(settings.cluster_key_file))
        self._journals: JournalFolder | None = None
        if settings.data_dir is not None:
            self._journals = JournalFolder(settings.data_dir / JOURNAL_FOLDER)
        self._drain_task: asyncio.Task[None] | None = None

    # -- lifecycle --------------------------------------------------------------------------

    async def start(self) -> None:
        """Start the core, bind the listeners and serve requests.

        Raises:
            ProblemError: ``ADDRESS_UNAVAILABLE`` if a listener cannot be bound.
        """
        self._session = _session()
        self._fresh_session = _session(force_close=True)
        self.core = NodeCore(
            self._identity(),
            self._dependencies(),
            self.settings.trusted_signers,
            self.settings.limits,
        )
        try:
            await self.core.start()
            self._build_apis()
        except BaseException:
            await self._session.close()
            await self._fresh_session.close()
            raise
        await self.callers_server.start()
        await self.operators_server.start()
        logging.info("node %s listens on %s", self.settings.node, self.callers_server.address)

    async def stop(self) -> None:
        """Stop gracefully: drain the core, stop the listeners and close all connections."""
        await self.core.drain()
        await self.callers_server.stop()
        await self.operators_server.stop()
        await self._close()
        self.drained.set()

    async def kill(self) -> None:
        """Stop immediately without draining, to simulate a crash."""
        self.core.host.abandon()
        await self.callers_server.abort()
        await self.operators_server.abort()
        await self._close()

    def start_drain(self) -> None:
        """Start a graceful stop in the background, once."""
        if self._drain_task is None:
            self._drain_task = asyncio.create_task(self.stop())

    async def _close(self) -> None:
        await self.core.close()
        await self._session.close()
        await self._fresh_session.close()

    # -- construction -----------------------------------------------------------------------

    def _identity(self) -> NodeIdentity:
        settings = self.settings
        incarnation = uuid.uuid4().hex
        if self._journals is not None:
            incarnation = self._journals.incarnation
        seeds = tuple(
            Member(
                peer.node,
                peer.zone,
                peer.address,
                incarnation="",
                generation=_UNKNOWN_GENERATION,
            )
            for peer in settings.peers
            if peer.node != settings.node
        )
        return NodeIdentity(settings.node, settings.zone, incarnation, seeds, self._seed)

    def _dependencies(self) -> NodeDependencies:
        settings = self.settings
        return NodeDependencies(
            network=SocketNetwork(settings.node, settings.listeners.nodes, self._cluster_key),
            store_call=HttpStoreCall(self._session, settings.platform.config_store),
            read_machines=self._read_machines,
            make_engine_client=self._make_engine_client,
            services=HttpServiceClient(self._session, self._fresh_session),
            journals=self._journals,
        )

    async def _read_machines(self) -> Result[list[Machine], Problem]:
        return await read_machine_list(self._session, self.settings.platform.machine_list)

    def _make_engine_client(self, address: str) -> EngineClient:
        return HttpEngineClient(self._session, address)

    def _build_apis(self) -> None:
        settings, core = self.settings, self.core
        callers = CallerApi(core.gateway, core.metrics, settings.limits.max_body_bytes)
        trainers = TrainerApi(core.runs, settings.limits.max_body_bytes)
        operators = OperatorApi(
            core.bundles,
            core.bundle_store,
            settings.trusted_signers,
            core.decisions,
            core.metrics,
            core.status,
            self.start_drain,
            core.mark_back_end_leaving,
        )
        limits = settings.limits
        self.callers_server = HttpServer(
            _make_application([*callers.routes(), *trainers.routes()]),
            settings.listeners.callers,
            "listeners.callers",
            limits.max_connections,
            limits.request_read_timeout_s,
        )
        self.operators_server = HttpServer(
            _make_application(operators.routes()),
            settings.listeners.operators,
            "listeners.operators",
            limits.max_connections,
            limits.request_read_timeout_s,
        )


def _make_application(routes: list[Route]) -> Starlette:
    return Starlette(routes=routes, exception_handlers={Exception: internal_error_response})


def _session(force_close: bool = False) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=NO_CONNECTION_LIMIT, force_close=force_close)
    return aiohttp.ClientSession(connector=connector)
