"""Guards against other choices than before where all zones are in one region.

The digests were taken from the code before regions were known to the choice of workers and nodes.
"""

import random

import pytest

from hollowrack.forwarding.workers import WorkerDirectory
from hollowrack.regions.topology import RegionTopology
from hollowrack_bench.virtual_time import run_virtual
from tests.regions.choices import ZONES, digest_of_choices
from tests.regions.nodes import digest_of_orders, make_node

CHOICES_DIGEST = "886c15ac44d327d3c1ec781fa24a0e3e"
ORDERS_DIGESTS = {
    "z1": "098875d9783e7884f0a6f4d4735a105e",
    "z9": "a951fc52bbe526e78cc7fd6070f2c956",
}
OTHERS = {f"n{index}": ZONES[index % 3] for index in range(9)}
TOPOLOGIES = [
    RegionTopology(),
    RegionTopology({}, "z1"),
    RegionTopology(dict.fromkeys(ZONES, "r1"), "z1"),
    # The zone of one worker is not in the table.
    RegionTopology({"z1": "r1", "z2": "r1"}, "z1"),
    # The region of the node is unknown.
    RegionTopology({"z1": "r1", "z2": "r2"}, "z9"),
]


@pytest.mark.parametrize("topology", TOPOLOGIES)
def test_choices_of_workers_and_random_draws_are_as_before(topology: RegionTopology) -> None:
    async def main() -> str:
        return digest_of_choices(lambda rng: WorkerDirectory("z1", rng, topology))

    assert run_virtual(main()) == CHOICES_DIGEST


@pytest.mark.parametrize("topology", TOPOLOGIES)
@pytest.mark.parametrize("zone", sorted(ORDERS_DIGESTS))
def test_orders_of_nodes_and_random_draws_are_as_before(
    topology: RegionTopology, zone: str
) -> None:
    async def main() -> str:
        rng = random.Random(13)
        return digest_of_orders(make_node(rng, zone, OTHERS, topology=topology), rng)

    assert run_virtual(main()) == ORDERS_DIGESTS[zone]


def test_digests_depend_on_the_choices() -> None:
    """A digest that is the same whatever is chosen would show nothing."""

    async def main() -> tuple[str, str]:
        topology = RegionTopology({"z1": "r1", "z2": "r1", "z3": "r2"}, "z1")
        rng = random.Random(13)
        return (
            digest_of_choices(lambda rng: WorkerDirectory("z1", rng, topology)),
            digest_of_orders(make_node(rng, "z1", OTHERS, topology=topology), rng),
        )

    choices, orders = run_virtual(main())
    assert choices != CHOICES_DIGEST
    assert orders != ORDERS_DIGESTS["z1"]
