"""Datagram authentication with the cluster key, and replay protection by sequence numbers."""

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
_SESSION_ID_BYTES = 8
_REPLAY_WINDOW_SIZE = 256
_NUM_PAYLOAD_FIELDS = 4


@dataclass
class _SenderWindow:
    """Replay window: sequence numbers received from one process of a sender."""

    highest: int = 0
    seen: set[int] = field(default_factory=set)

    def accept(self, number: int) -> bool:
        """Record a sequence number; returns whether it is new and within the window."""
        if number <= self.highest - _REPLAY_WINDOW_SIZE or number in self.seen:
            return False
        self.seen.add(number)
        if number > self.highest:
            self.highest = number
            lowest = number - _REPLAY_WINDOW_SIZE
            self.seen = {known for known in self.seen if known > lowest}
        return True


@dataclass(frozen=True)
class OpenedDatagram:
    """Sender and content of a datagram that passed all checks."""

    sender: str
    message: GossipMessage


class DatagramSealer:
    """Authenticates the outgoing and verifies the incoming datagrams of one node.

    Args:
        node: Name of this node.
        cluster_key: Key shared by all nodes.
        previous_key: Key that is also accepted, during a key rotation.

    Attributes:
        num_dropped: Number of incoming datagrams that were rejected.
    """

    def __init__(self, node: str, cluster_key: bytes, previous_key: bytes | None = None) -> None:
        self._node = node
        self._key = cluster_key
        self._accepted_keys = [key for key in (cluster_key, previous_key) if key is not None]
        self._session_id = os.urandom(_SESSION_ID_BYTES)
        self._numbers = itertools.count(1)
        self._windows: dict[tuple[str, bytes], _SenderWindow] = {}
        self.num_dropped = 0

    def seal(self, message: GossipMessage) -> bytes:
        """Encode a message with its sender, sequence number and authentication tag."""
        body = codec.encode(message)
        payload = cbor2.dumps([self._node, self._session_id, next(self._numbers), body])
        return _tag(self._key, payload) + payload

    def open(self, datagram: bytes) -> Result[OpenedDatagram, Problem]:
        """Verify a datagram; counts those that are unauthenticated, replayed or malformed."""
        opened = self._open(datagram)
        if isinstance(opened, Failure):
            self.num_dropped += 1
        return opened

    def _open(self, datagram: bytes) -> Result[OpenedDatagram, Problem]:
        tag, payload = datagram[:_TAG_BYTES], datagram[_TAG_BYTES:]
        if not any(hmac.compare_digest(tag, _tag(key, payload)) for key in self._accepted_keys):
            return _rejected(ResultCode.PEER_UNAUTHENTICATED, "authentication tag does not match")
        try:
            fields = cbor2.loads(payload)
        except (cbor2.CBORDecodeError, ValueError, EOFError) as error:
            return _rejected(ResultCode.MESSAGE_INVALID, str(error))
        if not isinstance(fields, list) or len(fields) != _NUM_PAYLOAD_FIELDS:
            return _rejected(
                ResultCode.MESSAGE_INVALID,
                "payload is not a list of sender, session, number and body",
            )
        sender, session_id, number, body = fields
        if not isinstance(sender, str) or not isinstance(session_id, bytes):
            return _rejected(ResultCode.MESSAGE_INVALID, "sender or session is malformed")
        if not isinstance(number, int) or not isinstance(body, bytes):
            return _rejected(ResultCode.MESSAGE_INVALID, "number or body is malformed")
        if not self._windows.setdefault((sender, session_id), _SenderWindow()).accept(number):
            return _rejected(
                ResultCode.MESSAGE_INVALID,
                "sequence number was replayed or is below the replay window",
            )
        return codec.decode(body).bind(lambda message: _as_gossip(sender, message))


def _as_gossip(sender: str, message: object) -> Result[OpenedDatagram, Problem]:
    if isinstance(message, GossipMessage):
        return Success(OpenedDatagram(sender, message))
    return _rejected(ResultCode.MESSAGE_INVALID, f"unexpected {type(message).__name__}")


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=_TAG_BYTES).digest()


def _rejected(code: ResultCode, detail: str) -> Failure[Problem]:
    return Failure(Problem(code, detail, "datagram"))
