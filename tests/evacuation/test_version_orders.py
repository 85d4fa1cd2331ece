"""Version orders and evacuated zones: orders or polls reach a zone, or other loads wait for it."""

import asyncio

from hollowrack.forwarding.types import Worker
from hollowrack.weights.version_reconciler import WorkerReport
from tests.weights.test_version_reconciler import MODEL, Scene, run_scene


def move_to_zone(scene: Scene, worker_id: str, zone: str) -> None:
    """Update the entry of a worker of the scene with another zone."""
    versions = {MODEL: scene.workers.versions.get(worker_id, 1)}
    worker = Worker(worker_id, "svc", "127.0.0.1:1", zone, 8, False, versions)
    scene.reconciler._workers.update(worker)


def evacuate(scene: Scene, *zones: str) -> None:
    scene.reconciler._workers.evacuated_zones = zones
    scene.reconciler._workers.evacuated_zones_changed()


def record_reports(scene: Scene) -> list[str]:
    """Record the workers that are asked for reports."""
    asked: list[str] = []
    report = scene.workers.report

    async def recorded(worker: Worker) -> WorkerReport | None:
        asked.append(worker.id)
        return await report(worker)

    scene.workers.report = recorded  # type: ignore[method-assign]
    return asked


def test_evacuated_workers_get_no_order_and_no_poll_until_the_evacuation_is_lifted() -> None:
    async def scenario(scene: Scene) -> None:
        asked = record_reports(scene)
        move_to_zone(scene, "w0", "gone")
        evacuate(scene, "gone")
        scene.announced[MODEL] = 2
        await asyncio.sleep(4.0)
        assert {name: scene.workers.versions[name] for name in ("w1", "w2", "w3")} == {
            "w1": 2,
            "w2": 2,
            "w3": 2,
        }
        assert "w0" not in asked
        scene.announced[MODEL] = 3
        await asyncio.sleep(4.0)
        assert "w0" not in asked
        evacuate(scene)
        await asyncio.sleep(4.0)
        assert set(scene.workers.versions.values()) == {3}
        assert [order.load.worker.id for order in scene.workers.orders].count("w0") == 1

    run_scene(scenario)


def test_load_in_progress_in_an_evacuated_zone_is_neither_polled_nor_waited_for() -> None:
    """The loads of the other workers waited for reports that were never asked for."""

    async def scenario(scene: Scene) -> None:
        scene.workers.load_s = 60.0
        scene.announced[MODEL] = 2
        await asyncio.sleep(1.5)
        loading = {order.load.worker.id for order in scene.workers.orders}
        assert len(loading) == 2
        for name in loading:
            move_to_zone(scene, name, "gone")
        scene.workers.load_s = 0.9
        evacuate(scene, "gone")
        await asyncio.sleep(0.15)
        asked = record_reports(scene)
        await asyncio.sleep(5.0)
        others = {"w0", "w1", "w2", "w3"} - loading
        assert set(asked) == others
        assert all(scene.workers.versions[name] == 2 for name in others)
        await asyncio.sleep(60.0)
        assert set(asked) == others
        evacuate(scene)
        await asyncio.sleep(3.0)
        assert set(scene.workers.versions.values()) == {2}

    run_scene(scenario)


def test_order_is_not_sent_if_the_zone_is_evacuated_after_the_report() -> None:
    async def scenario(scene: Scene) -> None:
        report = scene.workers.report

        async def evacuate_after_report(worker: Worker) -> WorkerReport | None:
            answer = await report(worker)
            evacuate(scene, "z")
            return answer

        scene.workers.report = evacuate_after_report  # type: ignore[method-assign]
        scene.announced[MODEL] = 2
        await asyncio.sleep(5.0)
        assert scene.workers.orders == []

    run_scene(scenario)
