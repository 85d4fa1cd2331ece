"""Handover of the unfinished jobs of a stopping process to other processes.

A handover is one write, on the condition that the job's owner entry is unchanged, and also the
entry of the next owner: a process that is stopping or has ended would not run the job. It is
retried until it succeeds; meanwhile the items continue to run. From the start of the drain on,
listings of results carry the condition that this process is still the owner, so that two owners
never both list, whichever of the writes are applied and when.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

from absl import logging

from hollowrack.clock import now_s
from hollowrack.coordination.store import NotDone, Unknown
from hollowrack.jobs.handover_schedule import HandoverSchedule
from hollowrack.jobs.job_log import AssignOutcome, JobLog, OpenJob
from hollowrack.jobs.job_runner import JobRunner
from hollowrack.jobs.live_state import LiveState

# Next owners whose entry turns out to have changed, before an attempt counts as failed.
MAX_SUCCESSORS_TRIED = 3


class HandoverOutcome(Enum):
    """Outcome of an attempt to hand one job over."""

    HANDED_OVER = "handed over"
    NOT_OWNED = "no longer owned by this process"
    NO_SUCCESSOR = "no process to hand it over to"
    FAILED = "the store failed or did not confirm the write"


class JobHandover:
    """Hands the jobs of one process over.

    Args:
        log: Durable state of jobs.
        live: Cluster state as seen by this node.
        is_running: Returns whether this process still runs a job.
        hold_remainder: Holds the remainder of a job for its next owner, before the job is stopped.
        schedule: Times of the attempts.
        has_lost_session: Returns whether this process lost its session recently, as others may have
            done; entries of other processes may then be missing although they are alive.
    """

    def __init__(
        self,
        log: JobLog,
        live: LiveState,
        is_running: Callable[[str], bool],
        hold_remainder: Callable[[JobRunner], None],
        schedule: HandoverSchedule,
        has_lost_session: Callable[[], bool],
    ) -> None:
        self._log = log
        self._live = live
        self._is_running = is_running
        self._hold_remainder = hold_remainder
        self._schedule = schedule
        self._has_lost_session = has_lost_session
        self._failed: list[JobRunner] = []
        self._is_retrying = False
        # Owner entries that were read because the outcome of a write was unknown.
        self._read_entries: dict[str, OpenJob] = {}
        # Jobs with a write that may have been applied; the entry is read before the next write.
        self._unresolved: set[str] = set()

    async def start(self, runners: list[JobRunner]) -> None:
        """Try to hand jobs over once."""
        self._failed = await self._try_all(runners)
        # Reads that wait for results are answered before the front end closes its connections.
        for runner in self._failed:
            runner.release_readers()

    async def complete(self) -> None:
        """Try the jobs that failed again until none is left or the schedule ends."""
        num_attempts = 1
        self._is_retrying = True
        while self._failed and (start_s := self._schedule.next_start_s(now_s())) is not None:
            tasks = {runner.task for runner in self._failed}
            await asyncio.wait(tasks, timeout=max(0.0, start_s - now_s()))
            self._failed = await self._retry(self._failed)
            num_attempts += 1
        for runner in self._failed:
            logging.warning(
                "job %s: not handed over, %d attempts failed", runner.job.id, num_attempts
            )

    async def _retry(self, failed: list[JobRunner]) -> list[JobRunner]:
        """Try jobs again; returns those that failed.

        One job is tried first, and the others only if the store executed its calls, so that the
        number of jobs does not multiply the calls to a failing store.
        """
        failed = [runner for runner in failed if self._is_running(runner.job.id)]
        if not failed:
            return []
        first, *others = failed
        if await self._try(first) is HandoverOutcome.FAILED:
            # Only this job may be affected, so another one is first in the next attempt.
            return [*others, first]
        return await self._try_all(others)

    async def _try_all(self, runners: list[JobRunner]) -> list[JobRunner]:
        """Try to hand jobs over; returns those that failed."""
        outcomes = await asyncio.gather(*(self._try(runner) for runner in runners))
        return [
            runner
            for runner, outcome in zip(runners, outcomes, strict=True)
            if outcome is HandoverOutcome.FAILED
        ]

    async def _try(self, runner: JobRunner) -> HandoverOutcome:
        """Try to hand one job over; without a timely answer of the store the attempt failed."""
        timeout_s = self._schedule.timeout_s(now_s())
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._attempt(runner)
        except TimeoutError:
            outcome = HandoverOutcome.FAILED
            logging.warning(
                "job %s: the store did not answer within %.2f s of the handover",
                runner.job.id,
                timeout_s,
            )
        if outcome is not HandoverOutcome.FAILED:
            self._hold_remainder(runner)
            await runner.stop()
        return outcome

    async def _attempt(self, runner: JobRunner) -> HandoverOutcome:
        job_id = runner.job.id
        if job_id in self._unresolved:
            outcome = await self._read_owner(job_id)
            if outcome is not None:
                return outcome
        is_saved = await runner.save_progress()
        # The first attempt lists nothing: results of the last moment are not worth a further call.
        if is_saved and self._is_retrying:
            await runner.list_finished()
        if runner.is_fully_listed:
            return HandoverOutcome.NOT_OWNED
        changed: set[str] = set()
        for _ in range(MAX_SUCCESSORS_TRIED):
            outcome = await self._assign(runner, changed)
            if outcome is not None:
                return outcome
        return HandoverOutcome.FAILED

    async def _assign(self, runner: JobRunner, changed: set[str]) -> HandoverOutcome | None:
        """Write the next owner of a job.

        Args:
            runner: Runs the job here.
            changed: Processes that are not chosen, as their entry has changed; extended.

        Returns:
            The outcome; ``None`` if another choice can be written at once.
        """
        job_id = runner.job.id
        entry = self._known_entry(job_id)
        if entry is None:
            return await self._read_owner(job_id)
        successor = self._live.successor(runner.job, changed)
        if successor is None:
            may_appear = changed or self._has_lost_session() or self._live.is_rolling_restart
            return HandoverOutcome.FAILED if may_appear else HandoverOutcome.NO_SUCCESSOR
        runner.require_owner_revision(entry.revision)
        self._unresolved.add(job_id)
        condition = None if self._has_lost_session() else self._live.node_condition(successor)
        outcome = await self._log.try_assign(entry, successor, condition)
        if outcome is AssignOutcome.ASSIGNED:
            logging.info("job %s: handed over to %s", job_id, successor)
            return HandoverOutcome.HANDED_OVER
        if outcome is AssignOutcome.UNKNOWN:
            return await self._read_owner(job_id) or HandoverOutcome.FAILED
        if outcome is AssignOutcome.OWNER_CHANGED:
            return await self._read_owner(job_id)
        self._unresolved.discard(job_id)
        if outcome is AssignOutcome.NOT_DONE:
            return HandoverOutcome.FAILED
        logging.info("job %s: not handed over to %s, its entry has changed", job_id, successor)
        changed.add(successor)
        return None

    def _known_entry(self, job_id: str) -> OpenJob | None:
        """Return the newest known owner entry of a job."""
        known = [
            entry
            for entry in (self._live.open_jobs.get(job_id), self._read_entries.get(job_id))
            if entry is not None and entry.owner == self._log.owner
        ]
        return max(known, key=lambda entry: entry.revision, default=None)

    async def _read_owner(self, job_id: str) -> HandoverOutcome | None:
        """Read the owner entry of a job; ``None`` if this process is certainly its owner."""
        self._unresolved.add(job_id)
        entry = await self._log.open_entry(job_id)
        if isinstance(entry, NotDone | Unknown):
            return HandoverOutcome.FAILED
        self._unresolved.discard(job_id)
        if entry is not None and entry.owner == self._log.owner:
            self._read_entries[job_id] = entry
            return None
        owner = "no process, as it is finished or ended" if entry is None else entry.owner
        logging.info("job %s: owned by %s according to the store", job_id, owner)
        return HandoverOutcome.NOT_OWNED
