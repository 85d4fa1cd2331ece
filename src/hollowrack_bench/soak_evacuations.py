"""Evacuations of zones in a soak, and what workers of evacuated zones received."""

import asyncio
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.platform import names
from hollowrack_standins.users_platform import PlatformStoreStandin, WorkerArrival

ZONES = ("z1", "z2", "z3")
# Time after which no request may reach an evacuated zone, and for which a node must have been
# connected to the store without interruption.
EVACUATION_LIMIT_S = 5.0
CONTACT_S = 4.0
# Longer than the limit, as nothing can be checked earlier.
MIN_EVACUATION_S = 5.5
MAX_EVACUATION_S = 8.0
MAX_STAGGER_S = 2.0
OVERLAP_SHARE = 0.5


@dataclass
class Evacuation:
    """An evacuation of a zone.

    Attributes:
        zone: The zone.
        start_s: Time at which the store had acknowledged it, on the loop's clock.
        end_s: Time just before it was lifted; infinite until then.
    """

    zone: str
    start_s: float
    end_s: float = float("inf")


class Evacuations:
    """Evacuates zones and records when.

    Args:
        store: The platform's store.
        rng: Source of zones and durations.

    Attributes:
        records: All evacuations.
    """

    def __init__(self, store: PlatformStoreStandin, rng: random.Random) -> None:
        self.records: list[Evacuation] = []
        self._store = store
        self._rng = rng
        self._active: dict[str, Evacuation] = {}

    async def run(self) -> None:
        """Evacuate two zones, overlapping or back to back."""
        first, second = self._rng.sample(ZONES, 2)
        if self._rng.random() < OVERLAP_SHARE:
            stagger_s = self._rng.uniform(0.0, MAX_STAGGER_S)
            await asyncio.gather(self._evacuate(first), self._evacuate(second, stagger_s))
        else:
            await self._evacuate(first)
            await self._evacuate(second)

    def lift_all(self) -> None:
        """Lift all evacuations."""
        for zone in list(self._active):
            self._lift(zone)

    async def _evacuate(self, zone: str, delay_s: float = 0.0) -> None:
        await asyncio.sleep(delay_s)
        if zone in self._active:
            return
        self._store.put(names.EVACUATION_PREFIX + zone, {})
        self._active[zone] = Evacuation(zone, now_s())
        self.records.append(self._active[zone])
        await asyncio.sleep(self._rng.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S))
        self._lift(zone)

    def _lift(self, zone: str) -> None:
        evacuation = self._active.pop(zone, None)
        if evacuation is not None:
            evacuation.end_s = now_s()
            self._store.remove(names.EVACUATION_PREFIX + zone)


def late_arrivals(
    evacuations: Sequence[Evacuation],
    arrivals: Iterable[WorkerArrival],
    disturbances: Sequence[tuple[float, float]],
) -> list[tuple[WorkerArrival, Evacuation]]:
    """Return the arrivals in evacuated zones that came too late.

    Args:
        evacuations: All evacuations.
        arrivals: Requests that reached workers and were not answered 421.
        disturbances: Start and end of each time during which a node may not have been connected to
            the store, or a request may have been held up on its way. Arrivals during the contact
            time after one are allowed, as it is not known which node sent them.
    """
    late: list[tuple[WorkerArrival, Evacuation]] = []
    for arrival in arrivals:
        if any(start <= arrival.at_s <= end + CONTACT_S for start, end in disturbances):
            continue
        for evacuation in evacuations:
            is_late = evacuation.start_s + EVACUATION_LIMIT_S < arrival.at_s < evacuation.end_s
            if evacuation.zone == arrival.zone and is_late:
                late.append((arrival, evacuation))
                break
    return late
