"""One node: builds its parts, connects them, starts and stops them in order."""

import asyncio
import random
import uuid
from typing import Any

import aiohttp
from absl import logging
from starlette.applications import Starlette

from hollowrack.admission.controller import AdmissionController
from hollowrack.api.callers import CallersFace
from hollowrack.api.operators import OperatorsFace
from hollowrack.api.server import HttpServer
from hollowrack.api.trainers import TrainersFace
from hollowrack.bundle.agent import BundleAgent, FetchBundle
from hollowrack.bundle.schema import Bundle
from hollowrack.bundle.store import BundleStore
from hollowrack.clock import now_s
from hollowrack.engines.controller import EngineController, NoState, zone_of_group
from hollowrack.membership.messages import Digest, Exchange
from hollowrack.membership.service import MembershipService
from hollowrack.membership.types import Fact, Member
from hollowrack.messages.dispatch import Dispatcher
from hollowrack.messages.transport import PeerServer
from hollowrack.observability.decisions import DecisionLog
from hollowrack.observability.metrics import NodeMetrics
from hollowrack.platform.config_store import ConfigStoreClient
from hollowrack.platform.engine import EngineClient, HttpEngineClient
from hollowrack.replication.client import GroupClient
from hollowrack.replication.directory import GroupDirectory
from hollowrack.replication.group_messages import (
    FindGroup,
    Joined,
    JoinGroup,
    ProposeAnswer,
    ProposeRequest,
)
from hollowrack.replication.host import GroupHost
from hollowrack.replication.journal import JournalFolder
from hollowrack.replication.messages import Envelope
from hollowrack.replication.placement import GroupPlacement
from hollowrack.replication.repair import GroupRepair
from hollowrack.replication.types import StateMachine
from hollowrack.requests.answers import AnswerStore
from hollowrack.requests.budget import RetryBudget
from hollowrack.requests.claims import RequestClaims
from hollowrack.requests.forwarding import ServiceForwarder
from hollowrack.requests.gateway import Gateway, GatewayParts
from hollowrack.requests.generation import GenerationRunner
from hollowrack.requests.home_answers import FindAnswer, HomeAnswers, KeepAnswer
from hollowrack.requests.unsafe import CLAIM_GROUP_PREFIX, AskAttempt, UnsafeRequests
from hollowrack.results import ProblemError, value_or_raise
from hollowrack.rollout.coordinator import RolloutContext
from hollowrack.rollout.groups import RUN_GROUP_PREFIX
from hollowrack.rollout.ledger import SampleLedger
from hollowrack.rollout.service import RunService
from hollowrack.rollout.trainer_messages import ReadRunStatus, ReadSamples
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.observer import FleetObserver
from hollowrack.settings.load import read_cluster_key
from hollowrack.settings.model import NodeSettings, split_address

DEFAULT_DRAIN_DEADLINE_S = 30.0
LEAVE_SPREAD_S = 0.5
REPLACED_TIMEOUT_S = 5.0
PREPARE_CLAIMS_AFTER_S = 1.0
JOURNAL_FOLDER = "journals"
WEIGHT_FACT_PREFIX = "weights/"
LEAVING_FACT_PREFIX = "leaving/"
MAX_ENGINE_CONNECTIONS = 0  # aiohttp's "no limit": admission bounds the number of streams.


def make_state_machine(group: str) -> StateMachine:
    """Return the initial state of a group by the prefix of its name."""
    if group.startswith(RUN_GROUP_PREFIX):
        return SampleLedger()
    if group.startswith(CLAIM_GROUP_PREFIX):
        return RequestClaims()
    if zone_of_group(group) is not None:
        return NoState()
    raise ValueError(f"group {group!r} has no state machine")


def placement_of(group: str) -> GroupPlacement:
    """Return how a group wants to be placed.

    What cannot be rebuilt (samples, claims) is kept five times and survives two losses at once. A
    zone's engine group holds nothing but its leadership and stays near its engines.
    """
    zone = zone_of_group(group)
    if zone is not None:
        return GroupPlacement(num_replicas=3, preferred_zone=zone)
    return GroupPlacement(num_replicas=5)


