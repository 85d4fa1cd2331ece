"""Checks of what callers, workers and the duty service observed in a soak."""

import math
import re
from collections.abc import Iterable, Mapping, Sequence

from hollowrack.platform import names
from hollowrack_bench.platform_demo import HTTP_OK, QUEUE_TTL_S
from hollowrack_bench.soak_allowed_regions import RegionFindings
from hollowrack_bench.soak_cold_workers import MAX_REQUESTS_PER_S, ColdSpellCheck
from hollowrack_bench.soak_crashes import MAX_LATE_RUNS, CrashingAttempt, late_runs
from hollowrack_bench.soak_evacuations import Evacuation, late_arrivals
from hollowrack_bench.soak_kept_connections import PlainOutcome, UnansweredRequest
from hollowrack_bench.soak_regions import region_of
from hollowrack_standins.duty_service import DutyServiceCore
from hollowrack_standins.users_platform import WorkerRecords

# Must match the routes of the configuration.
MAX_ATTEMPTS = 3
# Limit of the users' rules for requests that are passed on and lost when a connection is closed.
MAX_LOST_AT_CLOSE = 3
TENANT = "ana"
SCORER_MARK = ".score-"
_AMBIGUOUS_ATTEMPT = re.compile(
    r"request \S+: worker \S+: (no answer in time|the answer belongs to another request)"
    r"|no answer yet"
)


def count_ambiguous_attempts(log_lines: Iterable[str]) -> int:
    """Count the attempts for which the node cannot know whether the worker started the request.

    These ended without an answer or with the answer of another request. Nodes count them as
    started.

    Args:
        log_lines: Log lines of all nodes.
    """
    return sum(bool(_AMBIGUOUS_ATTEMPT.search(line)) for line in log_lines)


