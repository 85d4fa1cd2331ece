"""Trainer of the review's scripts: submits batch jobs, reads them and ends them."""

import asyncio
import base64
import json
from http import HTTPStatus
from typing import Any

from standins import HOST, MODEL, Fleet, Record

JOBS = "/jobs/"
SCORES = "/scores/"
READ_INTERVAL_S = 0.4
RETRY_INTERVAL_S = 0.3


def routes(**job_route: Any) -> list[dict[str, Any]]:
    """Return the routes of the batch jobs and of their reward calls."""
    common = {"hostname": HOST, "priority": 1, "max-attempts": 3, "target-latency-ms": 400}
    job = {"path-prefix": JOBS, "route-type": "rollout", "service": "model", "timeout-ms": 10000}
    score = {"path-prefix": SCORES, "route-type": "safe", "service": "portal", "timeout-ms": 1500}
    return [
        common
        | {"name": "jobs"}
        | job
        | {"result-deadline-ms": 7500, "queue-ttl-s": 40}
        | job_route,
        common | {"name": "scores"} | score | {"max-attempts": 4},
    ]


def services() -> list[dict[str, Any]]:
    """Return the services of the model workers and of the scorers."""
    engine = {"capacity": 8, "kv-capacity": 103490, "models": [{"name": MODEL}]}
    model = {"name": "model", "health-path": "/healthz", "max-connections": 150, "engine": engine}
    return [model, {"name": "portal", "health-path": "/healthz", "max-connections": 110}]


def item(item_id: str, group: str, work: str) -> dict[str, Any]:
    """Return an item; ``work`` is the body that tells a worker what to do."""
    return {
        "id": item_id,
        "path": f"{JOBS}x/{item_id}",
        "headers": {"Model": MODEL, "Token-Count": "270,400"},
        "body": base64.b64encode(work.encode()).decode(),
        "tokens": 670,
        "group": group,
        "scorer": {
            "id": f"s-{item_id}",
            "hostname": HOST,
            "path": f"{SCORES}{item_id}",
            "body": base64.b64encode(item_id.encode()).decode(),
        },
    }


class Trainer:
    """Takes one step at a time.

    Args:
        fleet: The system under test.
        record: Record of the run.
    """

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self._num_calls = 0

    def _next_edge(self) -> str:
        edges = self._fleet.running_edges()
        self._num_calls += 1
        return edges[self._num_calls % len(edges)]

    async def submit(
        self, job_id: str, step: int, items: list[dict[str, Any]], desired: int
    ) -> None:
        """Submit a batch job to one edge after the other until it is accepted."""
        while True:
            if await self.submit_at(self._next_edge(), job_id, step, items, desired):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def submit_at(
        self, edge: str, job_id: str, step: int, items: list[dict[str, Any]], desired: int
    ) -> bool:
        """Submit a batch job to an edge; returns whether it was accepted."""
        content = {"step": step, "model": MODEL, "min-version": 1, "desired": desired}
        body = json.dumps(content | {"requests": items}).encode()
        headers = {"Request-Id": job_id, "Content-Type": "application/json"}
        self._record.add("job sent", job=job_id, edge=edge, items=len(items))
        status, _ = await self._fleet.call(edge, "POST", f"{JOBS}{job_id}", headers, body)
        self._record.add("job answered", job=job_id, edge=edge, status=status)
        return status == HTTPStatus.ACCEPTED

    async def read(self, job_id: str, after: int) -> list[dict[str, Any]]:
        """Read the results from a position on; empty if there is no answer."""
        path = f"/api/lots/{job_id}?after-revision={after}"
        status, body = await self._fleet.call(self._next_edge(), "GET", path, {"Wait-Ms": "300"})
        results = json.loads(body)["results"] if status == HTTPStatus.OK else []
        for result in results:
            self._record.add("listed", job=job_id, id=result["id"], state=result["state"])
        return results

    async def end(self, job_id: str, edge: str | None = None) -> None:
        """End a batch job, again until that is acknowledged."""
        while True:
            self._record.add("end sent", job=job_id)
            status, _ = await self._fleet.call(
                edge or self._next_edge(), "DELETE", f"/api/lots/{job_id}"
            )
            self._record.add("end answered", job=job_id, status=status)
            if status == HTTPStatus.OK:
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def step(
        self,
        step: int,
        items: list[dict[str, Any]],
        desired: int,
        carried: set[str],
        limit_s: float,
    ) -> set[str]:
        """Take one step: submit, read until enough groups are whole, end, name the next version.

        Args:
            step: Number of the step.
            items: Items of the batch job.
            desired: Number of whole groups that the trainer waits for.
            carried: Groups of an earlier step, which are among those that it waits for.
            limit_s: Time after which the step is given up, in seconds.

        Returns:
            The groups that are not whole.
        """
        job_id = f"job-{step}"
        groups = {entry["group"] for entry in items}
        started_s = self._record.now_s()
        self._record.add("step asked", step=step, job=job_id)
        await self.submit(job_id, step, items, desired)
        listed: dict[str, str] = {}
        while True:
            for result in await self.read(job_id, len(listed)):
                listed[result["id"]] = result["state"]
            missing = {entry["group"] for entry in items if entry["id"] not in listed}
            if len(groups - missing) >= desired and not missing & carried:
                self._record.add("step whole", step=step, job=job_id)
                break
            if self._record.now_s() - started_s > limit_s:
                self._record.add("step out of time", step=step, job=job_id, missing=sorted(missing))
                break
            await asyncio.sleep(READ_INTERVAL_S)
        await self.end(job_id)
        self._record.add("version named", version=step + 1)
        self._fleet.store.put(f"op/version/{MODEL}", {"model": MODEL, "version": step + 1})
        return missing
