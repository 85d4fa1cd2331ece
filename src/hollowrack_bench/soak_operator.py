"""Operator of a soak: writes configurations whose routes are added and removed."""

import copy
import random
from typing import Any

from hollowrack.platform import names
from hollowrack_standins.users_platform import PlatformStoreStandin

NUM_SPARE_ROUTES = 6


class SoakOperator:
    """Writes configurations with increasing versions; routes of the first one are never removed.

    Args:
        store: The platform's store.
        content: The first configuration.
        rng: Source of the changes.

    Attributes:
        num_changes: Number of configurations written.
    """

    def __init__(
        self, store: PlatformStoreStandin, content: dict[str, Any], rng: random.Random
    ) -> None:
        self.num_changes = 0
        self._store = store
        self._content = content
        self._rng = rng
        self._spare: dict[str, dict[str, Any]] = {}

    def add_route(self, like: str, prefix: str) -> None:
        """Add a copy of a route under another prefix.

        Args:
            like: Prefix of the route to copy.
            prefix: Prefix of the new route.
        """
        original = next(route for route in self._content["routes"] if route["path-prefix"] == like)
        self._spare[prefix] = copy.deepcopy(original) | {"path-prefix": prefix}
        self._write()

    def remove_route(self, prefix: str) -> None:
        """Remove an added route, if it exists, and write the configuration."""
        self._spare.pop(prefix, None)
        self._write()

    def restrict_route(self, prefix: str, regions: list[str] | None) -> None:
        """Set the allowed regions of a route of the first configuration.

        Args:
            prefix: Prefix of the route.
            regions: The allowed regions; ``None`` for all.
        """
        route = next(route for route in self._content["routes"] if route["path-prefix"] == prefix)
        route.pop(names.ALLOWED_REGIONS, None)
        if regions is not None:
            route[names.ALLOWED_REGIONS] = regions
        self._write()

    def change_spare_routes(self) -> None:
        """Add or remove a random route that no caller uses."""
        prefix = f"/spare-{self._rng.randrange(NUM_SPARE_ROUTES)}/"
        if prefix in self._spare:
            self.remove_route(prefix)
        else:
            self.add_route(self._content["routes"][0]["path-prefix"], prefix)

    def _write(self) -> None:
        self.num_changes += 1
        self._content["version"] += self._rng.randint(1, 3)
        routes = [*self._content["routes"], *self._spare.values()]
        self._store.put(names.CONFIGURATION_KEY, self._content | {"routes": routes})
