"""An edge node that knows other nodes in several zones and is not started."""

import hashlib
import random
from collections.abc import Mapping
from dataclasses import replace

from hollowrack.edge_connections import EdgeConnections
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.types import Worker
from hollowrack.jobs.placement import NodeEntry
from hollowrack.jobs.types import Job
from hollowrack_standins.back_ends import BackEndsStandin
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults
from tests.jobs.helpers import Fleet, NoOrders, UnreachableFeed

NUM_ORDERS = 20


async def _complete_retirement(machine: str) -> bool:
    return bool(machine)


def make_node(
    rng: random.Random, zone: str, others: Mapping[str, str], **changes: object
) -> EdgeNode:
    """Return a node.

    Args:
        rng: Source of its random choices.
        zone: Its zone.
        others: Zones of the other nodes, by name; a node's address is its name.
        changes: Further fields of its connections.
    """
    peers = Fleet(0)
    connections = EdgeConnections(
        CoordinationStoreCore().make_client(StoreFaults()),
        BackEndsStandin(),
        NoOrders(),
        lambda _: None,
        _complete_retirement,
        peers,
        UnreachableFeed(),
        peers,
        "own",
    )
    connections = replace(connections, **changes)  # type: ignore[arg-type]
    node = EdgeNode("own", zone, 3.0, connections, rng)
    node.live.nodes[node.owner] = NodeEntry("own", 4.0, zone)
    for name, other_zone in others.items():
        node.live.nodes[f"{name}#1"] = NodeEntry(name, 4.0, other_zone)
    return node


def digest_of_orders(node: EdgeNode, rng: random.Random) -> str:
    """Return a digest of the nodes that a node prefers and of the state of its random source."""
    node.worker_changed(Worker("w", "svc", "127.0.0.1:1", "z1", 2))
    jobs = [Job(f"j{index}", "h", f"/{index}/", (), f"m{index}", 0, 0) for index in range(12)]
    live = node.live
    orders = [
        (node.neighbour_addresses(), node.peer_addresses(), live.observer_sources())
        for _ in range(NUM_ORDERS)
    ]
    owners = [(live.preferred_owner_address(job), live.successor(job)) for job in jobs]
    state = (orders, owners, live.leader_and_fallback_addresses(), rng.getstate())
    return hashlib.blake2b(repr(state).encode(), digest_size=16).hexdigest()