class Node:
    """One node of the fleet.

    Args:
        settings: Checked settings.
        seed: Seed of all random choices; ``None`` draws one.
    """

    def __init__(self, settings: NodeSettings, seed: int | None = None) -> None:
        self.settings = settings
        self.decisions = DecisionLog()
        self.metrics = NodeMetrics()
        self.fleet = FleetView()
        self._rng = random.Random(seed)
        self._cluster_key = value_or_raise(read_cluster_key(settings.cluster_key_file))
        self._journals: JournalFolder | None = None
        if settings.data_dir is not None:
            self._journals = JournalFolder(settings.data_dir / JOURNAL_FOLDER)
        self._incarnation = uuid.uuid4().hex
        if self._journals is not None:
            self._incarnation = self._journals.incarnation
        self._dispatcher = Dispatcher()
        self._is_draining = False
        self.drained = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None

    # -- life -------------------------------------------------------------------------------

    async def start(self) -> None:
        """Bind the listeners, build the parts and start them.

        Raises:
            ProblemError: ``ADDRESS_UNAVAILABLE`` if a listener cannot be bound.
        """
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=MAX_ENGINE_CONNECTIONS)
        )
        self._fresh_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=MAX_ENGINE_CONNECTIONS, force_close=True)
        )
        try:
            await self._start_parts()
        except ProblemError:
            await self._session.close()
            await self._fresh_session.close()
            raise

    async def _start_parts(self) -> None:
        host, port = split_address(self.settings.listeners.nodes)
        self._peer_server = PeerServer(self._cluster_key, self._dispatcher.handle)
        bound_port = await self._peer_server.start(host, port)
        self.node_address = f"{host}:{bound_port}"
        self._build_control(self.node_address)
        self._build_requests()
        self._build_rollout()
        self._build_faces()
        self._register_messages()
        await self.membership.start()
        self.host.start()
        self.repair.start()
        self.bundles.start()
        self.observer.start()
        self.admission.start()
        self.engines.start()
        self.runs.start()
        self._prepare_task = asyncio.create_task(self._prepare_claims())
        await self.callers_server.start()
        await self.operators_server.start()
        logging.info("node %s listens on %s", self.settings.node, self.callers_server.address)

    async def stop(self) -> None:
        """Planned stop: announce, refuse new work, finish what runs, hand leaderships over."""
        self._is_draining = True
        self.gateway.is_stopping = True
        self.runs.is_stopping.set()
        self.membership.leave()
        await self.gateway.wait_idle(self._drain_deadline_s())
        await self.unsafe.drain()
        await self.runs.stop()
        await self.engines.stop()
        await self.admission.stop()
        self.host.resign()
        await asyncio.sleep(LEAVE_SPREAD_S)
        await self.repair.wait_until_replaced(REPLACED_TIMEOUT_S)
        await self.callers_server.stop()
        await self.operators_server.stop()
        await self._close()
        self.drained.set()

    async def kill(self) -> None:
        """Stop at once, as a crash would; for tests and the demonstration."""
        await self._peer_server.stop()
        await self.membership.stop()
        await self.runs.stop()
        await self.engines.stop()
        await self.admission.stop()
        self.host.abandon()
        await self.callers_server.abort()
        await self.operators_server.abort()
        await self._close()

    async def _prepare_claims(self) -> None:
        # Members are chosen among the nodes known by then, so the first full exchanges come first.
        await asyncio.sleep(PREPARE_CLAIMS_AFTER_S)
        await self.unsafe.prepare()

    async def _close(self) -> None:
        self._prepare_task.cancel()
        await asyncio.gather(self._prepare_task, return_exceptions=True)
        await self.observer.stop()
        await self.bundles.stop()
        await self.repair.stop()
        await self.host.close()
        await self.membership.stop()
        await self._peer_server.stop()
        await self._session.close()
        await self._fresh_session.close()

    def start_drain(self) -> None:
        """Start a planned stop in the background."""
        if self._drain_task is None:
            self._drain_task = asyncio.create_task(self.stop())

    def _drain_deadline_s(self) -> float:
        bundle = self.bundles.bundle
        return bundle.drain_deadline_s if bundle is not None else DEFAULT_DRAIN_DEADLINE_S

    # -- building ---------------------------------------------------------------------------

    def _build_control(self, node_address: str) -> None:
        settings = self.settings
        own = Member(settings.node, settings.zone, node_address, self._incarnation)
        seeds = [
            Member(peer.node, peer.zone, peer.address, incarnation="", generation=-1)
            for peer in settings.peers
            if peer.node != settings.node
        ]
        seed = self._rng.getrandbits(32)
        self.membership = MembershipService(own, seeds, self._cluster_key, seed)
        self.membership.on_fact.append(self._on_fact)
        store = ConfigStoreClient(self._session, settings.platform.config_store)
        self.host = GroupHost(
            settings.node,
            self._incarnation,
            self.membership,
            make_state_machine,
            self._journals,
            seed=self._rng.getrandbits(32),
        )
        directory = GroupDirectory(store)
        self.repair = GroupRepair(
            self.host, self.membership, directory, placement_of, self.decisions
        )
        self.groups = GroupClient(self.host, self.membership, directory, self.repair, placement_of)
        self.bundle_store = BundleStore(store)
        self.bundles = BundleAgent(
            self.bundle_store,
            self.membership,
            settings.trusted_signers,
            self.decisions,
            self._rng,
        )
        self.bundles.on_applied.append(self._on_bundle)
        self.observer = FleetObserver(
            self.fleet, self._session, settings.platform.machine_list, self._engine_client
        )
        self.engines = EngineController(
            settings.zone,
            self.host,
            self.groups,
            self.fleet,
            self._engine_client,
            self._target_version,
            self.decisions,
        )

    def _build_requests(self) -> None:
        settings = self.settings
        budget = RetryBudget()
        self.admission = AdmissionController(self.fleet.live_capacity, settings.limits.max_requests)
        self.generations = GenerationRunner(
            self.fleet, self._engine_client, budget, self.decisions, self._rng
        )
        services = ServiceForwarder(
            self.fleet, self._session, self._fresh_session, budget, self.decisions, self._rng
        )
        self.unsafe = UnsafeRequests(self.groups, self.membership, self.host.replica_id)
        self.answers = HomeAnswers(
            settings.node, self.membership, AnswerStore(settings.limits.max_answers)
        )
        self.gateway = Gateway(
            GatewayParts(
                settings.zone,
                self.admission,
                self.generations,
                services,
                self.unsafe,
                self.answers,
            )
        )

    def _build_rollout(self) -> None:
        # Rollouts have a budget of their own: the coordinator starts failed slots again anyway.
        runner = GenerationRunner(
            self.fleet, self._engine_client, RetryBudget(share=1.0), self.decisions, self._rng
        )
        context = RolloutContext(
            self.settings.zone,
            runner,
            self.fleet,
            self.host,
            self.groups,
            self.decisions,
            self.metrics,
        )
        self.runs = RunService(
            self.settings.node, self.membership, context, self._training_room, self._on_version
        )

    def _build_faces(self) -> None:
        settings = self.settings
        callers = CallersFace(self.gateway, self.metrics, settings.limits.max_body_bytes)
        trainers = TrainersFace(self.runs, settings.limits.max_body_bytes)
        operators = OperatorsFace(
            self.bundles,
            self.bundle_store,
            settings.trusted_signers,
            self.decisions,
            self.metrics,
            self.status,
            self.start_drain,
        )
        max_connections = settings.limits.max_connections
        self.callers_server = HttpServer(
            Starlette(routes=[*callers.routes(), *trainers.routes()]),
            settings.listeners.callers,
            "listeners.callers",
            max_connections,
        )
        self.operators_server = HttpServer(
            Starlette(routes=operators.routes()),
            settings.listeners.operators,
            "listeners.operators",
            max_connections,
        )

    def _register_messages(self) -> None:
        on, on_sync = self._dispatcher.on, self._dispatcher.on_sync
        on_sync(Envelope, self.host.receive)
        on(ProposeRequest, self._answer_propose)
        on_sync(FindGroup, lambda request: self.host.describe(request.group))
        on_sync(JoinGroup, self._answer_join)
        on_sync(Digest, self.membership.answer_digest)
        on_sync(Exchange, self.membership.answer_exchange)
        on_sync(FetchBundle, self.bundles.answer_fetch)
        on_sync(AskAttempt, self.unsafe.answer_ask)
        on_sync(KeepAnswer, self.answers.answer_keep)
        on_sync(FindAnswer, self.answers.answer_find)
        on(ReadSamples, self.runs.answer)
        on(ReadRunStatus, self.runs.answer)

    async def _answer_propose(self, request: ProposeRequest) -> ProposeAnswer:
        result = await self.host.propose(request.group, request.command)
        return ProposeAnswer(value_or_raise(result))

    def _answer_join(self, request: JoinGroup) -> Joined:
        self.host.join(request.group, request.membership)
        return Joined(self.host.replica_id)

    # -- glue -------------------------------------------------------------------------------

    def _engine_client(self, address: str) -> EngineClient:
        return HttpEngineClient(self._session, address)

    def _target_version(self, model: str) -> int | None:
        return self.membership.swim.facts.get(WEIGHT_FACT_PREFIX + model)

    def _on_version(self, model: str, version: int) -> None:
        self.membership.raise_fact(WEIGHT_FACT_PREFIX + model, version)

    def _training_room(self, model: str) -> float:
        bundle = self.bundles.bundle
        if bundle is None or model not in bundle.models:
            return 0.0
        return bundle.models[model].training_room

    def _on_fact(self, fact: Fact) -> None:
        if fact.name.startswith(LEAVING_FACT_PREFIX):
            self.fleet.mark_leaving(fact.name.removeprefix(LEAVING_FACT_PREFIX))

    def _on_bundle(self, bundle: Bundle) -> None:
        self.gateway.bundle = bundle
        self.admission.set_weights(bundle.tenants)
        self.metrics.bundle_revision.set(bundle.revision)

    def status(self) -> dict[str, Any]:
        """Return the node's status for operators."""
        members = self.membership.swim.members.values()
        return {
            "node": self.settings.node,
            "zone": self.settings.zone,
            "is_draining": self._is_draining,
            "bundle_revision": self.bundles.revision,
            "requests_in_progress": self.gateway.num_in_progress,
            "members": {member.node: member.status.name for member in members},
            "back_ends": {
                back_end.address: {
                    "pool": back_end.pool,
                    "zone": back_end.zone,
                    "status": back_end.status.value,
                    "weight_version": back_end.weight_version,
                    "estimated_load": back_end.estimated_load,
                }
                for back_end in self.fleet.snapshot(now_s())
            },
            "groups": {
                group: hosted.replica.role.name for group, hosted in self.host.groups.items()
            },
        }
