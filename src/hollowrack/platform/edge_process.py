"""Process of an edge node: wires the node to the platform and its listening sockets."""

import asyncio
import gc
import random
import signal

from absl import logging
from starlette.applications import Starlette

from hollowrack.api.server import HttpServer
from hollowrack.clock import now_s
from hollowrack.coordination.feed_http import HttpFeedClient, feed_routes
from hollowrack.coordination.relay_http import HttpRelayClient, relay_routes
from hollowrack.coordination.store import Committed, Put
from hollowrack.edge_connections import EdgeConnections, UsageConnections
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.stream_forwarder import StreamForwarder
from hollowrack.jobs.peer_jobs import HttpPeerJobs, peer_routes
from hollowrack.observability.edge_metrics import EdgeCounters, metrics_routes
from hollowrack.platform import names
from hollowrack.platform.configuration import retirement_status
from hollowrack.platform.duty_client import PlatformDutyClient
from hollowrack.platform.http_session import client_session
from hollowrack.platform.ingress import IngressApp, ReadinessApp
from hollowrack.platform.settings import (
    MS_PER_S,
    Bounds,
    ProcessSettings,
    read_process_settings,
)
from hollowrack.platform.store_client import PlatformStore
from hollowrack.platform.store_feed import make_mirror_feed, make_platform_feed
from hollowrack.platform.worker_client import (
    PlatformWorkers,
    announced_version,
    worker_session,
)
from hollowrack.regions.topology import RegionTopology
from hollowrack.slots.peer_http import HttpSlotPeers, slot_routes
from hollowrack.suspension import SuspensionMonitor
from hollowrack.tasks import cancel_all
from hollowrack.usage.peer_http import HttpUsagePeers, usage_routes
from hollowrack.warmup.control import WarmupConnections
from hollowrack.warmup.peer_http import HttpPermitPeers, permit_routes

MAX_CONNECTIONS = 3000
# Ended jobs are retained for this multiple of the time for which results can be requested.
JOB_RETENTION_FACTOR = 2.0
READ_TIMEOUT_S = 40.0
IDLE_TIMEOUT_S = 60.0
STORE_CALL_LOG_INTERVAL_S = 10.0
# Time for the last request accepted before a revocation to reach a worker.
KEY_REVOCATION_MARGIN_S = 0.5


def max_configuration_age_s(bounds: Bounds) -> float | None:
    """Return the maximum age of the configuration at which keys are accepted.

    ``None`` means any age.
    """
    if not bounds.refuses_unsure_keys:
        return None
    return bounds.revoke_ms / MS_PER_S - KEY_REVOCATION_MARGIN_S


