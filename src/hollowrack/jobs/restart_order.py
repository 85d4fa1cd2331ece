"""Order of preferred owners of jobs during a rolling restart.

A process that has not been stopped yet may be stopped within seconds, and a job that it receives is
then handed over again. Processes that were started during the restart are therefore preferred. The
order only costs or saves time: any process may own any job.
"""

from collections import OrderedDict
from collections.abc import Collection, Mapping

from hollowrack.coordination.session import node_of_owner
from hollowrack.jobs.placement import LOCAL_NODE_FRACTION, NodeEntry

# A rolling restart is in progress until no process has announced a stop for this long.
STOP_WINDOW_S = 10.0
# One stop alone is no rolling restart.
MIN_STOPS = 2
# Owner names whose first entry is remembered; hosts of large deployments are some dozens.
MAX_REMEMBERED = 512


class RestartOrder:
    """Stops and starts of processes as one node observes them in their entries."""

    def __init__(self) -> None:
        # Revision at which the entry of each process was first seen.
        self._created: OrderedDict[str, int] = OrderedDict()
        # Processes that have announced a stop, by owner name, with the revision of that entry.
        self._stops: dict[str, int] = {}
        self._last_stop_s = -float("inf")

    def record_entry(self, owner: str, entry: NodeEntry, revision: int, now_s: float) -> None:
        """Record an entry of a process.

        Args:
            owner: Owner name of the process.
            entry: The entry.
            revision: Store revision at which it was written.
            now_s: Current time on the event loop's clock.
        """
        self._created.setdefault(owner, revision)
        while len(self._created) > MAX_REMEMBERED:
            self._created.popitem(last=False)
        if entry.num_cores > 0.0 or owner in self._stops:
            return
        if not self._is_recent(now_s):
            self._stops.clear()
        self._stops[owner] = revision
        self._last_stop_s = now_s

    def _is_recent(self, now_s: float) -> bool:
        return now_s - self._last_stop_s < STOP_WINDOW_S

    def is_restarting(self, now_s: float) -> bool:
        """Whether a rolling restart is in progress."""
        return len(self._stops) >= MIN_STOPS and self._is_recent(now_s)

    def candidates(
        self,
        hosts: Mapping[str, NodeEntry],
        region_zones: Collection[str],
        now_s: float,
        zone: str = "",
    ) -> Mapping[str, NodeEntry]:
        """Return the processes among which the next owner of a job is chosen.

        During a rolling restart these are the processes started since its first stop, first those
        of nodes that were seen to stop: the entry of another process may also be new because it
        became a host. They are passed over if they are much smaller than other hosts, in another
        region, or in another zone although the own zone has a large host: every result would then
        cross zones. Without any, all running processes are candidates.

        Args:
            hosts: Entries of the processes that may own the job, by owner name.
            region_zones: Zones of the own region if there are other regions; else empty.
            now_s: Current time on the event loop's clock.
            zone: Zone in which the job was submitted or is owned; empty if unknown.
        """
        if not self.is_restarting(now_s):
            return hosts
        running = {owner: entry for owner, entry in hosts.items() if entry.num_cores > 0.0}
        max_cores = max((entry.num_cores for entry in running.values()), default=0.0)
        first_stop = min(self._stops.values())
        zones = {zone} if _has_large_host(running, zone, max_cores) else region_zones
        started = {
            owner: entry
            for owner, entry in running.items()
            if entry.address
            and self._created.get(owner, 0) > first_stop
            and entry.num_cores >= LOCAL_NODE_FRACTION * max_cores
            and (not zones or entry.zone in zones)
        }
        stopped_nodes = {node_of_owner(owner) for owner in self._stops}
        restarted = {
            owner: entry
            for owner, entry in started.items()
            if node_of_owner(owner) in stopped_nodes
        }
        return restarted or started or running


def _has_large_host(running: Mapping[str, NodeEntry], zone: str, max_cores: float) -> bool:
    """Whether owners are chosen in a zone, as in :func:`preferred_owner_by_key`."""
    return bool(zone) and any(
        entry.address and entry.zone == zone and entry.num_cores >= LOCAL_NODE_FRACTION * max_cores
        for entry in running.values()
    )
