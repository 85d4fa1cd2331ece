"""Journals of a node's replicas: write-ahead logs in its data folder.

The folder holds a manifest and one journal per group. The manifest contains the node's incarnation
and the groups whose journals must exist. If a journal is missing or corrupt, promises may be lost:
all files are moved to a subfolder and the node starts with a new incarnation, which has no votes of
the old one.

A journal record consists of the 4-byte length of the payload, its 8-byte xxHash and the payload, an
encoded storage record. An incomplete last record was never flushed; it is truncated with a warning.
A record with a wrong hash that is followed by others means corruption.
"""

import os
import struct
import uuid
from dataclasses import dataclass
from io import BufferedWriter
from pathlib import Path
from urllib.parse import quote

import xxhash
from absl import logging
from returns.result import Failure, Result, Success

from hollowrack.messages import codec
from hollowrack.messages.codec import message
from hollowrack.replication.storage import Compacted, StorageRecord
from hollowrack.results import Problem, ProblemError, ResultCode

_HEADER = struct.Struct("!IQ")
_MANIFEST = "manifest.cbor"
_JOURNAL_SUFFIX = ".journal"
_TEMPORARY_SUFFIX = ".tmp"


@message("journal.manifest")
@dataclass(frozen=True)
class Manifest:
    """Incarnation of a node and the groups that have a journal."""

    incarnation: str
    groups: tuple[str, ...] = ()


@dataclass(frozen=True)
class JournalContent:
    """Content of a journal file.

    Attributes:
        records: Complete records in order.
        num_valid_bytes: Size of these records, in bytes.
        num_torn_bytes: Size of the incomplete or corrupt last record, in bytes.
    """

    records: tuple[StorageRecord, ...]
    num_valid_bytes: int
    num_torn_bytes: int


def encode_record(record: StorageRecord) -> bytes:
    """Encode a record as in a journal file."""
    payload = codec.encode(record)
    return _HEADER.pack(len(payload), xxhash.xxh64_intdigest(payload)) + payload