class EdgeProcess:
    """An edge node with its listening sockets and HTTP sessions.

    Args:
        settings: Settings from the platform's file.
        seed: Seed of the random generator; ``None`` for a random one.

    Attributes:
        node: The edge node; created by :meth:`start`.
        stopped: Set after a graceful stop.
    """

    def __init__(self, settings: ProcessSettings, seed: int | None = None) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self.stopped = asyncio.Event()
        self._is_started = asyncio.Event()
        self._stop_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind the sockets and start the node.

        Raises:
            ProblemError: ``ADDRESS_UNAVAILABLE`` if a socket cannot be bound.
        """
        settings = self._settings
        self._sessions = [
            client_session(),
            worker_session(),
            worker_session(force_close=True),
            client_session(),
            client_session(),
        ]
        store = PlatformStore(self._sessions[0], settings.platform.address)
        workers = PlatformWorkers(self._sessions[1], self._sessions[2])
        contact_ms = settings.bounds.contact_ms
        self.node = EdgeNode(
            settings.node_name,
            settings.zone,
            settings.bounds.lease_ms / MS_PER_S,
            EdgeConnections(
                store,
                workers,
                workers,
                announced_version,
                self._complete_retirement,
                HttpPeerJobs(self._sessions[3]),
                HttpFeedClient(self._sessions[3]),
                HttpRelayClient(self._sessions[3]),
                settings.listen.control_plane,
                settings.limits.cpu_shares * settings.limits.cores,
                JOB_RETENTION_FACTOR * settings.bounds.status_s,
                min(settings.bounds.config_apply_ms, settings.bounds.drain_ms) / MS_PER_S,
                settings.seeds,
                self._usage_connections(),
                self._duty_client(names.DUTY_CAPACITY),
                HttpSlotPeers(self._sessions[3]) if settings.shares_slots else None,
                RegionTopology(settings.zones, settings.zone, settings.region),
                self._warmup_connections(),
                None if contact_ms is None else contact_ms / MS_PER_S,
            ),
            self._rng,
        )
        cold_workers = self.node.cold_workers
        if cold_workers is not None:
            workers.on_cold_time = cold_workers.record_answer
        self._feed = make_platform_feed(self.node, self._rng)
        mirror_feed = make_mirror_feed(self.node, self._feed)
        counts = EdgeCounters(
            store_calls=store.num_calls, unreadable_entries=self._feed.unreadable.num_by_prefix
        )
        streams = StreamForwarder(
            self.node.routes,
            self.node.workers,
            self.node.back_ends,
            self.node.queue,
            announced_version,
            self.node.usage,
            self.node.quarantine,
        )
        streams.cold_admission = self.node.forwarder.cold_admission
        self._frontend = HttpServer(
            IngressApp(
                self.node, streams, counts.answers, max_configuration_age_s(settings.bounds)
            ),
            settings.listen.frontend,
            "listen.frontend",
            MAX_CONNECTIONS,
            READ_TIMEOUT_S,
            IDLE_TIMEOUT_S,
        )
        self._readiness = HttpServer(
            ReadinessApp(self.node), settings.listen.readiness, "listen.readiness", MAX_CONNECTIONS
        )
        self._store = store
        self._store_call_log_task = asyncio.create_task(self._log_store_calls())
        self._suspension_monitor = SuspensionMonitor(counts.add_suspended)
        self._suspension_monitor.start()
        self._peers: HttpServer | None = None
        if settings.listen.control_plane:
            jobs = self.node.jobs
            routes = [
                *feed_routes(mirror_feed),
                *relay_routes(store, self.node.relay_restriction.permits_here),
                *peer_routes(jobs.submit_here, jobs.answer_peer, jobs.remainder),
                *usage_routes(self.node.receive_usage),
                *slot_routes(self.node.slots.answer),
                *([] if cold_workers is None else permit_routes(cold_workers.answer)),
                *metrics_routes(self.node, counts),
            ]
            self._peers = HttpServer(
                Starlette(routes=routes),
                settings.listen.control_plane,
                "listen.control-plane",
                MAX_CONNECTIONS,
            )
            await self._peers.start()
        self.node.start()
        self._feed.start()
        await self._frontend.start()
        await self._readiness.start()
        logging.info("edge node %s started", settings.node_name)
        self._is_started.set()

    def _duty_client(self, duty: str) -> PlatformDutyClient | None:
        """Return the client for a duty; ``None`` if the deployment has no such duty."""
        cloud = self._settings.cloud
        if cloud is None or duty not in cloud.duties:
            return None
        return PlatformDutyClient(self._sessions[4], cloud.address)

    def _usage_connections(self) -> UsageConnections | None:
        client = self._duty_client(names.DUTY_USAGE)
        if client is None:
            return None
        bounds = self._settings.bounds
        return UsageConnections(
            bounds.usage_window_s,
            HttpUsagePeers(self._sessions[3]),
            client,
            late_s=bounds.usage_late_s,
            tolerance=bounds.usage_tolerance,
        )

    def _warmup_connections(self) -> WarmupConnections | None:
        bounds = self._settings.bounds.warmup
        if bounds is None:
            return None
        return WarmupConnections(bounds, HttpPermitPeers(self._sessions[3]))

    @property
    def peers_address(self) -> str:
        """Address of the control plane and of metrics; empty if this process has none."""
        return "" if self._peers is None else self._peers.address

    def num_store_calls(self, kind: str) -> int:
        """Return the number of store calls of a kind made by this process."""
        return self._store.num_calls[kind]

    def start_stop(self) -> None:
        """Start a graceful stop in the background; it waits until the process has started."""
        if self._stop_task is None:
            self._stop_task = asyncio.create_task(self._stop(now_s()))

    async def _stop(self, requested_s: float) -> None:
        await self._is_started.wait()
        schedule = await self.node.begin_stop(self._settings.bounds.grace_s, requested_s)
        # Requests in progress and owned jobs finish concurrently.
        await asyncio.gather(
            self._frontend.stop(schedule.requests_end_s - now_s()),
            self._readiness.stop(),
            self.node.complete_stop(),
        )
        # Other nodes may ask for the remainder of a job until the jobs are handed over.
        if self._peers is not None:
            await self._peers.abort()
        await cancel_all(self._store_call_log_task)
        await self._suspension_monitor.stop()
        await self._feed.stop()
        for session in self._sessions:
            await session.close()
        logging.info("stopped")
        self.stopped.set()

    async def kill(self) -> None:
        """Stop abruptly, as a crash would; for tests."""
        await cancel_all(self._store_call_log_task)
        await self._suspension_monitor.stop()
        await self.node.abandon()
        await self._feed.stop()
        await self._frontend.abort()
        await self._readiness.abort()
        if self._peers is not None:
            await self._peers.abort()
        for session in self._sessions:
            await session.close()

    async def _log_store_calls(self) -> None:
        """Log the number of store calls, which are billed, periodically."""
        while True:
            await asyncio.sleep(STORE_CALL_LOG_INTERVAL_S)
            logging.info("store calls so far: %s", dict(self._store.num_calls))

    def reload(self) -> None:
        """Re-read the settings file to log whether it is valid; nothing is applied."""
        logging.info(
            "settings file re-read; changes apply after a restart, validation: %s",
            type(read_process_settings()).__name__,
        )

    async def _complete_retirement(self, machine: str) -> bool:
        key, value = retirement_status(machine)
        outcome = await self.node.store.transact([], [Put(key, value)])
        return isinstance(outcome, Committed)


async def serve_edge(settings: ProcessSettings) -> None:
    """Run an edge process until SIGTERM or SIGINT."""
    process = EdgeProcess(settings)
    loop = asyncio.get_running_loop()
    # Installed before clients are served, so that a stop during start-up is graceful as well.
    loop.add_signal_handler(signal.SIGTERM, process.start_stop)
    loop.add_signal_handler(signal.SIGINT, process.start_stop)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    await process.start()
    gc.freeze()
    await process.stopped.wait()
