"""What connects an edge node to the outside."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hollowrack.capacity.types import CapacityClient
from hollowrack.coordination.relay import RelayClient
from hollowrack.coordination.shared_store import FeedClient
from hollowrack.coordination.store import CoordinationStore
from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.jobs.peer_jobs import PeerJobs
from hollowrack.slots.types import SlotPeers
from hollowrack.usage.types import UsageClient, UsagePeers
from hollowrack.weights.version_reconciler import OrderClient

DEFAULT_KEEP_ENDED_S = 300.0
# The shortest that the platform's deployments have.
DEFAULT_CHANGE_BOUND_S = 2.0


@dataclass(frozen=True)
class UsageConnections:
    """What reporting usage takes.

    Attributes:
        window_s: Length of a window, in seconds.
        peers: Hands counts to other nodes.
        client: Delivers reports.
        time_of_day_s: Returns the machine's time of day, in seconds since 1970.
    """

    window_s: float
    peers: UsagePeers
    client: UsageClient
    time_of_day_s: Callable[[], float] = time.time


@dataclass(frozen=True)
class EdgeConnections:
    """What connects the node to the outside.

    Attributes:
        store: The coordination store.
        back_ends: Sends requests to workers.
        orders: Talks to workers about their weights.
        read_version: Reads the weight version that an event announces.
        peer_jobs: Hands jobs to other nodes.
        address: Where other nodes reach this one; empty if they do not.
        num_cores: Processor time this node has, in cores.
        ended_job_retention_s: How long an ended job is kept, in seconds.
        max_change_delay_s: How long changes of routes and workers may take to reach this node, in
            seconds.
        complete_retirement: Tells the operators that a machine is empty.
        feed: Sends watches to other nodes.
        relay: Sends calls to the store by way of other nodes.
        seeds: Addresses of a few nodes, which may be down.
        usage: What reporting usage takes; ``None`` where it is not reported.
        capacity: Gives orders of capacity; ``None`` where none are given.
        slots: Reports to other nodes on slots of workers; ``None`` where these are not shared.
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
    ended_job_retention_s: float = DEFAULT_KEEP_ENDED_S
    max_change_delay_s: float = DEFAULT_CHANGE_BOUND_S
    seeds: tuple[str, ...] = ()
    usage: UsageConnections | None = None
    capacity: CapacityClient | None = None
    slots: SlotPeers | None = None
