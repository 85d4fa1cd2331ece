"""Guards against calls of a former leader that overlap with those of the next one."""

import pytest

from hollowrack.coordination.leadership import ACTION_MARGIN_S, REVOKED_MARGIN_S
from hollowrack.platform.duty_client import CALL_TIMEOUT_S
from hollowrack.platform.worker_client import ORDER_TIMEOUT_S


@pytest.mark.parametrize("timeout_s", [CALL_TIMEOUT_S, ORDER_TIMEOUT_S])
def test_calls_of_a_leader_end_before_the_next_leader_acts(timeout_s: float) -> None:
    """A leader starts no call later than the action margin before its session ends.

    The next leader waits for the handover time and the margin for revoked sessions after that.
    """
    assert timeout_s - ACTION_MARGIN_S < REVOKED_MARGIN_S
