"""Tests of at-most-once execution under lost replies, node failures and reused identifiers.

Guards against running an unsafe request twice, and against a "not run" answer for one that ran.
"""

import asyncio
from collections import Counter
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure, Result, Success

from hollowrack.requests.at_most_once import AtMostOnceRunner, AttemptStatus, AttemptStatusRequest
from hollowrack.requests.claims import ClaimStatus, RequestClaims
from hollowrack.requests.types import RecordedAnswer
from hollowrack.results import DESCRIPTIONS, Execution, Problem, ResultCode
from hollowrack_bench.virtual_time import VirtualTimeLoop, run_virtual

LATENCY_S = 0.01


class FakeClaimLog:
    """Fake of a replicated claim group whose quorum and replies can fail."""

    def __init__(self) -> None:
        self.claims = RequestClaims()
        self.is_reachable = True
        self.num_replies_to_lose = 0
        self.delayed: list[bytes] = []

    async def find_or_create(self, group: str) -> Result[Any, Problem]:
        return Success(None)

    async def propose(self, group: str, command: bytes, timeout_s: float) -> Result[bytes, Problem]:
        await asyncio.sleep(LATENCY_S)
        if not self.is_reachable:
            self.delayed.append(command)
            await asyncio.sleep(timeout_s)
            return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, "no quorum"))
        outcome = self.claims.apply(command)
        if self.num_replies_to_lose:
            self.num_replies_to_lose -= 1
            await asyncio.sleep(timeout_s)
            return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, "answer lost"))
        return Success(outcome)

    def commit_delayed(self) -> None:
        """Commit the commands that timed out."""
        delayed, self.delayed = self.delayed, []
        for command in delayed:
            self.claims.apply(command)


class Cluster:
    """Nodes that share a claim group and a back end, with a count of executions."""

    def __init__(self, num_nodes: int = 3) -> None:
        self.log = FakeClaimLog()
        self.executions: Counter[str] = Counter()
        self.false_refusals = 0
        self.unreachable: set[str] = set()
        self.incarnations = dict.fromkeys((f"n{index}" for index in range(num_nodes)), 1)
        self.nodes = {name: self._make(name) for name in self.incarnations}
        self.run_s = 0.1
        self.outcome = "answer"

    def _make(self, name: str) -> AtMostOnceRunner:
        return AtMostOnceRunner(self.log, self, f"{name}#{self.incarnations[name]}")

    def restart(self, name: str) -> None:
        self.incarnations[name] += 1
        self.nodes[name] = self._make(name)

    async def request(self, node: str, message: object, timeout_s: float) -> Result[Any, Problem]:
        await asyncio.sleep(LATENCY_S)
        if node in self.unreachable:
            return Failure(Problem(ResultCode.PEER_UNREACHABLE, "node is unreachable"))
        assert isinstance(message, AttemptStatusRequest)
        return Success(self.nodes[node].attempt_status(message))

    def post(self, node: str, message: object) -> None:
        raise NotImplementedError

    def is_reachable(self, node: str) -> bool:
        return node not in self.unreachable

    def is_leaving_or_dead(self, node: str) -> bool:
        return False

    def incarnation_of(self, node: str) -> str | None:
        return str(self.incarnations[node])

    def candidates(self, key: str, preferred_zone: str | None = None) -> list[str]:
        return list(self.nodes)

    async def call(
        self, node: str, request_id: str, body: bytes = b"b", max_wait_s: float = 5.0
    ) -> Result[RecordedAnswer, Problem]:
        has_run = False

        async def run() -> Result[RecordedAnswer, Problem]:
            nonlocal has_run
            if self.outcome == "refuse":
                return Failure(Problem(ResultCode.BACK_END_REFUSED, "busy"))
            has_run = True
            self.executions[request_id] += 1
            await asyncio.sleep(self.run_s)
            if self.outcome == "lose":
                return Failure(Problem(ResultCode.OUTCOME_UNKNOWN, "connection lost"))
            return Success(RecordedAnswer(200, "text/plain", request_id.encode() + body))

        result = await self.nodes[node].run(request_id, body, run, max_wait_s)
        self.false_refusals += int(has_run and _is_not_run(result))
        return result


