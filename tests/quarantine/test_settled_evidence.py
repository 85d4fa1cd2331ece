"""Guards against retries sent before it is known whether the request crashed its last worker."""

import asyncio

import pytest

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.quarantine.quarantine import EVIDENCE_TIMEOUT_S, Quarantine
from hollowrack.quarantine.types import SuspectRecord
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin
from tests.forwarding.helpers import make_worker


class SlowChecks(BackEndsStandin):
    """Back ends whose workers have crashed, which a check finds after ``check_s`` seconds."""

    check_s = 0.0

    async def has_crashed(self, worker: Worker) -> bool:
        await asyncio.sleep(self.check_s)
        return True


@pytest.mark.parametrize(
    ("num_known", "check_s", "waited_s", "is_quarantined"),
    [
        (0, 0.2, 0.0, False),
        (1, 0.2, 0.2, False),
        (2, 0.2, 0.2, True),
        (2, 60.0, EVIDENCE_TIMEOUT_S, False),
    ],
)
def test_retry_waits_for_a_check_that_matters(
    num_known: int, check_s: float, waited_s: float, is_quarantined: bool
) -> None:
    """A first failure is retried at once, and a silent worker delays a retry only for a while."""

    async def main() -> None:
        back_ends = SlowChecks()
        back_ends.check_s = check_s
        quarantine = Quarantine(back_ends)
        for number in range(num_known):
            quarantine.registry.record_crash("f", WorkerIncarnation(f"k{number}"), True)
        # All crashes known so far are in the store.
        known = SuspectRecord(tuple(f"k{number}" for number in range(num_known)))
        quarantine.registry.update_from_record("f", known.crashes(), 1)
        quarantine.record_disconnect("q1", "f", make_worker("w1"), is_retried_here=True)
        assert quarantine.is_evidence_pending("f") is (num_known > 0)
        started_s = now_s()
        await quarantine.settle_evidence("f")
        # The exchange with the store, which is missing here, may use up the rest of the limit.
        assert now_s() - started_s >= waited_s
        assert now_s() - started_s <= (EVIDENCE_TIMEOUT_S if waited_s else 0.0) + 0.001
        assert (quarantine.quarantine_state("f") is not None) is is_quarantined

    run_virtual(main())