def read_journal(path: Path) -> Result[JournalContent, Problem]:
    """Read a journal; fails with ``JOURNAL_CORRUPT`` if a record before the last is corrupt."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return _corruption(path, 0, error.strerror or str(error))
    records: list[StorageRecord] = []
    position = 0
    while position < len(data):
        end = _record_end(data, position)
        if end is None:
            break
        payload = data[position + _HEADER.size : end]
        _, checksum = _HEADER.unpack_from(data, position)
        if xxhash.xxh64_intdigest(payload) != checksum:
            if end == len(data):
                break
            return _corruption(path, position, "checksum of the record does not match")
        decoded = codec.decode(payload)
        if isinstance(decoded, Failure):
            return _corruption(path, position, decoded.failure().detail)
        records.append(decoded.unwrap())
        position = end
    return Success(JournalContent(tuple(records), position, len(data) - position))


def _record_end(data: bytes, position: int) -> int | None:
    if position + _HEADER.size > len(data):
        return None
    length, _ = _HEADER.unpack_from(data, position)
    end = position + _HEADER.size + int(length)
    return end if end <= len(data) else None


def _corruption(path: Path, position: int, detail: str) -> Failure[Problem]:
    return Failure(Problem(ResultCode.JOURNAL_CORRUPT, detail, f"{path.name} byte {position}"))


class JournalStorage:
    """Storage of one replica in a journal file.

    Args:
        path: Existing journal file.
        num_valid_bytes: End of its last complete record; the file is truncated there.
    """

    def __init__(self, path: Path, num_valid_bytes: int = 0) -> None:
        self._path = path
        self._file = _open_at(path, num_valid_bytes)
        self._is_dirty = False

    def record(self, record: StorageRecord) -> None:
        """Append a record; a :class:`Compacted` record replaces the whole file.

        Raises:
            ProblemError: ``DISK_FULL`` if the file cannot be written.
        """
        try:
            if isinstance(record, Compacted):
                self._rewrite(record)
            else:
                self._file.write(encode_record(record))
                self._is_dirty = True
        except OSError as error:
            raise _disk_problem(self._path, error) from error

    def flush(self) -> None:
        """Make all records durable.

        Raises:
            ProblemError: ``DISK_FULL`` if the file cannot be written.
        """
        if not self._is_dirty:
            return
        try:
            self._file.flush()
            os.fsync(self._file.fileno())
        except OSError as error:
            raise _disk_problem(self._path, error) from error
        self._is_dirty = False

    def close(self) -> None:
        """Close the file; records that were not flushed may be lost."""
        try:
            self._file.close()
        except OSError as error:
            logging.warning("journal not closed: %s", _disk_problem(self._path, error))

    def _rewrite(self, record: Compacted) -> None:
        self._file.close()
        write_durably(self._path, encode_record(record))
        self._file = _open_at(self._path, self._path.stat().st_size)
        self._is_dirty = False


def _open_at(path: Path, num_valid_bytes: int) -> BufferedWriter:
    os.truncate(path, num_valid_bytes)
    return path.open("ab")


def _disk_problem(path: Path, error: OSError) -> ProblemError:
    return ProblemError(Problem(ResultCode.DISK_FULL, error.strerror or str(error), path.name))


def write_durably(path: Path, data: bytes) -> None:
    """Replace a file's content atomically and durably.

    Raises:
        OSError: If it cannot be written; the file keeps its old content.
    """
    temporary = path.with_name(path.name + _TEMPORARY_SUFFIX)
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    _sync_folder(path.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class JournalFolder:
    """Manifest and journals of a node.

    Args:
        folder: Folder of the files; created if it does not exist.

    Attributes:
        loaded: Journals found in the folder at the start, by group.

    Raises:
        OSError: If the folder cannot be written.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self.loaded: dict[str, JournalContent] = {}
        self._manifest = self._load()

    @property
    def incarnation(self) -> str:
        """Incarnation of the node whose promises the journals contain."""
        return self._manifest.incarnation

    def storage(self, group: str) -> JournalStorage:
        """Open a group's journal for appending; creates it and its manifest entry if necessary.

        Raises:
            ProblemError: ``DISK_FULL`` if the journal or the manifest cannot be written.
        """
        content = self.loaded.get(group)
        if content is not None:
            return JournalStorage(self._path(group), content.num_valid_bytes)
        groups = (*self._manifest.groups, group)
        path = self._path(group)
        try:
            # The journal is created first: a manifest entry without its file means data loss.
            write_durably(path, b"")
            self._write_manifest(Manifest(self._manifest.incarnation, groups))
        except OSError as error:
            raise _disk_problem(path, error) from error
        return JournalStorage(path)

    def remove(self, group: str) -> None:
        """Remove a group's journal, after its entry in the manifest."""
        groups = tuple(name for name in self._manifest.groups if name != group)
        try:
            self._write_manifest(Manifest(self._manifest.incarnation, groups))
            self._path(group).unlink(missing_ok=True)
        except OSError as error:
            logging.warning("journal not removed: %s", _disk_problem(self._path(group), error))
        self.loaded.pop(group, None)

    def _load(self) -> Manifest:
        manifest = self._read_manifest()
        if manifest is None:
            return self._reset("manifest is missing or cannot be decoded")
        for group in manifest.groups:
            content = read_journal(self._path(group))
            if isinstance(content, Failure):
                return self._reset(str(content.failure()))
            self.loaded[group] = content.unwrap()
            if content.unwrap().num_torn_bytes:
                logging.warning(
                    "journal of %s: incomplete last record of %d bytes truncated",
                    group,
                    content.unwrap().num_torn_bytes,
                )
        return manifest

    def _read_manifest(self) -> Manifest | None:
        try:
            data = (self._folder / _MANIFEST).read_bytes()
        except OSError:
            return None
        decoded = codec.decode(data).value_or(None)
        return decoded if isinstance(decoded, Manifest) else None

    def _reset(self, reason: str) -> Manifest:
        """Move all files to a subfolder and start with a new incarnation."""
        self.loaded = {}
        incarnation = uuid.uuid4().hex
        files = [path for path in self._folder.iterdir() if path.is_file()]
        if files:
            logging.error(
                "moving the journals to subfolder lost-<new incarnation>, node starts with a new "
                "incarnation: %s",
                reason,
            )
            backup = self._folder / f"lost-{incarnation}"
            backup.mkdir()
            for path in files:
                path.rename(backup / path.name)
        manifest = Manifest(incarnation)
        self._write_manifest(manifest)
        return manifest

    def _write_manifest(self, manifest: Manifest) -> None:
        write_durably(self._folder / _MANIFEST, codec.encode(manifest))
        self._manifest = manifest

    def _path(self, group: str) -> Path:
        return self._folder / (quote(group, safe="") + _JOURNAL_SUFFIX)