def _code(result: Result[RecordedAnswer, Problem]) -> ResultCode:
    return result.failure().code if isinstance(result, Failure) else ResultCode.OK


def test_repetition_at_other_node_returns_recorded_answer() -> None:
    async def run() -> None:
        cluster = Cluster()
        first = await cluster.call("n0", "a")
        assert await cluster.call("n1", "a") == first
        assert cluster.executions["a"] == 1

    run_virtual(run())


def test_repetition_waits_for_running_attempt() -> None:
    async def run() -> None:
        cluster = Cluster()
        answers = await asyncio.gather(*(cluster.call(node, "a") for node in cluster.nodes))
        assert len({answer.unwrap().body for answer in answers}) == 1
        assert cluster.executions["a"] == 1

    run_virtual(run())


def test_identifier_reused_with_other_body_is_refused() -> None:
    async def run() -> None:
        cluster = Cluster()
        await cluster.call("n0", "a", b"one")
        assert _code(await cluster.call("n1", "a", b"two")) is ResultCode.IDENTIFIER_REUSED
        assert cluster.executions["a"] == 1

    run_virtual(run())


def test_without_quorum_request_does_not_run_and_identifier_stays_free() -> None:
    async def run() -> None:
        cluster = Cluster()
        cluster.log.is_reachable = False
        assert _code(await cluster.call("n0", "a")) is ResultCode.NO_QUORUM
        assert cluster.executions["a"] == 0
        cluster.log.is_reachable = True
        cluster.log.commit_delayed()
        assert _code(await cluster.call("n1", "a")) is ResultCode.OK
        assert cluster.executions["a"] == 1

    run_virtual(run())


def test_claim_whose_reply_was_lost_is_released() -> None:
    async def run() -> None:
        cluster = Cluster()
        cluster.log.num_replies_to_lose = 1
        assert _code(await cluster.call("n0", "a")) is ResultCode.NO_QUORUM
        assert _code(await cluster.call("n1", "a")) is ResultCode.OK
        assert cluster.executions["a"] == 1

    run_virtual(run())


def test_refusal_by_back_end_releases_identifier() -> None:
    async def run() -> None:
        cluster = Cluster()
        cluster.outcome = "refuse"
        assert _code(await cluster.call("n0", "a")) is ResultCode.BACK_END_REFUSED
        cluster.outcome = "answer"
        assert _code(await cluster.call("n1", "a")) is ResultCode.OK

    run_virtual(run())


def test_restarted_claim_owner_gives_outcome_unknown_without_wait() -> None:
    async def run() -> None:
        cluster = Cluster()
        cluster.run_s = 3600.0
        owner = asyncio.create_task(cluster.call("n0", "a"))
        await asyncio.sleep(0.1)
        cluster.restart("n0")
        started_s = asyncio.get_running_loop().time()
        assert _code(await cluster.call("n1", "a", max_wait_s=60)) is ResultCode.OUTCOME_UNKNOWN
        assert asyncio.get_running_loop().time() - started_s < 5.0
        assert cluster.executions["a"] == 1
        owner.cancel()
        await asyncio.gather(owner, return_exceptions=True)

    run_virtual(run())


def test_late_answer_of_unreachable_claim_owner_is_recorded() -> None:
    async def run() -> None:
        cluster = Cluster()
        cluster.run_s = 10.0
        owner = asyncio.create_task(cluster.call("n0", "a"))
        await asyncio.sleep(0.1)
        cluster.unreachable.add("n0")
        assert _code(await cluster.call("n1", "a")) is ResultCode.OUTCOME_UNKNOWN
        answer = await owner
        assert await cluster.call("n2", "a") == answer
        assert cluster.executions["a"] == 1

    run_virtual(run())


def test_ended_claims_are_evicted_by_count_and_answers_by_size() -> None:
    claims = RequestClaims(max_ended_claims=2, max_answer_bytes=10)
    cluster = Cluster()
    cluster.log.claims = claims

    async def run() -> None:
        for name in ("a", "b", "c"):
            await cluster.call("n0", name, b"12345")
        assert claims.find("a").status is None
        assert claims.find("b").status is ClaimStatus.FINISHED and claims.find("b").answer is None
        assert _code(await cluster.call("n1", "b", b"12345")) is ResultCode.OUTCOME_UNKNOWN
        assert _code(await cluster.call("n1", "c", b"12345")) is ResultCode.OK
        assert cluster.executions["b"] == cluster.executions["c"] == 1

    run_virtual(run())


