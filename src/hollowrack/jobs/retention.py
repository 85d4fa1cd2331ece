"""Removal of ended jobs from the store after a retention period."""

import asyncio

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import Leadership
from hollowrack.jobs.job_log import JobLog
from hollowrack.jobs.live_state import LiveState
from hollowrack.tasks import cancel_all

RETENTION_POLL_INTERVAL_S = 5.0
# Limits the write load on the store.
MAX_REMOVED_PER_POLL = 10


class JobRetention:
    """Removes ended jobs while this node is the leader.

    The removal lists a job's keys with their values. A job with allowed regions is therefore
    removed by one host in them, whether it leads or not.

    The retention period starts when this node receives the end of a job; a new leader may
    therefore retain a job longer, never shorter.

    Args:
        log: Durable state of jobs.
        live: Cluster state, with the jobs that were ended.
        leadership: States whether this node is the leader.
        retention_s: Retention period of ended jobs, in seconds.
    """

    def __init__(
        self, log: JobLog, live: LiveState, leadership: Leadership, retention_s: float
    ) -> None:
        self._log = log
        self._live = live
        self._leadership = leadership
        self._retention_s = retention_s
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic removal."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic removal."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(RETENTION_POLL_INTERVAL_S)
            await self._remove_due()

    async def _remove_due(self) -> None:
        due = [
            job_id
            for job_id, received_s in self._live.ended_jobs.items()
            if now_s() - received_s > self._retention_s and self._removes(job_id)
        ]
        for job_id in due[:MAX_REMOVED_PER_POLL]:
            if not await self._log.remove(job_id, self._live.regions.is_stored(job_id)):
                return
            logging.info(
                "job %s: removed from the store, ended more than %g s ago",
                job_id,
                self._retention_s,
            )

    def _removes(self, job_id: str) -> bool:
        """Whether this node removes a job once it is due."""
        if self._live.regions.is_stored(job_id):
            return self._live.is_designated_host(job_id)
        return self._leadership.is_leader
