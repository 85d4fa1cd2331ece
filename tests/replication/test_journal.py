"""Journals: guards against lost promises after a restart and undetected corruption."""

import random
from io import BufferedWriter
from pathlib import Path

import pytest

from hollowrack.replication.journal import JournalFolder, encode_record, read_journal
from hollowrack.replication.messages import Snapshot
from hollowrack.replication.replica import Replica
from hollowrack.replication.storage import (
    Adopted,
    Appended,
    Compacted,
    MemoryStorage,
    Promised,
    StorageRecord,
)
from hollowrack.replication.types import Ballot, Membership
from hollowrack.results import ProblemError, ResultCode
from hollowrack_bench.replication_model import CommandList

MEMBERSHIP = Membership(1, ("a#1", "b#1", "c#1"))
BALLOT = Ballot(1, 3, "a#1")
RECORDS: tuple[StorageRecord, ...] = (
    Promised(BALLOT, MEMBERSHIP),
    Adopted(BALLOT, MEMBERSHIP, None, 0, (b"one", b"two")),
    Appended(2, (b"three",)),
)


def _folder_with_records(path: Path) -> JournalFolder:
    folder = JournalFolder(path)
    storage = folder.storage("run:a/b")
    for record in RECORDS:
        storage.record(record)
    storage.flush()
    storage.close()
    return folder


def _journal_path(path: Path) -> Path:
    return next(path.glob("*.journal"))


def _restored_replica(path: Path) -> Replica:
    folder = JournalFolder(path)
    replica = Replica(
        "a#1", Membership(0, ()), CommandList(), MemoryStorage(), random.Random(0), 0.0
    )
    for record in folder.loaded["run:a/b"].records:
        replica.replay(record)
    return replica


def test_replica_restores_its_promise_and_log(tmp_path: Path) -> None:
    folder = _folder_with_records(tmp_path)
    replica = _restored_replica(tmp_path)
    assert JournalFolder(tmp_path).incarnation == folder.incarnation
    assert replica.promised == replica.accepted_ballot == BALLOT
    assert replica.log.entries == [b"one", b"two", b"three"]
    assert replica.membership == MEMBERSHIP
    assert replica.commit_index == 0


def test_promise_that_fences_an_older_leader_survives_a_restart(tmp_path: Path) -> None:
    _folder_with_records(tmp_path)
    storage = JournalFolder(tmp_path).storage("run:a/b")
    storage.record(Promised(Ballot(1, 9, "c#1"), MEMBERSHIP))
    storage.flush()
    storage.close()
    assert _restored_replica(tmp_path).promised == Ballot(1, 9, "c#1")


def test_compaction_replaces_the_file(tmp_path: Path) -> None:
    _folder_with_records(tmp_path)
    storage = JournalFolder(tmp_path).storage("run:a/b")
    for number in range(100):
        storage.record(Appended(3 + number, (b"x" * 100,)))
    storage.flush()
    size_before = _journal_path(tmp_path).stat().st_size
    storage.record(Compacted(BALLOT, BALLOT, MEMBERSHIP, Snapshot(102, b"one"), (b"last",)))
    storage.record(Appended(103, (b"after",)))
    storage.flush()
    storage.close()
    assert _journal_path(tmp_path).stat().st_size < size_before / 10
    replica = _restored_replica(tmp_path)
    assert replica.commit_index == 102
    assert replica.log.entries == [b"last", b"after"]


@pytest.mark.parametrize("num_truncated", [1, 5, 20])
def test_torn_tail_is_truncated_and_reported(tmp_path: Path, num_truncated: int) -> None:
    folder = _folder_with_records(tmp_path)
    path = _journal_path(tmp_path)
    path.write_bytes(path.read_bytes()[:-num_truncated])
    content = read_journal(path).unwrap()
    assert content.records == RECORDS[:2]
    assert content.num_torn_bytes == len(encode_record(RECORDS[2])) - num_truncated
    reopened = JournalFolder(tmp_path)
    assert reopened.incarnation == folder.incarnation
    storage = reopened.storage("run:a/b")
    storage.record(RECORDS[2])
    storage.flush()
    storage.close()
    assert read_journal(path).unwrap().records == RECORDS


def test_corruption_before_the_last_record_reports_file_and_byte(tmp_path: Path) -> None:
    _folder_with_records(tmp_path)
    path = _journal_path(tmp_path)
    data = bytearray(path.read_bytes())
    data[20] ^= 1
    path.write_bytes(bytes(data))
    problem = read_journal(path).failure()
    assert problem.code is ResultCode.JOURNAL_CORRUPT
    assert problem.place == f"{path.name} byte 0"


@pytest.mark.parametrize(
    "fault", ["corrupt journal", "missing journal", "missing manifest", "corrupt manifest"]
)
def test_missing_or_corrupt_file_starts_a_new_incarnation(tmp_path: Path, fault: str) -> None:
    folder = _folder_with_records(tmp_path)
    path = _journal_path(tmp_path)
    match fault:
        case "corrupt journal":
            data = bytearray(path.read_bytes())
            data[20] ^= 1
            path.write_bytes(bytes(data))
        case "missing journal":
            path.unlink()
        case "missing manifest":
            (tmp_path / "manifest.cbor").unlink()
        case "corrupt manifest":
            (tmp_path / "manifest.cbor").write_bytes(b"\xff\x00garbage")
    reopened = JournalFolder(tmp_path)
    assert reopened.incarnation != folder.incarnation
    assert reopened.loaded == {}
    assert list(tmp_path.glob("lost-*/*"))
    assert JournalFolder(tmp_path).incarnation == reopened.incarnation


def test_full_disk_raises_disk_full(tmp_path: Path) -> None:
    folder = JournalFolder(tmp_path)
    storage = folder.storage("g")
    storage._file.close()
    with Path("/dev/full").open("ab", buffering=0) as full:
        storage._file = BufferedWriter(full)
        with pytest.raises(ProblemError) as raised:
            storage.record(Appended(0, (b"x" * 100_000,)))
        assert raised.value.problem.code is ResultCode.DISK_FULL
        storage._file.detach()
