"""Components shared by all item runners of a node, and the reasons for giving items up."""

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
from hollowrack.jobs.length_estimate import LengthEstimate
from hollowrack.jobs.slot_throughput import SlotThroughputEstimate
from hollowrack.quarantine.quarantine import Quarantine

MIN_FIRST_EVENT_TIMEOUT_S = 0.8
MAX_FIRST_EVENT_TIMEOUT_S = 2.5


class GiveUpReason(Enum):
    """Reasons for giving an item up, which is final because a listed result cannot change."""

    REJECTED = "a worker rejected it"
    FAILED_TOO_OFTEN = "too many failed attempts at workers"
    SCORER_FAILED_TOO_OFTEN = "too many failed requests to its scorer"
    ROUTE_ENDED = "its route was removed"
    TIME_IS_UP = "its time is up"


@dataclass(frozen=True)
class ItemServices:
    """Components shared by all item runners of a node.

    Attributes:
        routes: Routes of the configuration in force.
        workers: Directory of known workers.
        back_ends: Sends requests to workers.
        forwarder: Forwards scorer requests.
        queue: Assigns slots at workers.
        read_version: Returns the weight version that an event states; ``None`` if it states none.
        quarantine: Withholds generations that crash workers.
        first_event_timeout: Timeout of the first event, adapted to observed latencies.
        lengths: Estimates the number of events of items.
        slot_throughput: Estimates the throughput of one slot.
        num_given_up: Number of items given up on this node by reason.
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
