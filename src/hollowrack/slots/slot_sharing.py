"""Slot sharing of one node: holder, arbiter and reporter, wired together."""

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.live_state import LiveState
from hollowrack.slots.arbiter import SlotArbiter
from hollowrack.slots.holder import SlotHolder
from hollowrack.slots.reporter import SlotReporter
from hollowrack.slots.types import OpenWorkSource, SlotAnswer, SlotPeers, SlotReport


class SlotSharing:
    """Holds this node's slot grants, and answers other owners' reports while it is the leader.

    Args:
        owner: Name of this process.
        leadership: Leadership state of this node.
        live: Job owners and the leader, as known to this node.
        routes: Routes in force.
        workers: Directory of known workers.
        source: Open work of this node.
        queue: Dispatch queue that is subject to the granted limits.
        peers: Transport of reports to other nodes; ``None`` if slots are not shared.

    Attributes:
        holder: Grants held by this node.
        arbiter: Answers reports while this node is the leader.
    """

    def __init__(
        self,
        owner: str,
        leadership: Leadership,
        live: LiveState,
        routes: RouteTable,
        workers: WorkerDirectory,
        source: OpenWorkSource,
        queue: DispatchQueue,
        peers: SlotPeers | None,
    ) -> None:
        self._live = live
        self._routes = routes
        self._workers = workers
        self._is_enabled = peers is not None
        self.holder = SlotHolder(owner, workers, self._is_shared, live.job_owners, source)
        self.arbiter = SlotArbiter(owner, leadership, self._capacity, live.job_owners)
        self._reporter: SlotReporter | None = None
        if peers is not None:
            self._reporter = SlotReporter(
                self.holder,
                self.arbiter,
                self.shared_services,
                live.leader,
                owner,
                live.leader_address,
                peers,
            )
            queue.limits = self.holder
            self.holder.on_granted(queue.schedule_dispatch)

    def start(self) -> None:
        """Start the reporter."""
        if self._reporter is not None:
            self._reporter.start()

    async def stop(self) -> None:
        """Stop the reporter and release all slots; called once this node owns no jobs."""
        if self._reporter is not None:
            await self._reporter.stop()

    async def abandon(self) -> None:
        """Stop without releasing slots, as a crash would; for tests."""
        if self._reporter is not None:
            await self._reporter.abandon()

    def answer(self, report: SlotReport) -> SlotAnswer:
        """Answer a report of another node."""
        return self.arbiter.answer(report, now_s())

    def shared_services(self) -> list[str]:
        """Return the names of the services whose slots are shared."""
        return [
            service.name for service in self._routes.services() if self._is_shared(service.name)
        ]

    def _is_shared(self, service_name: str) -> bool:
        return self._is_enabled and self._routes.holds_several_models(service_name)

    def _capacity(self, service: str) -> dict[str, int]:
        if not self._is_shared(service):
            return {}
        return {
            str(worker.incarnation): worker.capacity for worker in self._workers.serving(service)
        }
