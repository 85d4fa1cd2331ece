"""What must hold of what callers, workers and the service for duties saw in a soak."""

import re
from collections.abc import Iterable

from hollowrack.platform import names
from hollowrack_bench.platform_demo import QUEUE_TTL_S
from hollowrack_bench.soak_crashes import MAX_LATE_RUNS, CrashingAttempt, late_runs
from hollowrack_standins.duty_service import DutyServiceCore
from hollowrack_standins.users_platform import WorkerRecords

# As the routes of the configuration say.
MAX_ATTEMPTS = 3
TENANT = "ana"
SCORER_MARK = ".score-"
_UNSURE_ATTEMPT = re.compile(
    r"request \S+: worker \S+: (silent|the answer belongs to another request)|no answer yet"
)


def count_ambiguous_attempts(log_lines: Iterable[str]) -> int:
    """How many attempts ended so that their node cannot know whether the worker had begun.

    An answer that belongs to another request, or none at all, comes from a connection whose
    worker may not have seen the request; it counts as begun, as it mostly has.

    Args:
        log_lines: What the nodes logged.
    """
    return sum(bool(_UNSURE_ATTEMPT.search(line)) for line in log_lines)


class SoakChecks:
    """Checks of one soak.

    Args:
        ledger: What workers saw.
        violations: Takes what is broken; each entry begins with the identifier that it is about.

    Attributes:
        refused_unsafe: Requests, unsafe to repeat, whose callers were told that they have not run.
    """

    def __init__(self, ledger: WorkerRecords, violations: list[str]) -> None:
        self.refused_unsafe: set[str] = set()
        self._ledger = ledger
        self._broken = violations

    def check_abandoned(self, item_id: str, waited_s: float) -> None:
        """Check that an item's time was up, or workers failed it or its scorer too often.

        No other reason is open here: no worker rejects an item for good, and the route of a step
        stays until the step has ended.

        Args:
            item_id: The item.
            waited_s: Time since its job was sent, in seconds.
        """
        if waited_s >= QUEUE_TTL_S:
            return
        job_id, _, index = item_id.rpartition(".")
        scorer_id = f"{job_id}{SCORER_MARK}{index}"
        failures = self._ledger.failures
        if max(failures[item_id], failures[scorer_id]) < MAX_ATTEMPTS:
            self._broken.append(f"{item_id}: given up without a reason")

    def check_unsafe(self) -> None:
        """Check that unsafe requests ran at most once, and not at all if they were refused."""
        for request_id, num_runs in self._ledger.executions.items():
            if request_id.startswith("once-") and num_runs > 1:
                self._broken.append(f"{request_id}: ran {num_runs} times")
        for request_id in self.refused_unsafe:
            if self._ledger.executions[request_id]:
                self._broken.append(f"{request_id}: refused as not run, and ran")

    def check_crashing(self, tries: list[CrashingAttempt]) -> None:
        """Check that workers stop getting a request under which three of them ended."""
        for body, num_runs in late_runs(tries, self._ledger).items():
            if num_runs > MAX_LATE_RUNS:
                ids = [one.request_id for one in tries if one.body == body]
                last = next(name for name in reversed(ids) if self._ledger.executions[name])
                self._broken.append(
                    f"{last}: {body.decode()} was run {num_runs} times after its third end"
                )

    def check_tenants(self) -> None:
        """Check that workers ran everything for the tenant of its key, and saw no key."""
        for request_id, headers in self._ledger.headers.items():
            expected = None if SCORER_MARK in request_id else TENANT
            if headers.get(names.TENANT.lower()) != expected:
                self._broken.append(f"{request_id}: run for another tenant")
            if names.CREDENTIALS.lower() in headers:
                self._broken.append(f"{request_id}: a worker saw its key")

    def check_decoy(self, ledger: WorkerRecords) -> None:
        """Check that a worker which only unreadable entries name got nothing."""
        for request_id in ledger.executions:
            self._broken.append(f"{request_id}: sent to a worker that no readable entry names")

    def check_duties(self, service: DutyServiceCore, num_ambiguous: int = 0) -> None:
        """Check the calls that one node makes for all against what workers ran.

        Args:
            service: What was called.
            num_ambiguous: How many requests may have been counted though no worker began them.
        """
        self._broken.extend(service.violations)
        num_reported = sum(counts.get(TENANT, 0) for counts in service.reports.values())
        num_begun = sum(
            number
            for request_id, number in self._ledger.executions.items()
            if "." not in request_id
        )
        if num_reported > num_begun + num_ambiguous:
            self._broken.append(f"usage: {num_reported} reported, {num_begun} begun")
        if any(set(counts) - {TENANT} for counts in service.reports.values()):
            self._broken.append("usage: reported for another tenant")

    def check_orders(self) -> None:
        """Check that every fencing token had one holder and that no worker saw an older one."""
        holders: dict[int, str] = {}
        newest: dict[str, int] = {}
        for worker, holder, fence, _, version in self._ledger.orders:
            if holders.setdefault(fence, holder) != holder:
                self._broken.append(f"fence {fence} of two holders")
            if fence < newest.get(worker, 0):
                self._broken.append(f"{worker}: older fence for version {version}")
            newest[worker] = max(fence, newest.get(worker, 0))
