"""Looks up the route of a request: the longest prefix among the routes of its host."""

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
from hollowrack.results import Problem, ResultCode
from hollowrack.tenants.types import TenantDirectory

PLAIN_KINDS = frozenset({RouteKind.SAFE, RouteKind.UNSAFE})


class RouteTable:
    """The routes in force on this node; the version only rises.

    Args:
        age_s: Returns how long ago the store confirmed the version in force, in seconds; for logs.
    """

    def __init__(self, age_s: Callable[[], float] | None = None) -> None:
        self._age_s = age_s
        self._changed = asyncio.Event()
        self._configuration: RoutingConfiguration | None = None
        self._by_host: dict[str, list[Route]] = {}
        self._num_plain_routes: Counter[str] = Counter()
        self._credits: dict[tuple[str, str], float] = {}
        self._services_with_ranks: frozenset[str] = frozenset()

    @property
    def version(self) -> int | None:
        """Version in force; ``None`` before the first."""
        return None if self._configuration is None else self._configuration.version

    def describe(self) -> str:
        """Version in force and its age, for a log line that tells what a decision rests on."""
        if self.version is None:
            return "no configuration"
        if self._age_s is None:
            return f"configuration {self.version}"
        return f"configuration {self.version}, confirmed {self._age_s():.2f} s ago"

    @property
    def limits(self) -> CallerLimits:
        """Bounds on callers in force."""
        return CallerLimits() if self._configuration is None else self._configuration.limits

    @property
    def tenants(self) -> TenantDirectory:
        """Tenants in force; they are of the same version as the routes."""
        return TenantDirectory() if self._configuration is None else self._configuration.tenants

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force."""
        return None if self._configuration is None else self._configuration.services.get(name)

    def holds_several_models(self, service_name: str) -> bool:
        """Whether trainers of several models compete for a service's workers."""
        service = self.service(service_name)
        return service is not None and len(service.models) > 1

    def services(self) -> tuple[Service, ...]:
        """Return all services of the configuration in force."""
        return () if self._configuration is None else tuple(self._configuration.services.values())

    def apply(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force unless it is older; returns whether it is in force now."""
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
        self._services_with_ranks = _services_with_ranks(configuration.routes)
        self._num_plain_routes = Counter(
            target.service
            for route in configuration.routes
            if route.kind in PLAIN_KINDS
            for target in route.targets
        )
        self._configuration = configuration
        self._changed.set()
        self._changed = asyncio.Event()
        logging.info("configuration %d in force, before: %s", configuration.version, current)
        return True

    def lookup(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or ``None`` if there is none."""
        for route in self._routes_of(host):
            if path.startswith(route.prefix):
                return route
        return None

    def is_at_least(self, version: int) -> bool:
        """Whether a configuration of at least this version is in force."""
        return self.version is not None and self.version >= version

    async def lookup_since(self, host: str, path: str, version: int) -> Route | None:
        """Return the route of a request that was accepted under a version.

        Other nodes may know newer configurations than this one. A route that is absent from an
        older one may have been added since, so absence counts from that version on only.

        Args:
            host: The host.
            path: The path.
            version: The version under which the route was seen; 0 if that is not known.

        Returns:
            The route; ``None`` if it has ended.
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
        """Whether other routes with plain answers lead to the same workers."""
        return any(self._num_plain_routes[target.service] > 1 for target in route.targets)

    def has_public_jobs(self, host: str) -> bool:
        """Whether jobs may be submitted to a host without a key."""
        return any(
            route.is_public and route.kind is RouteKind.JOB for route in self._routes_of(host)
        )

    def _routes_of(self, host: str) -> list[Route]:
        return self._by_host.get(host.partition(":")[0].lower(), [])

    def worker_priority(self, priority: int, service: str) -> int | None:
        """Return the priority that workers of a service should be told.

        Args:
            priority: Priority of the request's route.
            service: The service.

        Returns:
            The priority; ``None`` if all routes of the service have the same, so that the workers'
            default ranks them as well.
        """
        return priority if service in self._services_with_ranks else None

    def choose_service(self, route: Route) -> str:
        """Choose a route's service by weight: smooth weighted round robin."""
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


def _services_with_ranks(routes: Iterable[Route]) -> frozenset[str]:
    """The services whose routes have different priorities."""
    priorities: defaultdict[str, set[int]] = defaultdict(set)
    for route in routes:
        for target in route.targets:
            priorities[target.service].add(route.priority)
    return frozenset(service for service, found in priorities.items() if len(found) > 1)
