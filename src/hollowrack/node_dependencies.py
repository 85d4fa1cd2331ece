"""Who a node is and what it touches."""

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
    """Who a node is.

    Attributes:
        node: Its name.
        zone: Its zone.
        incarnation: Identity of its memory.
        seeds: Members it knows from the start.
        seed: Seed of all its random choices; ``None`` draws one.
    """

    node: str
    zone: str
    incarnation: str
    seeds: tuple[Member, ...] = ()
    seed: int | None = None


@dataclass(frozen=True)
class NodeDependencies:
    """What a node touches.

    Attributes:
        network: The network between nodes.
        store_call: Calls the configuration store.
        read_machines: Reads the machine list.
        make_engine_client: Returns the client of an engine by its address.
        services: Sends requests to service workers.
        journals: The node's journals, if it has a data folder.
        chooser: Chooses back ends.
    """

    network: NodeNetwork
    store_call: StoreCall
    read_machines: ReadMachines
    make_engine_client: MakeEngineClient
    services: ServiceClient
    journals: JournalFolder | None = None
    chooser: Chooser = field(default=choose)
