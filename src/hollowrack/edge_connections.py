"""Clients and settings that connect an edge node to other systems."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hollowrack.capacity.types import CapacityClient
from hollowrack.coordination.relay import RelayClient
from hollowrack.coordination.shared_store import FeedClient
from hollowrack.coordination.store import CoordinationStore
from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.jobs.peer_jobs import PeerJobs
from hollowrack.regions.topology import RegionTopology
from hollowrack.slots.types import SlotPeers
from hollowrack.usage.types import UsageClient, UsagePeers
from hollowrack.warmup.control import WarmupConnections
from hollowrack.weights.version_reconciler import OrderClient

DEFAULT_ENDED_JOB_RETENTION_S = 300.0
# The shortest propagation limit of the platform's deployments.
DEFAULT_MAX_CHANGE_DELAY_S = 2.0


@dataclass(frozen=True)
class UsageConnections:
    """Clients and settings for usage reporting.

    Attributes:
        window_s: Length of a reporting window, in seconds.
        peers: Pushes counts to other nodes.
        client: Delivers reports to the platform.
        time_of_day_s: Returns the machine's time of day, in seconds since 1970.
        late_s: Time after the end of a window until which its report must be delivered, in seconds;
            ``None`` if there is no bound.
        tolerance: Largest allowed difference between reported and true counts, as a fraction of the
            true ones; ``None`` if there is no bound.
    """

    window_s: float
    peers: UsagePeers
    client: UsageClient
    time_of_day_s: Callable[[], float] = time.time
    late_s: float | None = None
    tolerance: float | None = None


@dataclass(frozen=True)
class EdgeConnections:
    """Clients and settings of an edge node.

    Attributes:
        store: Direct access to the coordination store.
        back_ends: Sends requests to workers.
        orders: Reads workers' reports and sends them weight orders.
        read_version: Returns the weight version that a stream event announces, if any.
        peer_jobs: Sends jobs to other nodes.
        address: Address of this node for other nodes; empty if it is not reachable.
        num_cores: CPU cores of this node.
        ended_job_retention_s: How long an ended job is kept, in seconds.
        max_change_delay_s: Propagation limit of changes of routes and workers, in seconds.
        complete_retirement: Confirms to the operators that a machine is empty; returns whether that
            certainly succeeded.
        feed: Sends watches to other nodes.
        relay: Sends store calls to other nodes.
        seeds: Addresses of a few nodes to contact before any node is known; they may be down.
        usage: Usage reporting; ``None`` if usage is not reported.
        capacity: Sends capacity orders; ``None`` if capacity is not ordered.
        slots: Sends slot reports to other nodes; ``None`` if slots are not shared.
        topology: Regions of the zones; empty if the settings name none.
        contact_s: Time for which a node must have been connected to the store so that time bounds
            hold, in seconds; ``None`` if the settings do not state it.
        warmup: Limits on requests to cold workers; ``None`` if they are not limited.
    """

    store: CoordinationStore
    back_ends: BackEndClient
    orders: OrderClient
    read_version: Callable[[StreamEvent], int | None]
    complete_retirement: Callable[[str], Awaitable[bool]]
    peer_jobs: PeerJobs
    feed: FeedClient
    relay: RelayClient
    address: str = ""
    num_cores: float = 1.0
    ended_job_retention_s: float = DEFAULT_ENDED_JOB_RETENTION_S
    max_change_delay_s: float = DEFAULT_MAX_CHANGE_DELAY_S
    seeds: tuple[str, ...] = ()
    usage: UsageConnections | None = None
    capacity: CapacityClient | None = None
    slots: SlotPeers | None = None
    topology: RegionTopology = field(default_factory=RegionTopology)
    warmup: WarmupConnections | None = None
    contact_s: float | None = None
