"""Jobs that a stopping process owns but does not run; they are assigned to another process.

Such a job was handed over to this process, or stored or claimed by it, just before its stop.
Without this it would wait until the process has ended.
"""

import asyncio
from collections.abc import Callable

from absl import logging

from hollowrack.clock import now_s
from hollowrack.jobs.job_log import AssignOutcome, JobLog, OpenJob
from hollowrack.jobs.live_state import LiveState

POLL_INTERVAL_S = 0.25
# A job that this process has just finished is also open and not run for a moment.
UNSTARTED_GRACE_S = 0.4
# Limits the calls to a failing store.
FAILURE_RETRY_INTERVAL_S = 0.6


class UnstartedJobs:
    """Assigns the unstarted jobs of one process to others.

    The assignment is conditional on the owner entry, and this process never runs such a job, so an
    unknown outcome needs no read.

    Args:
        log: Durable state of jobs.
        live: Cluster state as seen by this node.
        is_known: Returns whether this process runs a job or has finished it.
    """

    def __init__(self, log: JobLog, live: LiveState, is_known: Callable[[str], bool]) -> None:
        self._log = log
        self._live = live
        self._is_known = is_known
        self._due_s: dict[str, float] = {}

    def find(self) -> dict[str, OpenJob]:
        """Return the unstarted jobs by identifier."""
        return {
            job.job_id: job
            for job in self._live.open_jobs.values()
            if job.owner == self._log.owner and not self._is_known(job.job_id)
        }

    async def run(self) -> None:
        """Assign unstarted jobs until there are none."""
        while unstarted := self.find():
            self._due_s = {
                job_id: self._due_s.get(job_id, now_s() + UNSTARTED_GRACE_S) for job_id in unstarted
            }
            due = [unstarted[job_id] for job_id, due_s in self._due_s.items() if due_s <= now_s()]
            for job in due:
                self._due_s[job.job_id] = now_s() + FAILURE_RETRY_INTERVAL_S
            await asyncio.gather(*(self._assign(job) for job in due))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _assign(self, job: OpenJob) -> None:
        successor = self._live.successor_of_unread(job.job_id)
        if successor is None:
            return
        condition = self._live.node_condition(successor)
        outcome = await self._log.try_assign(job, successor, condition)
        if outcome is AssignOutcome.ASSIGNED:
            logging.info("job %s: handed over to %s, not started here", job.job_id, successor)
