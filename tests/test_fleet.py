"""A fleet in one process over sockets: samples are lost or duplicated while nodes restart."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from hollowrack_bench.live_load import LiveCallers
from hollowrack_bench.local_fleet import FleetConfig, LocalFleet
from hollowrack_standins.trainer import TrainerConfig, TrainerReport, TrainerStandin

RUN = "run"
CONFIG = TrainerConfig(run=RUN, num_steps=4, num_groups=4, group_size=4, train_s=0.2)


def _with_fleet(
    folder: Path, config: FleetConfig, test: Callable[[LocalFleet], Awaitable[None]]
) -> None:
    async def run() -> None:
        fleet = LocalFleet(config, folder)
        await fleet.start()
        try:
            await asyncio.wait_for(test(fleet), timeout=120)
        finally:
            await fleet.stop()

    asyncio.run(run())


def _assert_exactly_once(report: TrainerReport, config: TrainerConfig = CONFIG) -> None:
    expected = config.num_steps * config.num_groups * config.group_size
    assert len(report.delivered) == expected
    assert report.num_duplicated == report.num_incomplete_spans == report.num_stale == 0


def _ledger_leader(fleet: LocalFleet) -> str:
    leaders = [name for name, node in fleet.nodes.items() if node.core.host.leads(f"run:{RUN}")]
    assert leaders
    return leaders[-1]


def test_rolling_restart_keeps_in_memory_groups(tmp_path: Path) -> None:
    async def test(fleet: LocalFleet) -> None:
        trainer = TrainerStandin(CONFIG, fleet.urls(), fleet.publish_weights)
        callers = LiveCallers(fleet.urls())
        callers.start()

        async def restart_nodes(step: int) -> None:
            if step in (1, 2, 3):
                for name in list(fleet.nodes)[:2]:
                    zone = fleet.nodes[name].settings.zone
                    callers_address = fleet.nodes[name].callers_server.address
                    await fleet.stop_node(name)
                    await fleet.start_node(name, zone, callers_address)

        report = await trainer.run(restart_nodes)
        live = await callers.stop()
        _assert_exactly_once(report)
        assert live.num_wrong == 0
        assert live.codes["ClientPayloadError"] == 0, "a planned stop interrupts no response"
        assert not any(count > 1 for count in fleet.executions.values())

    _with_fleet(tmp_path, FleetConfig(), test)


def test_ledger_leader_crashes_twice_between_commit_and_acknowledgement(tmp_path: Path) -> None:
    async def test(fleet: LocalFleet) -> None:
        trainer = TrainerStandin(CONFIG, fleet.urls(), fleet.publish_weights)
        num_killed = 0

        async def kill_after_read() -> None:
            nonlocal num_killed
            if num_killed < 2:
                num_killed += 1
                await fleet.kill_node(_ledger_leader(fleet))

        trainer.before_acknowledge = kill_after_read
        report = await trainer.run()
        assert num_killed == 2
        _assert_exactly_once(report)

    _with_fleet(tmp_path, FleetConfig(), test)


def test_all_replicas_restart_at_once_from_their_journals(tmp_path: Path) -> None:
    async def test(fleet: LocalFleet) -> None:
        trainer = TrainerStandin(CONFIG, fleet.urls(), fleet.publish_weights)

        async def restart_all(step: int) -> None:
            if step == 2:
                addresses = {
                    name: (node.settings.zone, node.callers_server.address, node.core.address)
                    for name, node in fleet.nodes.items()
                }
                for name in addresses:
                    await fleet.kill_node(name)
                for name, (zone, callers_address, node_address) in addresses.items():
                    await fleet.start_node(name, zone, callers_address, node_address)

        report = await trainer.run(restart_all)
        _assert_exactly_once(report)

    _with_fleet(tmp_path, FleetConfig(num_nodes_per_zone=1, uses_data_dirs=True), test)
