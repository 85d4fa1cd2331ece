"""Metrics of evacuations: a zone that is left empty unnoticed, or labels without bound."""

from prometheus_client import CollectorRegistry, generate_latest

from hollowrack.evacuation.zones import MAX_LABELED_ZONES
from hollowrack.observability.edge_metrics import EdgeCollector, EdgeCounters
from tests.evacuation.helpers import Scene, run_scene


def scrape(scene: Scene) -> str:
    registry = CollectorRegistry(auto_describe=False)
    registry.register(EdgeCollector(scene.node, EdgeCounters()))
    return generate_latest(registry).decode()


def test_metrics_show_number_age_and_stopped_requests() -> None:
    async def scenario(scene: Scene) -> None:
        assert "hollowrack_zones_evacuated 0.0" in scrape(scene)
        assert "zone=" not in scrape(scene)
        scene.node.zone_evacuated("z1")
        scene.node.evacuated.record_stopped("z1")
        text = scrape(scene)
        assert "hollowrack_zones_evacuated 1.0" in text
        assert 'hollowrack_zone_evacuated_seconds{zone="z1"} 0.0' in text
        assert 'hollowrack_zone_requests_stopped_total{zone="z1"} 1.0' in text
        for number in range(5 * MAX_LABELED_ZONES):
            scene.node.zone_evacuated(f'x"{number}\n')
        text = scrape(scene)
        assert f"hollowrack_zones_evacuated {5 * MAX_LABELED_ZONES + 1}.0" in text
        assert text.count("hollowrack_zone_evacuated_seconds{") == MAX_LABELED_ZONES

    run_scene(scenario)
