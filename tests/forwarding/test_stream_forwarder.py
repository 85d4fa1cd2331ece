"""Guards against streams that wait although no worker can serve them."""

import pytest

from hollowrack.clock import now_s
from hollowrack.forwarding.dispatch_queue import DispatchQueue
from hollowrack.forwarding.stream_forwarder import StreamForwarder
from hollowrack.forwarding.types import RouteKind
from hollowrack.quarantine.quarantine import Quarantine
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.back_ends import BackEndsStandin
from tests.forwarding.helpers import (
    make_directory,
    make_meter,
    make_request,
    make_route,
    make_table,
)


@pytest.mark.parametrize("is_resumable", [False, True])
def test_stream_without_workers_is_refused_at_once(is_resumable: bool) -> None:
    """Resumable streams waited in the queue until their deadline."""

    async def main() -> None:
        route = make_route(RouteKind.STREAM, is_resumable=is_resumable)
        back_ends = BackEndsStandin()
        workers = make_directory()
        forwarder = StreamForwarder(
            make_table(route),
            workers,
            back_ends,
            DispatchQueue(workers),
            lambda _: None,
            make_meter(),
            Quarantine(back_ends),
        )
        started_s = now_s()
        parts = [part async for part in forwarder.forward(make_request(route), None)]
        assert now_s() - started_s < 0.01
        (refused,) = parts
        assert isinstance(refused, Problem)
        assert refused.code is ResultCode.NO_BACK_END
        assert DESCRIPTIONS[refused.code].execution is Execution.NOT_RUN
        assert refused.retry_after_s is not None

    run_virtual(main())
