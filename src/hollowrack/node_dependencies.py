"""Identity and external dependencies of a node."""

from dataclasses import dataclass, field

from hollowrack.clients.config_store import StoreCall
from hollowrack.clients.engine import MakeEngineClient
from hollowrack.clients.machine_list import ReadMachines
from hollowrack.clients.service import ServiceClient
from hollowrack.membership.network import NodeNetwork
from hollowrack.membership.types import Member
from hollowrack.replication.journal import JournalFolder
from hollowrack.routing.choice import Chooser, choose


@dataclass(frozen=True)
class NodeIdentity:
    """Identity of a node.

    Attributes:
        node: Name of the node.
        zone: Zone of the node.
        incarnation: Identifier that changes when the node loses its state.
        seeds: Members known at the start.
        seed: Seed of all random choices; ``None`` selects a random seed.
    """

    node: str
    zone: str
    incarnation: str
    seeds: tuple[Member, ...] = ()
    seed: int | None = None


@dataclass(frozen=True)
class NodeDependencies:
    """External dependencies of a node.

    Attributes:
        network: Network between nodes.
        store_call: Sends calls to the configuration store.
        read_machines: Reads the machine list.
        make_engine_client: Returns the client of the engine at an address.
        services: Sends requests to service workers.
        journals: Journals of the group replicas; ``None`` keeps the state in memory.
        chooser: Selects the back end of a request.
    """

    network: NodeNetwork
    store_call: StoreCall
    read_machines: ReadMachines
    make_engine_client: MakeEngineClient
    services: ServiceClient
    journals: JournalFolder | None = None
    chooser: Chooser = field(default=choose)
