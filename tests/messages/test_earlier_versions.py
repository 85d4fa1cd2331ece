"""Guards against messages and records that earlier versions cannot read, or that cannot be read.

While machines are replaced in turn, nodes of two versions exchange messages and share records.
"""

from dataclasses import dataclass
from typing import Any

import cbor2
import pytest
from pydantic import TypeAdapter

from hollowrack.coordination.watch_messages import SharedChange, SharedChanges, WatchRequest
from hollowrack.jobs.job_log import ENDS_PREFIX, JOBS_PREFIX, OPEN_PREFIX, CreateOutcome, JobLog
from hollowrack.jobs.job_regions import JobRegionsRecord, regions_key
from hollowrack.jobs.live_state import (
    CAPACITY_KEY,
    LEADER_KEY,
    LIVE_PREFIX,
    OWNERS_PREFIX,
    SUSPECTS_PREFIX,
    USAGE_KEY,
)
from hollowrack.jobs.peer_jobs import ReadJobRequest, RemainderRequest, SubmitAnswer
from hollowrack.jobs.placement import NodeEntry
from hollowrack.jobs.types import Job, JobItem, ScorerCall
from hollowrack.messages import codec
from hollowrack.quarantine.types import SuspectRecord
from hollowrack.usage.types import DecidedUsage, ProcessCounts, PushedCounts, WindowReport
from hollowrack.warmup.types import PermitGrant, PermitRefusal, PermitRequest, PermitWant
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore

# Encoded by the version before ``other_prefixes`` and ``complete_before`` were added.
EARLIER_MESSAGES = {
    "83016c666565642e6368616e676573a6676368616e67657382a4636b6579636f2f616576616c75654131687265766973"
    "696f6e07656c6561736503a4636b6579636f2f626576616c7565f6687265766973696f6e08656c656173650068726576"
    "6973696f6e096f69735f686973746f72795f676f6e65f46869735f7374616c65f4656167655f73fb3fd0000000000000"
    "6668656c645f73fb3fe0000000000000": SharedChanges(
        (SharedChange("o/a", b"1", 7, 3), SharedChange("o/b", None, 8)), 9, age_s=0.25, held_s=0.5
    ),
    "83016a666565642e7761746368a566707265666978626f2f6e61667465725f7265766973696f6e0766776169745f73fb"
    "3fe0000000000000696d61785f6167655f73fb3feccccccccccccd6d77616e74735f6c697374696e67f4": (
        WatchRequest("o/", 7, 0.5, 0.9)
    ),
    "83016a75736167652e70757368a166636f756e747381a26770726f63657373646e3123616777696e646f7773a103a161"
    "6102": PushedCounts((ProcessCounts("n1#a", {3: {"a": 2}}),)),
    "83016d75736167652e64656369646564a26b6e6578745f77696e646f7704677265706f72747381a26677696e646f7703"
    "66636f756e7473a1616102": DecidedUsage(4, (WindowReport(3, {"a": 2}),)),
    "83017271756172616e74696e652e73757370656374a16d656e6465645f776f726b657273826273306473314035": (
        SuspectRecord(("s0", "s1@5"))
    ),
    # The first version of the messages about permits for cold workers.
    "83016e7761726d75702e72657175657374a3646e6f6465646e312361666e756d626572036577616e747381a667736572"
    "766963656373766369776f726b65725f69646273306a737461727465645f6d7305666e756d62657202687072696f7269"
    "7479016f6e756d5f756e7065726d697474656404": (
        PermitRequest("n1#a", 3, (PermitWant("svc", "s0", 5, 2, 1, 4),))
    ),
    "83016c7761726d75702e6772616e74a56761726269746572646e3023626d66656e63696e675f746f6b656e07666e756d"
    "6265720366636f756e747381016a72657472795f696e5f73fb3fb999999999999a": (
        PermitGrant("n0#b", 7, 3, (1,), 0.1)
    ),
    "83016e7761726d75702e7265667573616ca264636f64651902bf6664657461696c626e6f": (
        PermitRefusal(703, "no")
    ),
    # Encoded by the version before jobs had allowed regions.
    "8301676a6f622e6a6f62a9626964616a64686f7374616866746172676574632f6d2f656974656d7381a7626964616966"
    "746172676574642f6d2f78676865616465727381826141616264626f647941706567726f757061676673636f726572a4"
    "6a726571756573745f6964617364686f7374616866746172676574632f732f64626f647941626f65787065637465645f"
    "746f6b656e7303656d6f64656c616d6b6d696e5f76657273696f6e01726e756d5f646573697265645f67726f75707301"
    "6674656e616e74617475636f6e66696775726174696f6e5f76657273696f6e07": Job(
        "j",
        "h",
        "/m/",
        (JobItem("i", "/m/x", (("A", "b"),), b"p", "g", ScorerCall("s", "h", "/s/", b"b"), 3),),
        "m",
        1,
        1,
        "t",
        7,
    ),
    "83016d6a6f622e7375626d6974746564a264636f64651901326664657461696c6164": SubmitAnswer(306, "d"),
    "8301686a6f622e72656164a4666a6f625f6964616a6561667465720266776169745f73fb3fe000000000000068776974"
    "685f6a6f62f5": ReadJobRequest("j", 2, 0.5, True),
    "8301696a6f622e6c65617665a1666a6f625f6964616a": RemainderRequest("j"),
    "8301696a6f62732e6e6f6465a3676164647265737363613a31696e756d5f636f726573fb4000000000000000647a6f6e"
    "65627a31": NodeEntry("a:1", 2.0, "z1"),
}
# Records of the store, which nodes of both versions read, and messages about jobs without allowed
# regions, which must not change either.
UNCHANGED = DecidedUsage | SuspectRecord | Job | NodeEntry | ReadJobRequest | RemainderRequest


