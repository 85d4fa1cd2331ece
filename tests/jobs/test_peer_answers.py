"""Guards against a wrong result code for a job that another node was asked to store."""

import asyncio

import pytest

from hollowrack.jobs.peer_jobs import SUBMIT_PATH, HttpPeerJobs, SubmitAnswer
from hollowrack.jobs.types import Job
from hollowrack.messages.node_http import message_route
from hollowrack.platform.http_session import client_session
from hollowrack.results import ResultCode
from hollowrack_standins.server import StandinServer
from tests.jobs.helpers import make_job


@pytest.mark.parametrize(
    ("answered_code", "expected"),
    [
        (int(ResultCode.OK), None),
        (int(ResultCode.JOB_NOT_STORED), ResultCode.JOB_NOT_STORED),
        (99_999, ResultCode.OUTCOME_UNKNOWN),
    ],
)
def test_the_result_code_of_the_other_node_is_returned(
    answered_code: int, expected: ResultCode | None
) -> None:
    async def submit(job: Job) -> SubmitAnswer:
        del job
        return SubmitAnswer(answered_code)

    async def main() -> None:
        server = StandinServer([message_route(SUBMIT_PATH, (Job,), submit)])
        address = await server.start()
        async with client_session() as session:
            problem = await HttpPeerJobs(session).submit(address, make_job(), 2.0)
        assert (None if problem is None else problem.code) is expected
        await server.crash()

    asyncio.run(main())
