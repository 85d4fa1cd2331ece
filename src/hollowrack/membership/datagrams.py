"""Authenticated datagrams: sealed with the cluster key, numbered against replay."""

import hashlib
import hmac
import itertools
import os
from dataclasses import dataclass, field

import cbor2
from returns.result import Failure, Result, Success

from hollowrack.membership.messages import GossipMessage
from hollowrack.messages import codec
from hollowrack.results import Problem, ResultCode

MAX_DATAGRAM_BYTES = 1400
_TAG_BYTES = 16
_LIFE_BYTES = 8
_REPLAY_WINDOW = 256
_SEALED_FIELDS = 4


@dataclass
class _SenderWindow:
    """Numbers seen from one life of a sender."""

    highest: int = 0
    seen: set[int] = field(default_factory=set)

    def accept(self, number: int) -> bool:
        """Whether ``number`` is new; remembers it."""
        if number <= self.highest - _REPLAY_WINDOW or number in self.seen:
            return False
        self.seen.add(number)
        if number > self.highest:
            self.highest = number
            floor = number - _REPLAY_WINDOW
            self.seen = {known for known in self.seen if known > floor}
        return True


@dataclass(frozen=True)
class OpenedDatagram:
    """A datagram that passed all checks."""

    sender: str
    message: GossipMessage


class DatagramSealer:
    """Seals and opens the datagrams of one node.

    Args:
        node: This node's name.
        cluster_key: The key shared by all nodes.
        previous_key: A key that is still accepted while keys are being rotated.
    """

    def __init__(self, node: str, cluster_key: bytes, previous_key: bytes | None = None) -> None:
        self._node = node
        self._key = cluster_key
        self._accepted_keys = [key for key in (cluster_key, previous_key) if key is not None]
        self._life = os.urandom(_LIFE_BYTES)
        self._numbers = itertools.count(1)
        self._windows: dict[tuple[str, bytes], _SenderWindow] = {}
        self.num_dropped = 0

    def seal(self, message: GossipMessage) -> bytes:
        """Return the datagram that carries a message."""
        body = codec.encode(message)
        payload = cbor2.dumps([self._node, self._life, next(self._numbers), body])
        return _tag(self._key, payload) + payload

    def open(self, datagram: bytes) -> Result[OpenedDatagram, Problem]:
        """Check a datagram; one that is foreign, replayed or malformed is counted and dropped."""
        opened = self._open(datagram)
        if isinstance(opened, Failure):
            self.num_dropped += 1
        return opened

    def _open(self, datagram: bytes) -> Result[OpenedDatagram, Problem]:
        tag, payload = datagram[:_TAG_BYTES], datagram[_TAG_BYTES:]
        if not any(hmac.compare_digest(tag, _tag(key, payload)) for key in self._accepted_keys):
            return _dropped(ResultCode.PEER_UNAUTHENTICATED, "tag does not match")
        try:
            fields = cbor2.loads(payload)
        except (cbor2.CBORDecodeError, ValueError, EOFError) as error:
            return _dropped(ResultCode.MESSAGE_INVALID, str(error))
        if not isinstance(fields, list) or len(fields) != _SEALED_FIELDS:
            return _dropped(ResultCode.MESSAGE_INVALID, "not a sealed datagram")
        sender, life, number, body = fields
        if not isinstance(sender, str) or not isinstance(life, bytes):
            return _dropped(ResultCode.MESSAGE_INVALID, "sender is malformed")
        if not isinstance(number, int) or not isinstance(body, bytes):
            return _dropped(ResultCode.MESSAGE_INVALID, "number or body is malformed")
        if not self._windows.setdefault((sender, life), _SenderWindow()).accept(number):
            return _dropped(ResultCode.MESSAGE_INVALID, "replayed")
        return codec.decode(body).bind(lambda message: _as_gossip(sender, message))


def _as_gossip(sender: str, message: object) -> Result[OpenedDatagram, Problem]:
    if isinstance(message, GossipMessage):
        return Success(OpenedDatagram(sender, message))
    return _dropped(ResultCode.MESSAGE_INVALID, f"unexpected {type(message).__name__}")


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=_TAG_BYTES).digest()


def _dropped(code: ResultCode, detail: str) -> Failure[Problem]:
    return Failure(Problem(code, detail, "datagram"))
