"""Workers that record where requests arrive, and configurations with allowed regions."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.types import RoutingConfiguration, Worker
from hollowrack.regions.allowed_regions import AllowedRegions
from hollowrack.regions.topology import RegionTopology
from hollowrack.tenants.types import Tenant, TenantDirectory
from hollowrack_standins.back_ends import AnswerStandin, BackEndsStandin
from tests.jobs.helpers import configuration

TOPOLOGY = RegionTopology({"z1": "r1", "z2": "r2"}, "z1")
R1, R2 = frozenset({"r1"}), frozenset({"r2"})
BOTH = R1 | R2
NONE: frozenset[str] = frozenset()


@dataclass
class RecordingBackEnds(BackEndsStandin):
    """Workers that record the zone of every request that reaches them.

    Attributes:
        arrivals: Identifier of the request and zone of the worker, in order.
    """

    arrivals: list[tuple[str, str]] = field(default_factory=list)

    async def open(
        self,
        worker: Worker,
        call: BackEndCall,
        time_left_s: float,
        after_event: int | None = None,
        is_repeatable: bool = True,
    ) -> AnswerStandin:
        """Record a request and run it."""
        self.arrivals.append((call.request_id, worker.zone))
        return await super().open(worker, call, time_left_s, after_event, is_repeatable)

    def zones(self, text: str = "") -> set[str]:
        """Return the zones that requests with a text in their identifier reached."""
        return {zone for request_id, zone in self.arrivals if text in request_id}


def with_regions(
    version: int,
    routes: Mapping[str, AllowedRegions],
    tenants: Mapping[str, AllowedRegions] | None = None,
    base: RoutingConfiguration | None = None,
) -> RoutingConfiguration:
    """Return a configuration with the allowed regions of some routes and tenants."""
    base = base or configuration()
    return replace(
        base,
        version=version,
        routes=tuple(
            replace(route, allowed_regions=routes.get(route.name)) for route in base.routes
        ),
        tenants=TenantDirectory(
            Tenant(name, allowed_regions=regions) for name, regions in (tenants or {}).items()
        ),
    )
