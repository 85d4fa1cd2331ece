"""The edge node: a stateless node that forwards requests, runs jobs and may become the leader.

All durable state is kept in the coordination store, and all nodes are equal. The leader also sends
orders to workers and takes over jobs without an owner.
"""

import asyncio
import contextlib
import random

from absl import logging

from hollowrack.backoff import Backoff
from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.coordination.machine_retirement import MachineRetirement
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.relay import RelayingStore
from hollowrack.coordination.session import Session, new_owner_name
from hollowrack.coordination.shared_store import SharedStore, StoreAccess
from hollowrack.coordination.store import Committed, Put, StoredItem
from hollowrack.edge_connections import EdgeConnections
from hollowrack.evacuation.send_condition import EvacuationCondition
from hollowrack.evacuation.zones import EvacuatedZones
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.forwarder import Forwarder
from hollowrack.forwarding.kept_workers import KeptWorkers
from hollowrack.forwarding.load_log import LoadLog
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.send_guard import GuardedBackEnds
from hollowrack.forwarding.types import RoutingConfiguration, Worker
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.handover_schedule import HandoverSchedule
from hollowrack.jobs.host_role import HostRole, num_hosts_per_zone
from hollowrack.jobs.item_services import ItemServices
from hollowrack.jobs.job_log import JobLog, OpenJob
from hollowrack.jobs.job_reader import JobReader
from hollowrack.jobs.job_regions import JobRegions
from hollowrack.jobs.job_service import JobService
from hollowrack.jobs.live_state import (
    LEADER_KEY,
    LIVE_PREFIX,
    OWNERS_PREFIX,
    SUSPECTS_PREFIX,
    LiveState,
)
from hollowrack.jobs.placement import NodeEntry
from hollowrack.jobs.progress import ProgressLog
from hollowrack.jobs.relay_restriction import JobRelayRestriction
from hollowrack.jobs.restart_order import RestartOrder
from hollowrack.jobs.retention import JobRetention
from hollowrack.jobs.takeover import JobTakeover
from hollowrack.messages import codec
from hollowrack.node_duties import NodeDuties, usage_meter
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.quarantine.replicator import SuspectReplicator
from hollowrack.regions.conditions import RegionSendCondition
from hollowrack.slots.slot_sharing import SlotSharing
from hollowrack.stop_schedule import StopSchedule
from hollowrack.tasks import cancel_all
from hollowrack.usage.types import PushedCounts
from hollowrack.warmup.control import ColdWorkerControl, WarmupConnections
from hollowrack.weights.version_reconciler import VersionReconciler

LIVE_POLL_INTERVAL_S = 0.2
LIVE_WATCH_TIMEOUT_S = 5.0
# Age of a node's view from which it may lack changes that most other nodes know. With a sentinel,
# hosts reject sources whose view is older than 0.9 s, observers those older than 1.7 s.
MAX_VIEW_AGE_S = 2.5
# Without a sentinel, an idle watch of the live state makes the view that old.
MAX_VIEW_AGE_WITHOUT_SENTINEL_S = LIVE_WATCH_TIMEOUT_S + 1.5
REGISTER_RETRY_INTERVAL_S = 0.2
# CPU cores announced by a stopping process, so that it is assigned no further jobs.
NO_CORES = 0.0
ANNOUNCE_TIMEOUT_S = 0.5
INITIAL_ANNOUNCE_BACKOFF_S = 0.4
MAX_ANNOUNCE_BACKOFF_S = 1.0
# After a node of the own region failed to relay a store call, others are asked first for this long.
# Each further try costs a time-out, and a lease must be renewed within 2 s.
OTHER_REGION_FIRST_S = 10.0


