"""What running items takes, shared by all items of a node, and why items are given up."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from hollowrack.forwarding.back_end import BackEndClient
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.event_stream import StreamEvent
from hollowrack.forwarding.first_event_timeout import FirstEventTimeout
from hollowrack.forwarding.forwarder import Forwarder
from hollowrack.forwarding.route_table import RouteTable
from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.jobs.lengths import LengthEstimate
from hollowrack.jobs.slot_throughput import SlotThroughputEstimate
from hollowrack.quarantine.quarantine import Quarantine

MIN_FIRST_EVENT_TIMEOUT_S = 0.8
MAX_FIRST_EVENT_TIMEOUT_S = 2.5


class GiveUpReason(Enum):
    """Why an item has no whole text: all that may end one, as a result cannot be taken back."""

    REJECTED = "a worker says that it can never be done"
    FAILED_TOO_OFTEN = "workers failed it too often"
    SCORER_FAILED_TOO_OFTEN = "its scorer failed too often"
    ROUTE_ENDED = "its route has ended"
    TIME_IS_UP = "its time is up"


@dataclass(frozen=True)
class ItemServices:
    """What running items takes.

    Attributes:
        routes: The routes in force.
        workers: The workers known.
        back_ends: Sends requests to workers.
        forwarder: Forwards scorer calls.
        queue: Hands out places at workers.
        read_version: Reads the weight version that an event announces.
        quarantine: Keeps generations that end their workers from further workers.
        first_event_timeout: Longest wait for the first event of a generation.
        lengths: How many events items will have.
        slot_throughput: How fast a place generates.
        num_given_up: How many items were given up here, by reason.
    """

    routes: RouteTable
    workers: WorkerDirectory
    back_ends: BackEndClient
    forwarder: Forwarder
    queue: DispatchQueue
    read_version: Callable[[StreamEvent], int | None]
    quarantine: Quarantine
    first_event_timeout: FirstEventTimeout = field(
        default_factory=lambda: FirstEventTimeout(
            MIN_FIRST_EVENT_TIMEOUT_S, MAX_FIRST_EVENT_TIMEOUT_S
        )
    )
    lengths: LengthEstimate = field(default_factory=LengthEstimate)
    slot_throughput: SlotThroughputEstimate = field(default_factory=SlotThroughputEstimate)
    num_given_up: Counter[GiveUpReason] = field(default_factory=Counter)