def test_snapshot_restores_state() -> None:
    cluster = Cluster()
    run_virtual(cluster.call("n0", "a"))
    restored = RequestClaims()
    restored.restore(cluster.log.claims.snapshot())
    assert restored.find("a") == cluster.log.claims.find("a")
    restored.restore(b"")
    assert restored.find("a").status is None


nodes = st.sampled_from(["n0", "n1", "n2"])
identifiers = st.sampled_from(["a", "b"])


class AtMostOnceMachine(RuleBasedStateMachine):
    """Repeats requests with two identifiers while nodes, links and the back end fail."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.cluster = Cluster()
        self.calls: list[tuple[str, asyncio.Task[Result[RecordedAnswer, Problem]]]] = []

    def teardown(self) -> None:
        for _, task in self.calls:
            task.cancel()
        if self.calls:
            tasks = [task for _, task in self.calls]
            self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.run_until_complete(asyncio.sleep(60))
        self.loop.close()

    @rule(node=nodes, identifier=identifiers)
    def call(self, node: str, identifier: str) -> None:
        coroutine = self.cluster.call(node, identifier)
        self.calls.append((identifier, self.loop.create_task(coroutine)))

    @rule(seconds=st.sampled_from([0.005, 0.05, 1.0, 10.0]))
    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(node=nodes)
    def restart(self, node: str) -> None:
        # The old incarnation keeps running, like a paused process that is unreachable.
        self.cluster.restart(node)

    @rule(node=nodes, is_unreachable=st.booleans())
    def partition(self, node: str, is_unreachable: bool) -> None:
        (self.cluster.unreachable.add if is_unreachable else self.cluster.unreachable.discard)(node)

    @rule(is_reachable=st.booleans())
    def set_quorum(self, is_reachable: bool) -> None:
        self.cluster.log.is_reachable = is_reachable

    @rule()
    def commit_delayed(self) -> None:
        self.cluster.log.commit_delayed()

    @rule()
    def lose_reply(self) -> None:
        self.cluster.log.num_replies_to_lose += 1

    @rule(outcome=st.sampled_from(["answer", "lose", "refuse"]), run_s=st.sampled_from([0.01, 8.0]))
    def set_back_end(self, outcome: str, run_s: float) -> None:
        self.cluster.outcome, self.cluster.run_s = outcome, run_s

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.cluster.executions.values())

    @invariant()
    def not_run_codes_are_true_and_answers_agree(self) -> None:
        assert self.cluster.false_refusals == 0
        for identifier in ("a", "b"):
            results = [
                task.result() for name, task in self.calls if name == identifier and task.done()
            ]
            bodies = {result.unwrap().body for result in results if isinstance(result, Success)}
            assert len(bodies) <= 1
            ran = [result for result in results if not _is_not_run(result)]
            is_pending = any(name == identifier and not task.done() for name, task in self.calls)
            if results and not ran and not is_pending:
                assert self.cluster.executions[identifier] == 0


def _is_not_run(result: Result[RecordedAnswer, Problem]) -> bool:
    if isinstance(result, Success):
        return False
    return DESCRIPTIONS[result.failure().code].execution is Execution.NOT_RUN


TestAtMostOnce = AtMostOnceMachine.TestCase
TestAtMostOnce.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=40, deadline=None
)


def test_release_without_proof_runs_request_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Verify that the count detects a double execution: every attempt is reported as not run."""
    monkeypatch.setattr(
        AtMostOnceRunner, "_query_attempt_status", _async_constant(AttemptStatus.NOT_RUN)
    )

    async def run() -> int:
        cluster = Cluster()
        await asyncio.gather(cluster.call("n0", "a"), cluster.call("n1", "a"))
        return cluster.executions["a"]

    assert run_virtual(run()) == 2


def _async_constant(value: object) -> Any:
    async def constant(*_: object) -> object:
        return value

    return constant
