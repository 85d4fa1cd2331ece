"""Observers and followers of nodes that run the version before ``other_prefixes`` was added."""

import asyncio
from dataclasses import replace

import pytest

from hollowrack.coordination.store import Put
from hollowrack.coordination.watch_messages import SharedChanges, WatchRequest
from hollowrack_bench.virtual_time import run_virtual
from tests.coordination.test_observers import HOSTS, LEADER, Network, Tree


class MixedNetwork(Network):
    """Connections on which some nodes answer as an earlier version does."""

    earlier: frozenset[str] = frozenset()

    async def watch(self, address: str, request: WatchRequest) -> SharedChanges | None:
        answer = await super().watch(address, request)
        if answer is None or address not in self.earlier:
            return answer
        return replace(answer, other_prefixes=None)


@pytest.mark.parametrize("earlier", [[LEADER], HOSTS, [LEADER, *HOSTS]])
@pytest.mark.parametrize("key", ["o/a", "w/a"])
def test_changes_pass_nodes_of_an_earlier_version_without_more_store_calls(
    earlier: list[str], key: str
) -> None:
    """Guards against mirrors that are taken for stale because an earlier version sends no ages."""

    async def main() -> None:
        tree = Tree(MixedNetwork())
        assert isinstance(tree.network, MixedNetwork)
        tree.network.earlier = frozenset(earlier)
        await asyncio.sleep(5.0)
        num_calls = tree.core.num_calls
        for number in range(20):
            tree.core.transact([], [Put(key, str(number).encode())], [])
            await tree.check_within_limit(key, str(number).encode(), list(tree.nodes.values()))
            await asyncio.sleep(1.0)
        assert tree.core.num_calls - num_calls < 120
        await tree.stop()

    run_virtual(main())
