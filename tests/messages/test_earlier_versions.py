"""Guards against messages and records that earlier versions cannot read, or that cannot be read.

While machines are replaced in turn, nodes of two versions exchange messages and share records.
"""

from dataclasses import dataclass
from typing import Any

import cbor2
import pytest
from pydantic import TypeAdapter

from hollowrack.coordination.watch_messages import SharedChange, SharedChanges, WatchRequest
from hollowrack.messages import codec
from hollowrack.quarantine.types import SuspectRecord
from hollowrack.usage.types import DecidedUsage, ProcessCounts, PushedCounts, WindowReport
from hollowrack.warmup.types import PermitGrant, PermitRefusal, PermitRequest, PermitWant

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
}


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


@pytest.mark.parametrize("encoded", EARLIER_MESSAGES)
def test_messages_and_records_of_earlier_version_are_read(encoded: str) -> None:
    assert codec.decode(bytes.fromhex(encoded)).unwrap() == EARLIER_MESSAGES[encoded]


@pytest.mark.parametrize("encoded", EARLIER_MESSAGES)
def test_stored_records_are_still_written_as_earlier_versions_wrote_them(encoded: str) -> None:
    record = EARLIER_MESSAGES[encoded]
    if isinstance(record, DecidedUsage | SuspectRecord):
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
    ],
)
def test_earlier_version_reads_messages_with_added_fields(sent: Any, earlier: Any) -> None:
    _, _, body = cbor2.loads(codec.encode(sent))
    assert TypeAdapter(type(earlier)).validate_python(body) == earlier
