"""Node core: builds and connects the components of one node.

Network, configuration store, engines, workers and machine list are injected as
:class:`NodeDependencies`, so that the daemon and the benchmarks run the same code.
"""

import asyncio
import random
from collections.abc import Mapping
from typing import Any

from hollowrack.admission.controller import AdmissionController
from hollowrack.bundle.agent import BundleAgent, FetchBundle
from hollowrack.bundle.schema import Bundle
from hollowrack.bundle.store import BundleStore
from hollowrack.clients.config_store import ConfigStoreClient
from hollowrack.clients.machine_list import Machine
from hollowrack.clock import now_s
from hollowrack.engines.controller import (
    EngineController,
    engine_group,
)
from hollowrack.fleet_facts import FleetFacts, leaving_address
from hollowrack.group_kinds import make_state_machine, placement_of
from hollowrack.membership.messages import Digest, FullState, GossipMessage
from hollowrack.membership.service import MembershipService
from hollowrack.membership.types import Fact, Member
from hollowrack.messages.dispatch import Dispatcher
from hollowrack.node_dependencies import NodeDependencies, NodeIdentity
from hollowrack.observability.decisions import DecisionLog
from hollowrack.observability.metrics import NodeMetrics
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
from hollowrack.replication.messages import Envelope
from hollowrack.replication.repair import GroupRepair
from hollowrack.requests.answer_store import AnswerStore
from hollowrack.requests.at_most_once import AtMostOnceRunner, AttemptStatusRequest
from hollowrack.requests.gateway import Gateway, GatewayDependencies
from hollowrack.requests.generation import GenerationRunner
from hollowrack.requests.replicated_answers import FindAnswer, ReplicatedAnswers, StoreAnswer
from hollowrack.requests.retry_budget import RetryBudget
from hollowrack.requests.service_forwarder import ServiceForwarder
from hollowrack.results import value_or_raise
from hollowrack.rollout.coordinator import RolloutContext
from hollowrack.rollout.executor import (
    Assignment,
    ExecutorContext,
    RolloutExecutor,
    RunningSlotsReport,
)
from hollowrack.rollout.service import RunService
from hollowrack.rollout.trainer_messages import ReadRunStatus, ReadSamples
from hollowrack.routing.broker import (
    BrokeredPlacer,
    PlacementBroker,
    PlacementDone,
    PlacementReport,
    PlaceRequest,
)
from hollowrack.routing.fleet import FleetView
from hollowrack.routing.local_placer import LocalPlacer, PlacerDependencies
from hollowrack.routing.observer import FleetObserver
from hollowrack.settings.model import Limits
from hollowrack.tasks import cancel_all

DEFAULT_DRAIN_DEADLINE_S = 30.0
LEAVE_PROPAGATION_S = 0.5
REPLACEMENT_TIMEOUT_S = 5.0
PREPARE_CLAIMS_DELAY_S = 1.0
# No bound in practice: a broker is limited by the capacity of its zone.
MAX_BROKERED_REQUESTS = 1_000_000


