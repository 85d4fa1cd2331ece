"""Edge processes must report each request once, for its tenant, and order capacity."""

import asyncio
from typing import Any

import pytest

from hollowrack_standins.duty_service import DutyServiceStandin
from tests.platform.helpers import CONFIGURATION, System, run_system, until
from tests.platform.test_tenants import TENANTS, authorization

WINDOW_S = 1.0


def scaled_configuration() -> dict[str, Any]:
    services = [dict(entry) for entry in CONFIGURATION["services"]]
    services[1]["scaling"] = {
        "min-replicas": 1,
        "max-replicas": 4,
        "boot-s": 0.5,
        "spot-price": 0.2,
        "zone-prices": {"z1": 1.0},
    }
    return CONFIGURATION | {"version": 4, "services": services, "tenants": TENANTS}


@pytest.mark.parametrize("bounds", [{}, {"usage-late-s": 6, "usage-tolerance": 0.05}])
def test_usage_is_reported_by_tenant_and_capacity_is_ordered(bounds: dict[str, Any]) -> None:
    async def scenario(system: System) -> None:
        service = DutyServiceStandin()
        await service.server.start()
        system.store.put("op/config", scaled_configuration())
        settings = {
            "bounds": {"lease-ms": 300, "report-window-s": WINDOW_S} | bounds,
            "cloud": {
                "address": service.server.address,
                "duties": ["usage", "autoscale"],
            },
        }
        try:
            for name in ("d0", "d1"):
                await system.start_edge(name, settings)
                await system.wait_until_ready(name)
            await until(lambda: bool(service.core.reports))
            for number in range(12):
                key = "ka1" if number % 3 else "kb1"
                answer = await system.send(
                    "/plain/x",
                    headers=authorization(key),
                    request_id=f"q{number}",
                    node=f"d{number % 2}",
                )
                assert answer.status == 200
                await asyncio.sleep(0.05)
            refused = await system.send("/plain/x", request_id="none", node="d0")
            assert refused.status == 401

            def total(tenant: str) -> int:
                return sum(counts.get(tenant, 0) for counts in service.core.reports.values())

            await until(lambda: total("ana") + total("bob") >= 12)
            assert (total("ana"), total("bob")) == (8, 4)
            assert service.core.orders == {("llm", "z1", False): 2}
            assert service.core.violations == []
        finally:
            await service.server.crash()

    run_system(scenario, num_edges=0)
