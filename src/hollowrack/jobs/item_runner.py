"""Execution of one item of a job: generation, check of its weight versions, scoring."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from absl import logging

from hollowrack.clock import now_s
from hollowrack.forwarding.back_end import BackEndCall
from hollowrack.forwarding.dispatch_rank import NO_DEADLINE_S, DispatchRank, WorkKind
from hollowrack.forwarding.dispatch_statistics import WaitKind
from hollowrack.forwarding.forwarder import CompleteAnswer, ForwardRequest
from hollowrack.forwarding.resumable_run import (
    ResumableRun,
    RunEndedError,
    RunEndReason,
    RunLimits,
    VersionedEvent,
)
from hollowrack.forwarding.run_waits import RunWaits
from hollowrack.forwarding.types import Route, Worker, WorkerIncarnation
from hollowrack.forwarding.workers import Eligible, both
from hollowrack.jobs.item_eligibility import ItemEligibility
from hollowrack.jobs.item_migration_policy import ItemMigrationPolicy
from hollowrack.jobs.item_order import ItemRank
from hollowrack.jobs.item_regions import ItemRegions
from hollowrack.jobs.item_services import GiveUpReason, ItemServices
from hollowrack.jobs.job_schedule import JobSchedule
from hollowrack.jobs.types import ItemResult, Job, JobItem, ScorerCall
from hollowrack.quarantine.fingerprint import fingerprint_of
from hollowrack.regions.allowed_regions import AllowedRegions
from hollowrack.results import ResultCode

EVENT_TIMEOUT_S = 1.5
RUN_TIMEOUT_S = 30.0
MAX_STABLE_WAIT_S = 4.0
MIN_SCORER_TIMEOUT_S = 0.6
SCORER_TIMEOUT_PER_TARGET_LATENCY = 2.0
SCORER_RETRY_INTERVAL_S = 0.1
# Limits CPU load and log volume if an unexpected error recurs at once.
ERROR_RETRY_INTERVAL_S = 1.0
SCORER_METHOD = "POST"
HTTP_SUCCESS = range(200, 300)
HTTP_INTERNAL_SERVER_ERROR = 500


_REASON_OF_RUN_END = {
    RunEndReason.REJECTED: GiveUpReason.REJECTED,
    RunEndReason.FAILED_TOO_OFTEN: GiveUpReason.FAILED_TOO_OFTEN,
}


class ItemGivenUpError(Exception):
    """Raised when an item can never be completed."""

    def __init__(self, reason: GiveUpReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class ItemRunner:
    """Runs one item until it has a result.

    Args:
        services: Components shared by all item runners of the node.
        job: Job of the item.
        item: The item.
        schedule: Sequence number and deadline of the job on this node.
        rank_of: Returns the current rank of an item, by its identifier, in the order of its job.
        on_overrun: Called whenever the item exceeds the estimate of its length.
        saved_events: Events that an earlier owner of the job generated, from the first one on.

    Attributes:
        events: Events generated so far.
        num_restarts: How often generation was restarted from the beginning.
        is_generation_complete: Whether the text is complete.
        route: Route of the job; ``None`` until it is known.
        active_service: Service that generates the item or whose slot it waits for, else ``None``.
        is_waiting_for_slot: Whether it waits for a slot there.
    """

    def __init__(
        self,
        services: ItemServices,
        job: Job,
        item: JobItem,
        schedule: JobSchedule,
        rank_of: Callable[[str], ItemRank],
        on_overrun: Callable[[], None],
        saved_events: Sequence[VersionedEvent] = (),
    ) -> None:
        self.events: list[VersionedEvent] = list(saved_events)
        self.num_restarts = 0
        self.is_generation_complete = False
        self.route: Route | None = None
        self.active_service: str | None = None
        self.is_waiting_for_slot = False
        self._services = services
        # Without regions in the settings no configuration names any.
        has_regions = services.workers.has_regions
        self._regions = ItemRegions(services.routes, job, item) if has_regions else None
        self._job = job
        self._item = item
        self._schedule = schedule
        self._rank_of = rank_of
        self._on_overrun = on_overrun
        self._priority = 0
        self._waits: RunWaits | None = None
        self._deadline_s = NO_DEADLINE_S

    @property
    def item_id(self) -> str:
        """Identifier of the item in its job."""
        return self._item.id

    @property
    def num_tokens_left(self) -> int:
        """Estimated number of tokens left to generate; 0 if unknown."""
        if self.is_generation_complete:
            return 0
        return self._services.lengths.num_tokens_left(self._item.expected_tokens, len(self.events))

    @property
    def holds_slot(self) -> bool:
        """Whether it holds a slot at a worker now."""
        return self._waits is not None and self._waits.is_at_worker

    async def run(self) -> ItemResult:
        """Run the item until it is complete or given up."""
        started_s = now_s()
        result = await self._run_within_time_limit()
        self._services.queue.statistics.record_wait(WaitKind.WHOLE_ITEM, now_s() - started_s)
        return result

    async def _run_within_time_limit(self) -> ItemResult:
        job_route = self.route = await self._route_of(self._job.target)
        if job_route is not None:
            self._priority = job_route.priority
            self._deadline_s = self._schedule.deadline_s(job_route)
        time_limit = asyncio.timeout_at(_give_up_deadline_s(job_route))
        try:
            async with time_limit:
                return await self._run_until_ended()
        except ItemGivenUpError as error:
            return self._give_up(error.reason)
        except TimeoutError:
            return self._give_up(GiveUpReason.TIME_IS_UP)

    def _give_up(self, reason: GiveUpReason) -> ItemResult:
        """Log and count an item that is given up, and return its result.

        No other code creates an incomplete result.
        """
        self._services.num_given_up[reason] += 1
        logging.warning(
            "item %s of job %s: given up with %d events, %s (%s), last waiting: %s",
            self._item.id,
            self._job.id,
            len(self.events),
            reason.value,
            self._services.routes.describe(),
            "nothing" if self._waits is None else self._waits.describe(),
        )
        return ItemResult(self._item.id, is_complete=False)

    async def _run_until_ended(self) -> ItemResult:
        """Run the item, and retry after every error other than a reason to give it up.

        Raises:
            ItemGivenUpError: If the item can never be completed.
        """
        while True:
            try:
                return await self._run_once()
            except ItemGivenUpError:
                raise
            except Exception:
                logging.exception(
                    "item %s of job %s: unexpected error, retrying", self._item.id, self._job.id
                )
                await asyncio.sleep(ERROR_RETRY_INTERVAL_S)

    async def _route_of(self, target: str) -> Route | None:
        """Return the route of a path; ``None`` if the configuration has none.

        Waits for the configuration version under which the job was accepted, or a later one. A node
        that lags may have an older one, and a route that is absent from that has not been removed.
        """
        version = self._job.configuration_version
        return await self._services.routes.lookup_since(self._job.host, target, version)

    @property
    def in_regions(self) -> Eligible:
        """Condition that a worker is in the allowed regions of the item."""
        return self._services.workers.in_regions(self._allowed_regions())

    def _allowed_regions(self) -> AllowedRegions:
        return None if self._regions is None else self._regions.of_generation()

    def _scorer_regions(self) -> AllowedRegions:
        return None if self._regions is None else self._regions.of_scorer_call()

    async def _run_once(self) -> ItemResult:
        if self._regions is not None and self._services.workers.has_several_regions:
            await self._regions.wait_until_known()
        if not self.is_generation_complete:
            await self._generate_until_accepted()
            self.is_generation_complete = True
        text = "\n".join(event.event.data for event in self.events)
        return await self._score(text, self._versions())

    async def _generate_until_accepted(self) -> None:
        """Generate the text, and again if it mixes weight versions where the route allows one.

        Raises:
            ItemGivenUpError: If the item can never be completed.
        """
        while True:
            route = await self._route_of(self._item.target)
            if route is None:
                raise ItemGivenUpError(GiveUpReason.ROUTE_ENDED)
            try:
                await self._generate(route)
            except RunEndedError as error:
                if error.reason is RunEndReason.QUARANTINED:
                    await self._wait_in_quarantine()
                    continue
                raise ItemGivenUpError(_REASON_OF_RUN_END[error.reason]) from error
            versions = self._versions()
            if not route.needs_single_version or len(versions) <= 1:
                return
            logging.info(
                "item %s: generated by weight versions %s where the route allows one, restarting",
                self._item.id,
                versions,
            )
            self.events = []
            self.num_restarts += 1

    async def _wait_in_quarantine(self) -> None:
        """Wait until the item may be sent to a worker again, unless its time limit ends first."""
        logging.warning(
            "item %s of job %s: waits in quarantine, too many workers crashed while running it",
            self._item.id,
            self._job.id,
        )
        await self._services.quarantine.wait_until_lifted(fingerprint_of(self._call()))

    def _rank(self) -> DispatchRank:
        """Return the item's current rank in the queue."""
        rank = self._rank_of(self.item_id)
        # Items of concurrent groups are ordered by their latest start: a long item of a later job
        # precedes a short one of an earlier job that still has time.
        latest_start_s = self._deadline_s
        if not rank.group_rank:
            latest_start_s -= self._expected_time_s()
        return DispatchRank(
            self._priority,
            WorkKind.JOB_ITEM,
            rank.usefulness(self._deadline_s - now_s()),
            latest_start_s,
            self._schedule.sequence,
            rank.group_rank,
            -self.num_tokens_left,
        )

    def _expected_time_s(self) -> float:
        """Return the expected time left at a worker, in seconds; 0 while unknown."""
        tokens_per_s = self._services.slot_throughput.tokens_per_s
        return self.num_tokens_left / tokens_per_s if tokens_per_s > 0.0 else 0.0

    def _call(self) -> BackEndCall:
        return BackEndCall(
            self._item.id,
            "POST",
            self._item.target,
            (("Host", self._job.host), *self._item.headers),
            self._item.body,
            tenant=self._job.tenant,
        )

    def _versions(self) -> tuple[int, ...]:
        """Return every weight version that generated an event, ascending."""
        versions = {event.weight_version for event in self.events}
        return tuple(sorted(version for version in versions if version is not None))

    async def _generate(self, route: Route) -> None:
        """Generate the events that follow those in ``events``, in one run at one service."""
        services = self._services
        service = services.routes.choose_service(route)
        self._waits = RunWaits(service, services.queue.statistics)
        priority = services.routes.worker_priority(self._priority, service)
        call = replace(self._call(), priority=priority)
        fingerprint = fingerprint_of(call)

        async def acquire(
            avoided: frozenset[WorkerIncarnation], may_begin: Eligible | None
        ) -> Worker:
            def condition() -> Eligible:
                eligibility = self._eligibility(fingerprint)
                return eligibility if may_begin is None else both(eligibility, may_begin)

            self._log_if_no_worker_in_regions(service)
            self.is_waiting_for_slot = True
            try:
                return await services.queue.acquire(
                    service,
                    self._rank,
                    condition(),
                    avoided,
                    None if self._regions is None else condition,
                )
            finally:
                self.is_waiting_for_slot = False

        limits = RunLimits(
            route.max_attempts,
            services.first_event_timeout,
            EVENT_TIMEOUT_S,
            RUN_TIMEOUT_S,
            max_stable_wait_s=MAX_STABLE_WAIT_S,
        )
        run = ResumableRun(
            call,
            services.back_ends,
            services.workers,
            acquire,
            services.read_version,
            self._accepts_version,
            limits,
            services.quarantine,
            self.events[-1].event.number if self.events else None,
            migration_policy=self._migration_policy(service, route),
            waits=self._waits,
            current_regions=None if self._regions is None else self._allowed_regions,
        )
        started_s = now_s()
        num_events_before = len(self.events)
        self.active_service = service
        try:
            await self._append_events(run)
        finally:
            self.active_service = None
        self._record_generated(num_events_before, now_s() - started_s - run.queue_wait_s)
        logging.info(
            "item %s of job %s: %d events (%d resumed, %d tokens expected) by %d attempts "
            "in %.2f s, %.2f s of it waiting: %s",
            self._item.id,
            self._job.id,
            len(self.events),
            num_events_before,
            self._item.expected_tokens,
            run.num_attempts,
            now_s() - started_s,
            run.queue_wait_s,
            run.waits.describe(),
        )

    def _record_generated(self, num_events_before: int, duration_s: float) -> None:
        """Update the estimates with a complete text.

        Args:
            num_events_before: Events that existed before this generation.
            duration_s: Time of the generation without waits for slots, in seconds.
        """
        services, expected_tokens = self._services, self._item.expected_tokens
        services.lengths.record_item(expected_tokens, len(self.events))
        generated_fraction = 1.0 - num_events_before / max(1, len(self.events))
        if expected_tokens:
            services.slot_throughput.record_item(generated_fraction * expected_tokens, duration_s)

    async def _append_events(self, run: ResumableRun) -> None:
        """Append the events of a run; report each time that they exceed the estimated length."""
        lengths = self._services.lengths
        expected_tokens = self._item.expected_tokens
        overrun_threshold = lengths.overrun_threshold(expected_tokens, len(self.events))
        async for event in run.events():
            self.events.append(event)
            if len(self.events) > overrun_threshold:
                overrun_threshold = lengths.overrun_threshold(expected_tokens, len(self.events))
                self._on_overrun()

    def _migration_policy(self, service: str, route: Route) -> ItemMigrationPolicy | None:
        """Migration policy; ``None`` where a move could add a second weight version."""
        if route.needs_single_version:
            return None
        return ItemMigrationPolicy(
            self._services.workers,
            self._services.queue,
            self._services.lengths,
            service,
            self._job.model,
            self._item.expected_tokens,
            self._rank,
            lambda: self.in_regions,
        )

    def _log_if_no_worker_in_regions(self, service: str) -> None:
        allowed_regions = self._allowed_regions()
        if allowed_regions is None or self._services.workers.is_any_in(service, allowed_regions):
            return
        logging.info(
            "item %s of job %s: waits for a worker of service %s in the allowed regions (%s)",
            self._item.id,
            self._job.id,
            service,
            ", ".join(sorted(allowed_regions)),
        )

    def _eligibility(self, fingerprint: str) -> ItemEligibility:
        """Return the condition on workers; a suspect has a condition of its own.

        An item that becomes a suspect while it waits is checked again before it starts.
        """
        quarantine = self._services.quarantine
        is_suspect = quarantine.registry.num_crashes(fingerprint) > 0
        return ItemEligibility(
            self._job.model,
            self._job.min_version,
            fingerprint if is_suspect else None,
            quarantine.suspect_placement,
            None if self._allowed_regions() is None else self.in_regions,
        )

    def _accepts_version(self, version: int | None) -> bool:
        return version is None or version >= self._job.min_version

    async def _score(self, text: str, versions: tuple[int, ...]) -> ItemResult:
        """Request the score of a text until the scorer returns one.

        Only answers with status 500 count as failures. After any other failure the request is
        repeated until the item's time limit.

        Raises:
            ItemGivenUpError: If the scorer failed as often as its route allows.
        """
        scorer = self._item.scorer
        if scorer is None:
            return ItemResult(self._item.id, True, text, versions)
        num_failures = 0
        while True:
            # A missing scorer route does not end the item; only its time limit does.
            route = await self._services.routes.lookup_until_found(scorer.host, scorer.target)
            limiter = self._services.forwarder.call_limiter
            async with limiter.slot(route, self._scorer_regions()):
                # The configuration may have changed during the wait.
                request = _scorer_request(scorer, route, self._scorer_regions())
                answer = await self._services.forwarder.forward(request)
            if isinstance(answer, CompleteAnswer):
                if answer.status in HTTP_SUCCESS and answer.signature is not None:
                    return ItemResult(self._item.id, True, text, versions, answer.signature)
                num_failures += answer.status == HTTP_INTERNAL_SERVER_ERROR
                if num_failures >= route.max_attempts:
                    raise ItemGivenUpError(GiveUpReason.SCORER_FAILED_TOO_OFTEN)
            elif answer.code is ResultCode.REQUEST_QUARANTINED:
                await self._services.quarantine.wait_until_lifted(fingerprint_of(request.call))
            await asyncio.sleep(SCORER_RETRY_INTERVAL_S)


def _give_up_deadline_s(job_route: Route | None) -> float | None:
    """Return when an item may be given up, on the event loop's clock; ``None`` for never."""
    if job_route is None or job_route.queue_ttl_s is None:
        return None
    return now_s() + job_route.queue_ttl_s


def _scorer_request(
    scorer: ScorerCall, route: Route, allowed_regions: AllowedRegions
) -> ForwardRequest:
    call = BackEndCall(
        scorer.request_id,
        SCORER_METHOD,
        scorer.target,
        (("Host", scorer.host),),
        scorer.body,
        allowed_regions=allowed_regions,
    )
    timeout_s = max(
        MIN_SCORER_TIMEOUT_S, SCORER_TIMEOUT_PER_TARGET_LATENCY * route.target_latency_s
    )
    # One worker per call, so that failure answers can be counted here.
    return ForwardRequest(call, replace(route, max_attempts=1), now_s() + timeout_s)