class EdgeNode:
    """Creates, connects, starts and stops the components of a node.

    It is also the listener of the platform's feed.

    Args:
        name: Name of the node.
        zone: Name of the node's zone.
        handover_s: How long a new leader waits before it sends orders, in seconds.
        connections: Clients and settings for everything outside the process.
        rng: Source of all random choices.

    Attributes:
        owner: Name of this incarnation, unique across nodes and restarts.
        stop_schedule: Times of the planned stop; ``None`` before it.
        back_ends: Sends requests to workers, under the conditions of its list.
        topology: Regions of the zones.
        evacuated: The evacuated zones.
        kept_workers: Keeps workers whose entries expired during an outage of the store in use.
        store: The coordination store, with relaying through other nodes.
        feed_client: Sends watches to other nodes.
        usage: Counts the tenants' requests that workers began.
        leader_duties: Calls to the platform that the leader makes.
        quarantine: Blocks requests that repeatedly crash workers.
        slots: Shares the slots of workers with other nodes.
        cold_workers: Limits the requests to cold workers; ``None`` if they are not limited.
        relay_restriction: Decides which nodes may relay store calls about jobs.
        may_watch_feed: Set once the mirrors of the operators' and workers' keys may be started.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        handover_s: float,
        connections: EdgeConnections,
        rng: random.Random,
    ) -> None:
        self.name = name
        self._zone = zone
        self.owner = new_owner_name(name, rng)
        self.stop_schedule: StopSchedule | None = None
        store = RelayingStore(connections.store, connections.relay, self.neighbour_addresses, rng)
        store.direct_failure_listeners.append(self._restart_live_watch)
        self.store = store
        self.topology = connections.topology
        self.routes = RouteTable(lambda: self.configuration_age_s)
        self.workers = WorkerDirectory(zone, rng, self.topology)
        self.usage = usage_meter(self.owner, connections.usage)
        self.back_ends = GuardedBackEnds(connections.back_ends, RegionSendCondition(self.topology))
        self.evacuated = self._connect_evacuated_zones()
        self.kept_workers = self._connect_kept_workers(connections)
        self.quarantine = Quarantine(self.back_ends)
        self.forwarder = Forwarder(
            self.routes, self.workers, self.back_ends, self.usage, self.quarantine, rng
        )
        self.queue = DispatchQueue(self.workers)
        self._load_log = LoadLog(self.queue)
        self.session = Session(store, rng)
        self.leadership = Leadership(store, self.session, LEADER_KEY, self.owner, handover_s, rng)
        self._target_versions: dict[str, int] = {}
        self.services = ItemServices(
            self.routes,
            self.workers,
            self.back_ends,
            self.forwarder,
            self.queue,
            connections.read_version,
            self.quarantine,
        )
        log = JobLog(store, self.owner)
        progress = ProgressLog(store, self.owner)
        num_hosts = num_hosts_per_zone(connections.max_change_delay_s)
        self.live = LiveState(
            self.owner,
            zone,
            self.leadership,
            self._on_job_ended,
            self._on_job_owned,
            JobRegions(self.topology),
            None if num_hosts is None else RestartOrder(),
        )
        self.relay_restriction = store.restriction = JobRelayRestriction(self.live)
        self.jobs = JobService(
            log,
            progress,
            JobReader(store, log),
            self.services,
            connections.peer_jobs,
            self.peer_addresses,
            self.live,
            self.session,
        )
        self._address = connections.address
        self._seeds = connections.seeds
        self._max_change_delay_s = connections.max_change_delay_s
        self._num_cores = connections.num_cores
        self.feed_client = connections.feed
        self.shared_store = self._connect_shared_store(store)
        self._suspects = SuspectReplicator(
            SUSPECTS_PREFIX, store, self.quarantine.registry, self.leadership, rng
        )
        self._live_mirror = PrefixMirror(
            self.shared_store,
            LIVE_PREFIX,
            self._on_live_change,
            LIVE_POLL_INTERVAL_S,
            rng,
            LIVE_WATCH_TIMEOUT_S,
            has_sentinel=True,
        )
        self.may_watch_feed = self._feed_start_event(num_hosts is not None)
        self._host_role = HostRole(
            self.owner,
            self._entry,
            self.session,
            self.live,
            self._live_mirror.is_loaded,
            lambda: self.jobs.num_running > 0 or self.leadership.is_leader,
            lambda: self.leadership.was_last_leader,
            num_hosts,
            rng,
        )
        self._takeover = JobTakeover(
            log,
            progress,
            connections.peer_jobs,
            self.jobs,
            self.leadership,
            self.live,
            self._live_mirror.is_loaded,
        )
        self._retention = JobRetention(
            log, self.live, self.leadership, connections.ended_job_retention_s
        )
        self._version_reconciler = VersionReconciler(
            name,
            self.leadership,
            self.workers,
            self.routes.services,
            self._target_versions,
            connections.orders,
        )
        self.leader_duties = NodeDuties(
            name,
            self.owner,
            store,
            self.leadership,
            self.live,
            self.routes,
            self.workers,
            self.usage,
            self._may_lack_changes,
            connections.usage,
            connections.capacity,
        )
        self.slots = SlotSharing(
            self.owner,
            self.leadership,
            self.live,
            self.routes,
            self.workers,
            self.jobs,
            self.queue,
            connections.slots,
        )
        self.cold_workers = self._cold_worker_control(connections.warmup, rng)
        self._rng = rng
        self._retirement = MachineRetirement(self.leadership, connections.complete_retirement)
        self._handover_schedule = HandoverSchedule(0.0, 0.0, rng)
        self._is_stop_announced = False
        self._tasks: list[asyncio.Task[None]] = []

    def _connect_shared_store(self, store: RelayingStore) -> SharedStore:
        """Create the store whose watches other nodes may answer."""
        shared_store = SharedStore(store, self.feed_client, self._feed_sources, self._store_access)
        shared_store.source_listeners.append(self._restart_live_watch)
        shared_store.recovery_listeners.append(self._retry_live_mirror)
        store.direct_answer_listeners.append(self.kept_workers.record_store_answer)
        store.direct_call_failure_listeners.append(self.kept_workers.record_store_failure)
        shared_store.answer_listeners.append(self.kept_workers.record_store_answer)
        return shared_store

    def _connect_evacuated_zones(self) -> EvacuatedZones:
        """Create the set of evacuated zones and keep new requests from their workers."""
        zones = EvacuatedZones(self._num_workers_in)
        self.workers.evacuated_zones = zones.zones
        zones.on_change(self.workers.evacuated_zones_changed)
        condition = EvacuationCondition(zones)
        self.back_ends.conditions.append(condition)
        self.back_ends.probe_conditions.append(condition.allows_probe)
        return zones

    def _connect_kept_workers(self, connections: EdgeConnections) -> KeptWorkers:
        # The contact time is at least the drain time.
        contact_s = connections.contact_s or connections.max_change_delay_s
        kept_workers = KeptWorkers(self.workers, contact_s)
        self.workers.on_not_run(kept_workers.record_not_run)
        self.back_ends.conditions.append(kept_workers)
        return kept_workers

    def _feed_start_event(self, has_observers: bool) -> asyncio.Event:
        """Return the event that is set once the operators' and workers' keys may be watched."""
        if has_observers:
            # Observers watch other nodes, which must be known first.
            return self._live_mirror.is_loaded
        event = asyncio.Event()
        event.set()
        return event

    def _num_workers_in(self, zone: str) -> int:
        return sum(worker.zone == zone for worker in self.workers.all())

    def _cold_worker_control(
        self, connections: WarmupConnections | None, rng: random.Random
    ) -> ColdWorkerControl | None:
        if connections is None:
            return None
        control = ColdWorkerControl(
            self.owner,
            connections,
            self.leadership,
            self.live,
            self.routes,
            self.workers,
            self.queue,
            self.back_ends,
            rng,
        )
        self.forwarder.cold_admission = control.admission
        return control

    # -- lifecycle --------------------------------------------------------------------------

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts callers' requests."""
        return self.routes.version is not None and not self.is_stopping

    @property
    def configuration_age_s(self) -> float:
        """Time since the store last confirmed the known configuration, in seconds."""
        return now_s() - self.shared_store.last_answer_s(self.shared_store.sentinel_prefix)

    @property
    def is_configuration_stale(self) -> bool:
        """Whether the known configuration is older than the propagation limit of changes."""
        return self.configuration_age_s > self._max_change_delay_s

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stop_schedule is not None

    def _may_lack_changes(self) -> bool:
        """Whether this node's view may lack changes that most other nodes know."""
        if self.session.is_held and not self.session.is_valid:
            return True
        has_sentinel = self.shared_store.sentinel_prefix is not None
        max_age_s = MAX_VIEW_AGE_S if has_sentinel else MAX_VIEW_AGE_WITHOUT_SENTINEL_S
        return self.configuration_age_s > max_age_s

    def start(self) -> None:
        """Start all components."""
        self._host_role.start()
        self._live_mirror.start()
        self.leadership.start()
        self._takeover.start()
        self._retention.start()
        self._retirement.start()
        self._version_reconciler.start()
        self.leader_duties.start()
        self._suspects.start()
        self.slots.start()
        if self.cold_workers is not None:
            self.cold_workers.start()
        self._tasks = [
            asyncio.create_task(self._keep_registered()),
            asyncio.create_task(self._load_leader_key()),
            asyncio.create_task(self._load_log.run()),
        ]

    async def begin_stop(self, grace_s: float, requested_s: float | None = None) -> StopSchedule:
        """Begin a planned stop: report not ready, resign, and wait for callers to switch nodes.

        Owned jobs go on; :meth:`complete_stop` drains them.

        Args:
            grace_s: Time from the request to stop until the process is killed, in seconds; less
                than half of it is used.
            requested_s: Time of the request, on the loop's clock; ``None`` for now.

        Returns:
            The times of the stop.
        """
        started_s = now_s() if requested_s is None else requested_s
        schedule = self.stop_schedule = StopSchedule(started_s, grace_s)
        logging.info("stopping: %d jobs running", self.jobs.num_running)
        self.jobs.stop_accepting()
        self._num_cores = NO_CORES
        await self._host_role.stop()
        await self._version_reconciler.stop()
        await self.leader_duties.stop_calls()
        await self._takeover.stop()
        await self._retention.stop()
        await self._retirement.stop()
        self.jobs.pass_on_unstarted()
        # A store that does not answer must not delay the drain and the end of the process.
        announced_by_s = max(schedule.listen_until_s, started_s + ANNOUNCE_TIMEOUT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(announced_by_s):
                await self.leadership.resign()
                await self._announce_stop()
        if not self._is_stop_announced and self.session.is_held:
            self._tasks.append(asyncio.create_task(self._keep_announcing()))
        await asyncio.sleep(max(0.0, schedule.listen_until_s - now_s()))
        self._handover_schedule = HandoverSchedule(started_s, grace_s, self._rng)
        return schedule

    async def complete_stop(self) -> None:
        """Complete a planned stop: drain owned jobs until their deadline, then hand them over.

        The process releases the jobs before the end of the grace period, whatever the store does.
        """
        schedule = self._handover_schedule
        await self.jobs.drain(schedule.drain_deadline_s - now_s())
        handover = await self.jobs.hand_over(schedule)
        # The last counts are pushed while the handover is retried, so that they are not delayed.
        await asyncio.gather(handover.complete(), self.leader_duties.stop())
        await self.jobs.stop()
        await self._suspects.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(schedule.release_deadline_s):
                await self.slots.stop()
        await self._stop_cold_workers()
        await cancel_all(*self._tasks)
        await self._live_mirror.stop()
        # If the call fails, the lease expires.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(schedule.timeout_s(now_s())):
                await self.session.stop()

    async def abandon(self) -> None:
        """Stop at once, as in a crash; for tests."""
        await self._host_role.stop()
        await self._version_reconciler.stop()
        await self.leader_duties.abandon()
        await self._suspects.stop()
        await self.slots.abandon()
        await self._stop_cold_workers()
        await self._takeover.stop()
        await self._retention.stop()
        await self._retirement.stop()
        await self.leadership.stop()
        await self.jobs.stop()
        await cancel_all(*self._tasks)
        await self._live_mirror.stop()
        await self.session.abandon()

    async def _stop_cold_workers(self) -> None:
        if self.cold_workers is not None:
            await self.cold_workers.stop()

    def peer_addresses(self) -> list[str]:
        """Return the addresses of other nodes: the leader's first, the others shuffled.

        With several regions, nodes of the own region come first, see ``near_peers_first``.
        """
        leader = self.live.leader_address()
        rest = [address for address in self.live.peer_addresses() if address != leader]
        self._rng.shuffle(rest)
        addresses = [leader, *rest] if leader is not None else rest
        return self.live.near_peers_first(addresses)

    def shared_mirrors(self) -> dict[str, PrefixMirror]:
        """Return the mirrors that answer other nodes' watches, by prefix."""
        return {LIVE_PREFIX: self._live_mirror}

    # -- listener of the feed ---------------------------------------------------------------

    def configuration_changed(self, configuration: RoutingConfiguration) -> None:
        """Apply a configuration."""
        self.routes.apply(configuration)
        self.queue.refresh_conditions()

    def worker_changed(self, worker: Worker) -> None:
        """Add or update a worker."""
        self.kept_workers.record_entry(worker)
        if self.cold_workers is not None:
            self.cold_workers.record_entry(worker, self.workers.get(worker.id))
        self.workers.update(worker)

    def worker_entry_removed(self, worker_id: str) -> None:
        """Remove a worker, or keep it if its entry may have expired during an outage."""
        until_s = self.kept_workers.keep(worker_id)
        if until_s is None:
            self.worker_removed(worker_id)
        else:
            loop = asyncio.get_running_loop()
            loop.call_at(until_s, self._remove_kept_workers, until_s)

    def _remove_kept_workers(self, until_s: float) -> None:
        for worker_id in self.kept_workers.end_until(until_s):
            self.worker_removed(worker_id)

    def worker_removed(self, worker_id: str) -> None:
        """Remove a worker."""
        self.kept_workers.record_unreadable(worker_id)
        worker = self.workers.get(worker_id)
        self.workers.remove(worker_id)
        if worker is None or self.workers.are_all_evacuated(worker.service):
            return
        if not self.workers.serving(worker.service):
            logging.warning(
                "worker %s: entry removed, and no others of service %s are known",
                worker_id,
                worker.service,
            )

    def target_version_changed(self, model: str, version: int) -> None:
        """Record the target weight version of a model; a lower version than known is ignored."""
        self._target_versions[model] = max(version, self._target_versions.get(model, 0))

    def retirement_requested(self, machine: str) -> None:
        """Record that the operators want to retire a machine."""
        self._retirement.request(machine)

    def zone_evacuated(self, zone: str) -> None:
        """Keep new requests from a zone's workers."""
        self.evacuated.evacuate(zone)

    def evacuation_lifted(self, zone: str) -> None:
        """Send requests to a zone's workers again."""
        self.evacuated.lift(zone)

    def receive_usage(self, pushed: PushedCounts) -> None:
        """Merge usage counts from another node."""
        self.usage.receive(pushed, self.live.leader())

    def watch_interrupted(self) -> None:
        """List again, as watches may have missed changes."""
        self._live_mirror.relist()

    # -- loops ------------------------------------------------------------------------------

    async def _keep_registered(self) -> None:
        """Keep this node's entry in the store under the current session."""
        registered_lease: int | None = None
        while True:
            changed = self.session.changed
            lease = self.session.lease
            if lease is None or lease == registered_lease:
                await changed.wait()
            elif await self._register(lease):
                registered_lease = lease
            else:
                await asyncio.sleep(REGISTER_RETRY_INTERVAL_S)

    async def _announce_stop(self) -> None:
        """Announce that this node takes no further jobs, if the store answers in time."""
        if self.session.lease is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                self._is_stop_announced = await self._register(self.session.lease)

    async def _keep_announcing(self) -> None:
        """Announce the stop until the store has certainly recorded it."""
        backoff = Backoff(INITIAL_ANNOUNCE_BACKOFF_S, MAX_ANNOUNCE_BACKOFF_S, self._rng)
        while not self._is_stop_announced:
            await asyncio.sleep(backoff.next_delay_s())
            if self.session.lease is not None:
                self._is_stop_announced = await self._register(self.session.lease)

    async def _register(self, lease: int) -> bool:
        """Write this node's entry; returns whether that certainly succeeded."""
        put = Put(OWNERS_PREFIX + self.owner, codec.encode(self._entry()), lease)
        outcome = await self.store.transact([], [put])
        return isinstance(outcome, Committed)

    def _entry(self) -> NodeEntry:
        """This node's entry in the store."""
        return NodeEntry(self._address, self._num_cores, self._zone)

    async def _load_leader_key(self) -> None:
        """Read the leader key after the first listing; the mirror does not report an absent key."""
        await self._live_mirror.is_loaded.wait()
        self.leadership.update_leader_key(self._live_mirror.items.get(LEADER_KEY))

    # -- mirrors ----------------------------------------------------------------------------

    def _feed_sources(self) -> list[str]:
        """Addresses to send watches to: the leader's, or hosts' if this node has no session."""
        if not self.session.is_held:
            return self.live.observer_sources()
        leader = self.live.leader_address()
        return [] if leader is None else [leader]

    def neighbour_addresses(self) -> list[str]:
        """Return the addresses of other nodes, shuffled; seeds if no node is known.

        With several regions, nodes of the own region come first. While one of them fails to relay
        store calls, those of other regions do: the own region may have no way to the store.
        """
        addresses = self.live.peer_addresses() or [
            seed for seed in self._seeds if seed != self._address
        ]
        self._rng.shuffle(addresses)
        if not self.live.distances.has_other_regions:
            return addresses
        ordered = self.live.near_peers_first(addresses, num_first=1)
        far = [address for address in ordered if self.live.is_in_other_region(address)]
        near = [address for address in ordered if address not in far]
        if any(self.store.has_failed(address, OTHER_REGION_FIRST_S) for address in near):
            return [*far, *near]
        return ordered

    def _store_access(self) -> StoreAccess:
        if self.leadership.is_leader:
            return StoreAccess.LEADER
        return StoreAccess.FOLLOWER if self.session.is_held else StoreAccess.OBSERVER

    def _on_live_change(self, key: str, item: StoredItem | None) -> None:
        if not self.leader_duties.apply_change(key, item) and not self._suspects.apply_change(
            key, item
        ):
            self.live.apply_change(key, item)

    def _retry_live_mirror(self) -> None:
        self._live_mirror.retry_now()

    def _restart_live_watch(self) -> None:
        self._live_mirror.restart_watch()

    def _on_job_owned(self, job: OpenJob) -> None:
        if job.owner != self.owner:
            self.jobs.receive_owner_change(job)
        elif self.is_stopping:
            self.jobs.pass_on_unstarted()

    def _on_job_ended(self, job_id: str) -> None:
        self.jobs.receive_job_end(job_id)