class NodeCore:
    """Components of one node and their lifecycle.

    Args:
        identity: Name, zone and incarnation of the node, and its seeds.
        dependencies: Network and clients of the node, real or simulated.
        trusted_signers: Public keys of the bundle signers, in hex, by name.
        limits: Resource limits of the node.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        dependencies: NodeDependencies,
        trusted_signers: Mapping[str, str],
        limits: Limits,
    ) -> None:
        self.identity = identity
        self.address = ""
        self.decisions = DecisionLog()
        self.metrics = NodeMetrics()
        self.fleet = FleetView()
        self.is_draining = False
        self._dependencies = dependencies
        self._trusted_signers = trusted_signers
        self._limits = limits
        self._rng = random.Random(identity.seed)
        self._dispatcher = Dispatcher()
        self._prepare_task: asyncio.Task[None] | None = None

    # -- lifecycle --------------------------------------------------------------------------

    async def start(self) -> None:
        """Open the network, then build and start the components.

        Raises:
            ProblemError: ``ADDRESS_UNAVAILABLE`` if the node's address cannot be bound.
        """
        self.address = await self._dependencies.network.open(
            self._receive_datagram, self._dispatcher.handle
        )
        self._build_control_plane()
        self._build_placement()
        self._build_requests()
        self._build_rollout()
        self._register_messages()
        self.membership.start()
        self.host.start()
        self.repair.start()
        self.bundles.start()
        self.observer.start()
        self.admission.start()
        self.broker.start()
        self.placer.start()
        self.engines.start()
        self.runs.start()
        self.executor.start()
        self._prepare_task = asyncio.create_task(self._prepare_claim_groups())

    async def drain(self) -> None:
        """Announce the stop, reject new requests, finish running ones and hand over the groups."""
        self.is_draining = True
        self.gateway.is_stopping = True
        self.runs.is_stopping.set()
        self.membership.leave()
        await self.gateway.wait_idle(self._drain_deadline_s())
        await self.at_most_once.drain()
        await self.runs.stop()
        await self.executor.stop()
        await self.engines.stop()
        await self.admission.stop()
        self.host.resign()
        await asyncio.sleep(LEAVE_PROPAGATION_S)
        await self.repair.wait_until_replaced(REPLACEMENT_TIMEOUT_S)

    async def close(self) -> None:
        """Stop all components immediately; a graceful stop calls :meth:`drain` first."""
        await cancel_all(self._prepare_task)
        await self._dependencies.network.close()
        await self.membership.stop()
        await self.runs.stop()
        await self.executor.stop()
        await self.engines.stop()
        await self.admission.stop()
        await self.broker.stop()
        await self.placer.stop()
        await self.observer.stop()
        await self.bundles.stop()
        await self.repair.stop()
        await self.host.close()

    def _drain_deadline_s(self) -> float:
        bundle = self.bundles.bundle
        return bundle.drain_deadline_s if bundle is not None else DEFAULT_DRAIN_DEADLINE_S

    async def _prepare_claim_groups(self) -> None:
        # Group members are chosen among the known nodes; discovery takes a few exchanges.
        await asyncio.sleep(PREPARE_CLAIMS_DELAY_S)
        await self.at_most_once.prepare()

    def _receive_datagram(self, sender: str, message: GossipMessage) -> None:
        self.membership.receive(sender, message)

    # -- construction -----------------------------------------------------------------------

    def _build_control_plane(self) -> None:
        identity, dependencies = self.identity, self._dependencies
        own = Member(identity.node, identity.zone, self.address, identity.incarnation)
        self.membership = MembershipService(
            own, list(identity.seeds), dependencies.network, self._rng.getrandbits(32)
        )
        self.facts = FleetFacts(self.membership)
        self.membership.on_fact.append(self._on_fact)
        store = ConfigStoreClient(dependencies.store_call)
        self.bundle_store = BundleStore(store)
        self.bundles = BundleAgent(
            self.bundle_store, self.membership, self._trusted_signers, self.decisions, self._rng
        )
        self.bundles.on_applied.append(self._on_bundle)
        self._build_groups(GroupDirectory(store))
        self.observer = FleetObserver(
            self.fleet,
            dependencies.read_machines,
            dependencies.make_engine_client,
            self._is_responsible_for,
        )
        self.fleet.is_marked_leaving = self.facts.is_leaving
        self.engines = EngineController(
            identity.zone,
            self.host,
            self.groups,
            self.fleet,
            dependencies.make_engine_client,
            self.facts.target_version,
            self.decisions,
            self._num_nodes,
        )

    def _build_groups(self, directory: GroupDirectory) -> None:
        self.host = GroupHost(
            self.identity.node,
            self.identity.incarnation,
            self.membership,
            make_state_machine,
            self._dependencies.journals,
            seed=self._rng.getrandbits(32),
        )
        self.repair = GroupRepair(
            self.host, self.membership, directory, placement_of, self.decisions
        )
        self.groups = GroupClient(self.host, self.membership, directory, self.repair, placement_of)

    def _build_placement(self) -> None:
        parts = PlacerDependencies(
            self.identity.node, self.fleet, self._dependencies.chooser, self.decisions, self._rng
        )
        max_requests = self._limits.max_requests
        self.admission = AdmissionController(self.fleet.pool_load, self._num_nodes, max_requests)
        self.broker = PlacementBroker(
            parts,
            self.membership,
            lambda zone: AdmissionController(
                lambda pool: self.fleet.pool_load(pool, zone), lambda: 1, MAX_BROKERED_REQUESTS
            ),
        )
        self.local_placer = LocalPlacer(parts, self.admission)
        self.placer = BrokeredPlacer(parts, self.membership, self.broker, self.local_placer)

    def _build_requests(self) -> None:
        dependencies = self._dependencies
        self.retry_budget = RetryBudget()
        self.generations = GenerationRunner(
            self.placer, dependencies.make_engine_client, self.retry_budget, self.decisions
        )
        services = ServiceForwarder(self.local_placer, dependencies.services, self.retry_budget)
        self.at_most_once = AtMostOnceRunner(self.groups, self.membership, self.host.replica_id)
        self.answers = ReplicatedAnswers(
            self.identity.node, self.membership, AnswerStore(self._limits.max_answers)
        )
        self.gateway = Gateway(
            GatewayDependencies(
                self.identity.zone, self.generations, services, self.at_most_once, self.answers
            ),
            self._limits.max_requests,
        )

    def _build_rollout(self) -> None:
        # Rollouts have a separate retry budget: the coordinator retries failed slots anyway.
        runner = GenerationRunner(
            self.placer,
            self._dependencies.make_engine_client,
            RetryBudget(ratio=1.0),
            self.decisions,
        )
        self.executor = RolloutExecutor(
            ExecutorContext(
                node=self.identity.node,
                zone=self.identity.zone,
                runner=runner,
                groups=self.groups,
                links=self.membership,
                decisions=self.decisions,
                metrics=self.metrics,
                trainer_version=self.facts.trainer_version,
                on_local_report=self._receive_local_report,
            )
        )
        context = RolloutContext(
            node=self.identity.node,
            fleet=self.fleet,
            host=self.host,
            groups=self.groups,
            links=self.membership,
            executor=self.executor,
            decisions=self.decisions,
        )
        self.runs = RunService(
            self.identity.node,
            self.membership,
            context,
            self._training_room,
            self.facts.raise_version,
        )

    def _register_messages(self) -> None:
        on, on_sync = self._dispatcher.on, self._dispatcher.on_sync
        on_sync(Envelope, self.host.receive)
        on(ProposeRequest, self._handle_propose)
        on_sync(FindGroup, lambda request: self.host.describe(request.group))
        on_sync(JoinGroup, self._handle_join)
        on_sync(Digest, self.membership.answer_digest)
        on_sync(FullState, self.membership.answer_exchange)
        on_sync(FetchBundle, self.bundles.answer_fetch)
        on_sync(AttemptStatusRequest, self.at_most_once.attempt_status)
        on_sync(StoreAnswer, self.answers.receive_answer)
        on_sync(FindAnswer, self.answers.answer_find)
        on(ReadSamples, self.runs.answer)
        on(ReadRunStatus, self.runs.answer)
        on_sync(Assignment, self.executor.assign)
        on_sync(RunningSlotsReport, self.runs.receive_report)
        on(PlaceRequest, self.broker.answer_place)
        on_sync(PlacementDone, self.broker.receive_done)
        on_sync(PlacementReport, self.broker.receive_report)

    async def _handle_propose(self, request: ProposeRequest) -> ProposeAnswer:
        result = await self.host.propose(request.group, request.command)
        return ProposeAnswer(value_or_raise(result))

    def _handle_join(self, request: JoinGroup) -> Joined:
        self.host.join(request.group, request.membership)
        return Joined(self.host.replica_id)

    # -- callbacks --------------------------------------------------------------------------

    def _num_nodes(self) -> int:
        return sum(1 for member in self.membership.swim.members.values() if member.accepts_work)

    def _receive_local_report(self, report: RunningSlotsReport) -> None:
        # Resolved at call time: the run service is created after the executor.
        self.runs.receive_report(report)

    def _training_room(self, model: str) -> float:
        bundle = self.bundles.bundle
        if bundle is None or model not in bundle.models:
            return 0.0
        return bundle.models[model].training_room

    def _on_fact(self, fact: Fact) -> None:
        address = leaving_address(fact)
        if address is not None:
            self.fleet.mark_leaving(address)

    def _is_responsible_for(self, machine: Machine) -> bool:
        """Whether this node places requests on an engine or sends orders to it."""
        is_broker = self.placer.broker_of(machine.pool, machine.zone) == self.identity.node
        return is_broker or self.host.leads(engine_group(machine.zone))

    def _on_bundle(self, bundle: Bundle) -> None:
        self.gateway.bundle = bundle
        self.admission.set_weights(bundle.tenants)
        self.broker.set_weights(bundle.tenants)
        self.metrics.bundle_revision.set(bundle.revision)

    def mark_back_end_leaving(self, address: str) -> bool:
        """Mark a back end as leaving in the whole fleet; returns whether this node knows it."""
        if address not in self.fleet.records:
            return False
        self.facts.mark_leaving(address)
        return True

    def status(self) -> dict[str, Any]:
        """Return the node's status as JSON values, for the operators' API."""
        members = self.membership.swim.members.values()
        return {
            "node": self.identity.node,
            "zone": self.identity.zone,
            "is_draining": self.is_draining,
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
