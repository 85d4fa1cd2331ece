"""Guards against accepting unauthenticated, replayed or malformed datagrams."""

import cbor2
import pytest

from hollowrack.membership.datagrams import DatagramSealer, _tag
from hollowrack.membership.messages import PiggybackedUpdates, Ping
from hollowrack.membership.types import Fact, Member
from hollowrack.messages import codec
from hollowrack.replication.messages import Fetch
from hollowrack.replication.types import ZERO_BALLOT

KEY = b"k" * 32
PING = Ping(7, PiggybackedUpdates((Member("n", "z", "127.0.0.1:1", "i"),), (Fact("bundle", 3),)))


def test_datagram_is_accepted_once() -> None:
    receiver = DatagramSealer("b", KEY)
    datagram = DatagramSealer("a", KEY).seal(PING)
    opened = receiver.open(datagram).unwrap()
    assert (opened.sender, opened.message) == ("a", PING)
    assert (
        receiver.open(datagram).failure().detail
        == "sequence number was replayed or is below the replay window"
    )
    assert receiver.num_dropped == 1


def test_reordered_numbers_are_accepted_within_the_replay_window() -> None:
    sender, receiver = DatagramSealer("a", KEY), DatagramSealer("b", KEY)
    datagrams = [sender.seal(PING) for _ in range(600)]
    assert receiver.open(datagrams[500]).unwrap()
    assert receiver.open(datagrams[499]).unwrap()
    assert receiver.open(datagrams[0]).failure()


def test_previous_key_is_accepted_during_key_rotation() -> None:
    new_key = b"n" * 32
    receiver = DatagramSealer("b", new_key, previous_key=KEY)
    assert receiver.open(DatagramSealer("a", KEY).seal(PING)).unwrap()
    assert receiver.open(DatagramSealer("c", new_key).seal(PING)).unwrap()


def _sealed(payload: bytes) -> bytes:
    return _tag(KEY, payload) + payload


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b"short",
        b"\x00" * 1400,
        DatagramSealer("a", b"f" * 32).seal(PING),
        _sealed(b"\xff\xff"),
        _sealed(cbor2.dumps("text")),
        _sealed(cbor2.dumps([1, b"session", 1, b""])),
        _sealed(cbor2.dumps(["a", b"session", "one", b""])),
        _sealed(cbor2.dumps(["a", b"session", 1, b"junk"])),
        _sealed(cbor2.dumps(["a", b"session", 1, codec.encode(Fetch(ZERO_BALLOT, 0))])),
    ],
)
def test_invalid_datagram_is_dropped_and_counted(datagram: bytes) -> None:
    receiver = DatagramSealer("b", KEY)
    assert receiver.open(datagram).failure()
    assert receiver.num_dropped == 1