@dataclass(frozen=True)
class EarlierSharedChanges:
    changes: tuple[SharedChange, ...] = ()
    revision: int = 0
    is_history_gone: bool = False
    is_stale: bool = False
    age_s: float = 0.0
    held_s: float = 0.0


@dataclass(frozen=True)
class EarlierProcessCounts:
    process: str
    windows: dict[int, dict[str, int]]


@dataclass(frozen=True)
class EarlierSuspectRecord:
    ended_workers: tuple[str, ...]


@pytest.mark.parametrize("encoded", EARLIER_MESSAGES)
def test_messages_and_records_of_earlier_version_are_read(encoded: str) -> None:
    assert codec.decode(bytes.fromhex(encoded)).unwrap() == EARLIER_MESSAGES[encoded]


@pytest.mark.parametrize("encoded", EARLIER_MESSAGES)
def test_stored_records_are_still_written_as_earlier_versions_wrote_them(encoded: str) -> None:
    record = EARLIER_MESSAGES[encoded]
    if isinstance(record, UNCHANGED):
        assert codec.encode(record).hex() == encoded


@pytest.mark.parametrize(
    ("sent", "earlier"),
    [
        (
            SharedChanges((SharedChange("o/a", b"1", 7, 3),), 9, other_prefixes={"w/": (3, 0.5)}),
            EarlierSharedChanges((SharedChange("o/a", b"1", 7, 3),), 9),
        ),
        (
            ProcessCounts("n1#a", {3: {"a": 2}}, complete_before=4),
            EarlierProcessCounts("n1#a", {3: {"a": 2}}),
        ),
        (SuspectRecord(("s0",), ("s1@5",)), EarlierSuspectRecord(("s0",))),
    ],
)
def test_earlier_version_reads_messages_with_added_fields(sent: Any, earlier: Any) -> None:
    _, _, body = cbor2.loads(codec.encode(sent))
    assert TypeAdapter(type(earlier)).validate_python(body) == earlier


def test_earlier_version_reads_a_job_with_allowed_regions_and_ignores_their_record() -> None:
    encoded, job = next(
        (text, value) for text, value in EARLIER_MESSAGES.items() if isinstance(value, Job)
    )
    known_to_earlier = (
        LEADER_KEY,
        USAGE_KEY,
        CAPACITY_KEY,
        OWNERS_PREFIX,
        SUSPECTS_PREFIX,
        OPEN_PREFIX,
        ENDS_PREFIX,
    )

    async def main() -> None:
        core = CoordinationStoreCore()
        record = JobRegionsRecord(("north",), "m")
        created = await JobLog(core.make_client(), "n1#1").create(job, record)
        assert created is CreateOutcome.CREATED
        assert core.items.pop(f"{JOBS_PREFIX}j/spec/0000").value.hex() == encoded
        assert core.items.pop(f"{OPEN_PREFIX}j").value == b"n1#1"
        (key,) = core.items
        assert key == regions_key("j")
        assert key.startswith(LIVE_PREFIX)
        assert not key.startswith(known_to_earlier)

    run_virtual(main())
