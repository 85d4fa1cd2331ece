"""Every registered message type must survive encoding and decoding unchanged."""

from dataclasses import is_dataclass
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

import hollowrack.node  # noqa: F401 (registers every message)
from hollowrack.messages import codec

PRODUCT_TYPES = [
    message_type
    for message_type in codec.registered_types()
    if message_type.__module__.startswith("hollowrack.")
]
st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))
st.register_type_strategy(float, st.floats(allow_nan=False))
st.register_type_strategy(object, st.none())


@pytest.mark.parametrize("message_type", PRODUCT_TYPES, ids=lambda entry: entry.__name__)
def test_decoded_message_equals_encoded_message(message_type: type) -> None:
    @settings(
        derandomize=True,
        max_examples=10,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    )
    @given(st.from_type(message_type))
    def check(value: Any) -> None:
        assert is_dataclass(value)
        assert codec.decode(codec.encode(value)).unwrap() == value

    check()


def test_message_types_are_registered() -> None:
    assert len(PRODUCT_TYPES) > 40
