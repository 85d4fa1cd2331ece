"""The parts that share slots on one node, joined."""

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
    """Holds this node's grants, and grants while it leads.

    Args:
        owner: Name of this process.
        leadership: Whether it may grant.
        live: The owners of jobs and the leader, as this node sees them.
        routes: The routes in force.
        workers: The workers known.
        source: Tells this node's work.
        queue: Hands out the slots on this node.
        peers: Reports to other nodes; ``None`` if slots are not shared.

    Attributes:
        holder: This node's grants.
        arbiter: Grants.
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
        self._is_on = peers is not None
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
        """Start sharing."""
        if self._reporter is not None:
            self._reporter.start()

    async def stop(self) -> None:
        """Stop sharing, once this node owns no jobs."""
        if self._reporter is not None:
            await self._reporter.stop()

    async def abandon(self) -> None:
        """Stop at once, as a crash would; for tests."""
        if self._reporter is not None:
            await self._reporter.abandon()

    def answer(self, report: SlotReport) -> SlotAnswer:
        """Answer another node's report."""
        return self.arbiter.answer(report, now_s())

    def shared_services(self) -> list[str]:
        """Return the services whose slots are shared."""
        return [
            service.name for service in self._routes.services() if self._is_shared(service.name)
        ]

    def _is_shared(self, service_name: str) -> bool:
        return self._is_on and self._routes.holds_several_models(service_name)

    def _capacity(self, service: str) -> dict[str, int]:
        if not self._is_shared(service):
            return {}
        return {
            str(worker.incarnation): worker.capacity for worker in self._workers.serving(service)
        }
