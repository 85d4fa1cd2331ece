"""Two regions of a soak: zones of nodes and workers, and the links between the regions."""

import random
import re
from collections.abc import Callable, Iterable

from hollowrack.clock import now_s
from hollowrack.platform import names
from hollowrack_bench.loopback_proxy import MAX_DELAY_S, LinkFault, LoopbackProxy
from hollowrack_standins.users_platform import PlatformWorkerStandin

ZONE_REGIONS = {"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r2"}
# Zones by the kind of the node or worker and the number in its name. The workers of plain requests
# are in other zones than the nodes, so that only regions tell them apart.
_ZONES = {"edge": ("z1", "z3"), "engine": ("z1", "z3", "z2"), "price": ("z2", "z4")}
# A cut link refuses connections, a silent one discards what is sent.
REGION_LINK_FAULTS = (LinkFault.DELAYED, LinkFault.RESET, LinkFault.SILENT)

# Target latency of the routes of plain requests if it is checked. Without faults an answer takes
# some milliseconds. The rest is for machines on which processes wait for a processor: nodes may use
# the other region where the own one cannot answer within the target.
TARGET_LATENCY_S = 2.0
# A late attempt is hedged after the target latency or half the timeout, whichever is sooner. It has
# to be the former, so that a request sent over a link that is cut is answered late.
TIMEOUT_S = 4.0 * TARGET_LATENCY_S
# Delay on links to workers of plain requests if their latency is checked. Both the request and the
# answer are delayed, so that most of them miss the target latency.
MAX_LOOKUP_DELAY_S = 2.0 * TARGET_LATENCY_S
_REQUEST_ID = re.compile(rb"\r\n" + names.REQUEST_ID.encode() + rb": *(\S+)\r\n", re.IGNORECASE)


def zone_of(name: str) -> str:
    """Return the zone of a node or worker."""
    kind, _, number = name.partition(".")[0].rpartition("-")
    zones = _ZONES[kind]
    return zones[int(number) % len(zones)]


def region_of(name: str) -> str:
    """Return the region of a node or worker."""
    return ZONE_REGIONS[zone_of(name)]


class RegionLink(LoopbackProxy):
    """The link to a worker for nodes of the other region.

    Args:
        target: ``IP:PORT`` of the worker.
        rng: Source of delays.
        max_delay_s: Longest delay of a chunk, in seconds.
        crossing_times_s: Receives the time, on the loop's clock, at which each request was first
            sent over a link, by request identifier.
    """

    def __init__(
        self,
        target: str,
        rng: random.Random,
        max_delay_s: float,
        crossing_times_s: dict[str, float],
    ) -> None:
        super().__init__(target, rng, max_delay_s)
        self._crossing_times_s = crossing_times_s

    def _observe_request(self, chunk: bytes) -> None:
        for found in _REQUEST_ID.finditer(chunk):
            self._crossing_times_s.setdefault(found[1].decode(), now_s())


class RegionRouter(LoopbackProxy):
    """Forwards connections of nodes in other regions through the link between the regions.

    Args:
        target: ``IP:PORT`` of the worker for nodes of its own region.
        link_target: ``IP:PORT`` of the link to the worker.
        is_in_other_region: Whether the process that uses a local port, connected to another one,
            is in another region.
        rng: Source of the delays of the proxy, which are not used.
    """

    def __init__(
        self,
        target: str,
        link_target: str,
        is_in_other_region: Callable[[int, int], bool],
        rng: random.Random,
    ) -> None:
        super().__init__(target, rng)
        self._link_target = link_target
        self._is_in_other_region = is_in_other_region

    def _target_of(self, client_port: int) -> str:
        own_port = int(self.address.rpartition(":")[2])
        is_far = self._is_in_other_region(client_port, own_port)
        return self._link_target if is_far else self._target


class SoakRegions:
    """Links between nodes and the workers of the other region.

    Args:
        node_of_connection: Returns the node whose process uses a local port, connected to another
            one; ``None`` if unknown.
        rng: Source of delays.
        max_lookup_delay_s: Longest delay of a chunk on links to workers of plain requests, in
            seconds.

    Attributes:
        links: Links to workers for nodes of the other region, by worker.
        crossing_times_s: Time, on the loop's clock, at which each request was first sent over a
            link, by request identifier; also if the link discarded it.
    """

    def __init__(
        self,
        node_of_connection: Callable[[int, int], str | None],
        rng: random.Random,
        max_lookup_delay_s: float = MAX_DELAY_S,
    ) -> None:
        self.links: dict[str, RegionLink] = {}
        self.crossing_times_s: dict[str, float] = {}
        self._routers: dict[str, RegionRouter] = {}
        # Without faults, both ways to a worker have to take the same time.
        self._near_links: dict[str, LoopbackProxy] = {}
        self._node_of_connection = node_of_connection
        self._rng = rng
        self._max_lookup_delay_s = max_lookup_delay_s

    def settings(self, node: str) -> dict[str, object]:
        """Return the settings that name a node's zone and the regions."""
        zone = zone_of(node)
        return {"zone": zone, "region": ZONE_REGIONS[zone], "zones": ZONE_REGIONS}

    async def start_link(self, worker: PlatformWorkerStandin, address: str) -> str:
        """Start the link to a worker; returns the address for all nodes."""
        worker.zone = zone_of(worker.id)
        max_delay_s = MAX_DELAY_S if worker.model else self._max_lookup_delay_s
        link = RegionLink(address, self._rng, max_delay_s, self.crossing_times_s)
        self.links[worker.id] = link
        near_link = LoopbackProxy(address, self._rng)
        self._near_links[worker.id] = near_link
        router = RegionRouter(
            await near_link.start(),
            await link.start(),
            lambda port, peer_port: self._is_in_other_region(worker, port, peer_port),
            self._rng,
        )
        self._routers[worker.id] = router
        return await router.start()

    def silence_links(self, workers: Iterable[PlatformWorkerStandin]) -> None:
        """Discard all bytes between nodes and workers of different regions."""
        for worker in workers:
            self.links[worker.id].set_fault(LinkFault.SILENT)

    async def stop_link(self, worker_id: str) -> None:
        """Stop the link to a worker."""
        await self._routers.pop(worker_id).stop()
        await self._near_links.pop(worker_id).stop()
        await self.links.pop(worker_id).stop()

    async def stop(self) -> None:
        """Stop all links."""
        for worker_id in list(self.links):
            await self.stop_link(worker_id)

    def _is_in_other_region(self, worker: PlatformWorkerStandin, port: int, peer_port: int) -> bool:
        node = self._node_of_connection(port, peer_port)
        return node is not None and region_of(node) != region_of(worker.id)