class SoakChecks:
    """Checks of one soak.

    Args:
        records: Record of what workers observed.
        violations: Receives the violations; an entry starts with the identifier that it concerns.

    Attributes:
        refused_unsafe: Unsafe requests that were refused as not run.
        plain_outcomes: Outcomes of plain requests, oldest first.
        num_near: Number of plain requests answered in the region of the node that received them.
        num_far: Number of plain requests answered in the other region.
    """

    def __init__(self, records: WorkerRecords, violations: list[str]) -> None:
        self.refused_unsafe: set[str] = set()
        self.plain_outcomes: list[PlainOutcome] = []
        self.num_near = 0
        self.num_far = 0
        self._records = records
        self._violations = violations

    def check_given_up(self, item_id: str, waited_s: float) -> None:
        """Check that an item was given up only after its TTL, or its or its scorer's last attempt.

        Other reasons cannot occur: workers never reject an item permanently, and the route of a
        step exists until the step has ended.

        Args:
            item_id: Identifier of the item.
            waited_s: Time since its job was submitted, in seconds.
        """
        if waited_s >= QUEUE_TTL_S:
            return
        job_id, _, index = item_id.rpartition(".")
        scorer_id = f"{job_id}{SCORER_MARK}{index}"
        failures = self._records.failures
        if max(failures[item_id], failures[scorer_id]) < MAX_ATTEMPTS:
            self._violations.append(f"{item_id}: given up before its TTL and its last attempt")

    def record_regions(self, node: str, answer: bytes) -> None:
        """Record whether a plain request was answered in the region of its node.

        Args:
            node: Name of the node that received the request.
            answer: The answer, which ends with the name of the worker.
        """
        worker = answer.rpartition(b" by ")[2].decode()
        if region_of(worker) == region_of(node):
            self.num_near += 1
        else:
            self.num_far += 1

    def check_target_latency(
        self, targets_s: Mapping[str, float], crossing_times_s: Mapping[str, float]
    ) -> None:
        """Check that no plain request failed or was late because of the links between regions.

        While the workers of all regions work, each request can be answered in the region of its
        node. A request may still be late where processes wait for a processor. It counts only if it
        was sent to the other region while its own region could have answered it in time; the node
        sends hedged attempts there later. A request that fails within its target latency always
        counts.

        Args:
            targets_s: Target latency, in seconds, by the path prefix of the route.
            crossing_times_s: Time at which each request was first sent to a worker of the other
                region, by request identifier.
        """
        missed: list[tuple[PlainOutcome, float]] = []
        for outcome in self.plain_outcomes:
            target_s = next(
                seconds for prefix, seconds in targets_s.items() if outcome.path.startswith(prefix)
            )
            is_late = outcome.latency_s > target_s
            crossing_s = crossing_times_s.get(outcome.request_id, math.inf)
            if is_late and crossing_s > outcome.sent_s + target_s:
                continue
            if is_late or outcome.status != HTTP_OK:
                missed.append((outcome, target_s))
        if missed:
            first, target_s = missed[0]
            self._violations.append(
                f"{first.request_id}: {first.node} answered {first.status} after "
                f"{first.latency_s:.3f} s, not 200 within the target latency of {target_s:g} s, as "
                f"for {len(missed) - 1} of {len(self.plain_outcomes) - 1} other plain requests"
            )

    def check_allowed_regions(self, findings: RegionFindings) -> None:
        """Check that requests and jobs with allowed regions were in these only (HOME)."""
        if findings.outside:
            name, text = findings.outside[0]
            num_others = len(findings.outside) - 1
            self._violations.append(f"{name}: {text}, as were {num_others} others outside")

    def check_unsafe(self) -> None:
        """Check that unsafe requests ran at most once, and never if they were refused."""
        for request_id, num_runs in self._records.executions.items():
            if request_id.startswith("once-") and num_runs > 1:
                self._violations.append(f"{request_id}: unsafe request ran {num_runs} times")
        for request_id in self.refused_unsafe:
            if self._records.executions[request_id]:
                self._violations.append(f"{request_id}: refused as not run, but ran")

    def check_crashing(self, attempts: list[CrashingAttempt]) -> None:
        """Check that a request that has crashed three workers is quarantined.

        See :func:`late_runs`; up to :data:`MAX_LATE_RUNS` of them are allowed.
        """
        for body, num_runs in late_runs(attempts, self._records).items():
            if num_runs > MAX_LATE_RUNS:
                ids = [attempt.request_id for attempt in attempts if attempt.body == body]
                last = next(name for name in reversed(ids) if self._records.executions[name])
                self._violations.append(
                    f"{last}: {body.decode()} ran {num_runs} times after its third crash"
                )

    def check_kept_connections(self, lost: Sequence[UnansweredRequest]) -> None:
        """Check that nodes answer started requests before they close a kept connection.

        Args:
            lost: Requests for which they did not; up to :data:`MAX_LOST_AT_CLOSE` are allowed.
        """
        if len(lost) > MAX_LOST_AT_CLOSE:
            first = lost[0]
            self._violations.append(
                f"{first.request_id}: {first.node} closed its connection after a worker had "
                f"started it, as for {len(lost) - 1} other requests"
            )

    def check_tenants(self) -> None:
        """Check that workers got the tenant of the key, and never the key itself."""
        for request_id, headers in self._records.headers.items():
            expected = None if SCORER_MARK in request_id else TENANT
            if headers.get(names.TENANT.lower()) != expected:
                self._violations.append(f"{request_id}: ran for another tenant")
            if names.CREDENTIALS.lower() in headers:
                self._violations.append(f"{request_id}: its key was sent to a worker")

    def check_cold_workers(self, checks: Iterable[ColdSpellCheck]) -> None:
        """Check that no cold worker received more requests in any second than the bound."""
        for check in checks:
            if check.max_in_window > MAX_REQUESTS_PER_S:
                self._violations.append(
                    f"{check.spell.incarnation}: received {check.max_in_window} requests in one "
                    f"second while cold, {MAX_REQUESTS_PER_S:g} are allowed"
                )

    def check_decoy(self, records: WorkerRecords) -> None:
        """Check that the decoy, which only invalid entries name, got no request."""
        for request_id in records.executions:
            self._violations.append(f"{request_id}: sent to a worker that no valid entry names")

    def check_evacuations(
        self, evacuations: Sequence[Evacuation], disturbances: Sequence[tuple[float, float]]
    ) -> None:
        """Check that no request reached an evacuated zone too late; see :func:`late_arrivals`."""
        late = late_arrivals(evacuations, self._records.arrivals, disturbances)
        if late:
            arrival, evacuation = late[0]
            delay_s = arrival.at_s - evacuation.start_s
            self._violations.append(
                f"{arrival.name}: reached {arrival.worker_id} {delay_s:.2f} s after the evacuation "
                f"of {arrival.zone}, as did {len(late) - 1} other requests later than allowed"
            )

    def check_duties(self, service: DutyServiceCore, num_ambiguous: int = 0) -> None:
        """Check the calls to the duty service against the requests that workers started.

        Args:
            service: Duty service with its recorded reports.
            num_ambiguous: Number of requests that nodes may have counted though no worker started
                them.
        """
        self._violations.extend(service.violations)
        num_reported = sum(counts.get(TENANT, 0) for counts in service.reports.values())
        num_started = sum(
            number
            for request_id, number in self._records.executions.items()
            if "." not in request_id
        )
        if num_reported > num_started + num_ambiguous:
            self._violations.append(
                f"usage: {num_reported} requests reported, {num_started} started"
            )
        if any(set(counts) - {TENANT} for counts in service.reports.values()):
            self._violations.append("usage: reported for another tenant")

    def check_orders(self) -> None:
        """Check that each fencing token has one holder, and decreases at no worker."""
        holders: dict[int, str] = {}
        highest_tokens: dict[str, int] = {}
        for worker, holder, fencing_token, _, version in self._records.orders:
            if holders.setdefault(fencing_token, holder) != holder:
                self._violations.append(f"fencing token {fencing_token} used by two holders")
            if fencing_token < highest_tokens.get(worker, 0):
                self._violations.append(
                    f"{worker}: order with an older fencing token for version {version}"
                )
            highest_tokens[worker] = max(fencing_token, highest_tokens.get(worker, 0))
