"""Allowed regions of an item and its scorer calls under the configuration in force."""

from hollowrack.forwarding.route_table import RouteTable
from hollowrack.jobs.types import Job, JobItem
from hollowrack.regions.allowed_regions import AllowedRegions, intersection


class ItemRegions:
    """Determines the allowed regions anew each time that an item is sent.

    The restrictions of the job's tenant, of the route that the job was submitted under and of the
    route of the item or scorer call all apply. A route that has been removed keeps those that it
    had when it was last seen here.

    Args:
        routes: Routes and tenants of the configuration in force.
        job: Job of the item.
        item: The item.
    """

    def __init__(self, routes: RouteTable, job: Job, item: JobItem) -> None:
        self._routes = routes
        self._job = job
        self._item = item
        self._last_seen: dict[tuple[str, str], AllowedRegions] = {}
        # Results by host and target, for one version of the configuration.
        self._cached: dict[tuple[str, str], AllowedRegions] = {}
        self._cached_version: int | None = None

    async def wait_until_known(self) -> None:
        """Wait for the configuration under which the job was accepted, or a newer one.

        An older one may lack restrictions that applied to the job when it was accepted.
        """
        await self._routes.wait_for_version(self._job.configuration_version)

    def of_generation(self) -> AllowedRegions:
        """Return the allowed regions of the item."""
        return self._of_request(self._job.host, self._item.target)

    def of_scorer_call(self) -> AllowedRegions:
        """Return the allowed regions of the item's scorer calls."""
        scorer = self._item.scorer
        return None if scorer is None else self._of_request(scorer.host, scorer.target)

    def _of_request(self, host: str, target: str) -> AllowedRegions:
        if self._cached_version != self._routes.version:
            self._cached.clear()
            self._cached_version = self._routes.version
        key = (host, target)
        if key not in self._cached:
            self._cached[key] = intersection(
                (
                    self._of_route(self._job.host, self._job.target),
                    self._of_route(host, target),
                    self._routes.allowed_regions_of_tenant(self._job.tenant),
                )
            )
        return self._cached[key]

    def _of_route(self, host: str, target: str) -> AllowedRegions:
        route = self._routes.lookup(host, target)
        if route is not None:
            self._last_seen[host, target] = route.allowed_regions
        return self._last_seen.get((host, target))
