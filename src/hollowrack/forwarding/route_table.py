"""Route table: finds the route of a request by its host and the longest matching prefix."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from absl import logging

from hollowrack.forwarding.types import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    Target,
)
from hollowrack.regions.allowed_regions import AllowedRegions
from hollowrack.results import Problem, ResultCode
from hollowrack.tenants.types import TenantDirectory

PLAIN_KINDS = frozenset({RouteKind.SAFE, RouteKind.UNSAFE})


class RouteTable:
    """Holds the current routing configuration, whose version increases monotonically.

    Args:
        age_s: Returns the time since the store confirmed the current version, in seconds; only used
            in log lines. ``None`` if there is no store.
    """

    def __init__(self, age_s: Callable[[], float] | None = None) -> None:
        self._age_s = age_s
        self._changed = asyncio.Event()
        self._configuration: RoutingConfiguration | None = None
        self._by_host: dict[str, list[Route]] = {}
        self._num_plain_routes: Counter[str] = Counter()
        self._credits: dict[tuple[str, str], float] = {}
        self._services_with_priorities: frozenset[str] = frozenset()
        self._regions_of_removed_tenants: dict[str, frozenset[str]] = {}

    @property
    def version(self) -> int | None:
        """Current version; ``None`` before the first configuration."""
        return None if self._configuration is None else self._configuration.version

    def describe(self) -> str:
        """Describe the current version and its age for log lines."""
        if self.version is None:
            return "no configuration"
        if self._age_s is None:
            return f"configuration {self.version}"
        return f"configuration {self.version}, confirmed {self._age_s():.2f} s ago"

    @property
    def limits(self) -> CallerLimits:
        """Current limits on callers."""
        return CallerLimits() if self._configuration is None else self._configuration.limits

    @property
    def tenants(self) -> TenantDirectory:
        """Tenants of the current configuration."""
        return TenantDirectory() if self._configuration is None else self._configuration.tenants

    def service(self, name: str) -> Service | None:
        """Return a service of the current configuration; ``None`` if it is unknown."""
        return None if self._configuration is None else self._configuration.services.get(name)

    def holds_several_models(self, service_name: str) -> bool:
        """Whether the workers of a service are shared by several models."""
        service = self.service(service_name)
        return service is not None and len(service.models) > 1

    def services(self) -> tuple[Service, ...]:
        """Return all services of the current configuration."""
        return () if self._configuration is None else tuple(self._configuration.services.values())

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it was."""
        current = self.version
        if current is not None and configuration.version <= current:
            if configuration.version < current:
                detail = f"version {configuration.version}, but {current} is in force"
                logging.warning("%s", Problem(ResultCode.CONFIGURATION_IGNORED, detail))
            return False
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in configuration.routes:
            by_host[route.host].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_host = dict(by_host)
        self._services_with_priorities = _services_with_priorities(configuration.routes)
        self._num_plain_routes = Counter(
            target.service
            for route in configuration.routes
            if route.kind in PLAIN_KINDS
            for target in route.targets
        )
        self._regions_of_removed_tenants = {
            name: regions
            for name, regions in (
                self._regions_of_removed_tenants | self.tenants.restricted_regions()
            ).items()
            if name not in configuration.tenants
        }
        self._configuration = configuration
        self._changed.set()
        self._changed = asyncio.Event()
        logging.info(
            "configuration %d in force, previous version: %s", configuration.version, current
        )
        return True

    def lookup(self, host: str, path: str) -> Route | None:
        """Return the route of a request; ``None`` if there is none."""
        for route in self._routes_of(host):
            if path.startswith(route.prefix):
                return route
        return None

    def is_at_least(self, version: int) -> bool:
        """Whether the current configuration has at least this version."""
        return self.version is not None and self.version >= version

    async def wait_for_version(self, version: int) -> None:
        """Wait until the current configuration has at least a version."""
        while not self.is_at_least(version):
            await self._changed.wait()

    def allowed_regions_of_tenant(self, name: str | None) -> AllowedRegions:
        """Return the allowed regions of a tenant; a removed tenant keeps those that it had."""
        if name in self._regions_of_removed_tenants:
            return self._regions_of_removed_tenants[name]
        return self.tenants.allowed_regions_of(name)

    async def lookup_since(self, host: str, path: str, version: int) -> Route | None:
        """Return the route of a request that another node accepted under a version.

        Waits until this node has a configuration of at least that version if the route is not found
        in an older one, because it may have been added in between.

        Args:
            host: Host of the request.
            path: Path of the request.
            version: Version under which the route existed; 0 if unknown.

        Returns:
            The route; ``None`` if it has been removed.
        """
        while True:
            route = self.lookup(host, path)
            if route is not None or self.is_at_least(version):
                return route
            await self._changed.wait()

    async def lookup_until_found(self, host: str, path: str) -> Route:
        """Return the route of a request, waiting until there is one."""
        while True:
            route = self.lookup(host, path)
            if route is not None:
                return route
            await self._changed.wait()

    def shares_workers(self, route: Route) -> bool:
        """Whether a service of the route also serves other routes with plain answers."""
        return any(self._num_plain_routes[target.service] > 1 for target in route.targets)

    def has_public_jobs(self, host: str) -> bool:
        """Whether jobs may be submitted to a host without an API key."""
        return any(
            route.is_public and route.kind is RouteKind.JOB for route in self._routes_of(host)
        )

    def _routes_of(self, host: str) -> list[Route]:
        return self._by_host.get(host.partition(":")[0].lower(), [])

    def worker_priority(self, priority: int, service: str) -> int | None:
        """Return the priority to send to workers of a service along with a request.

        Args:
            priority: Priority of the request's route.
            service: Name of the service.

        Returns:
            The priority; ``None`` if all routes of the service have the same one.
        """
        return priority if service in self._services_with_priorities else None

    def choose_service(self, route: Route) -> str:
        """Choose a service of a route by smooth weighted round robin."""
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(target.weight for target in route.targets)
        best: Target = route.targets[0]
        best_credit = -float("inf")
        for target in route.targets:
            key = (route.name, target.service)
            credit = self._credits.get(key, 0.0) + target.weight
            self._credits[key] = credit
            if credit > best_credit and target.weight > 0:
                best, best_credit = target, credit
        self._credits[(route.name, best.service)] -= total
        return best.service


def _services_with_priorities(routes: Iterable[Route]) -> frozenset[str]:
    """Return the services whose routes differ in priority."""
    priorities: defaultdict[str, set[int]] = defaultdict(set)
    for route in routes:
        for target in route.targets:
            priorities[target.service].add(route.priority)
    return frozenset(service for service, values in priorities.items() if len(values) > 1)
