"""Strict JSON parser for entries of other programs, without Python's extensions to the standard."""

import json
import math
from typing import Any


def parse_object(value: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    Raises:
        ValueError: If the value is not a JSON object, is nested too deeply, or contains a number
            that is not a finite float.
    """
    try:
        content = json.loads(value, parse_constant=_reject_constant, parse_float=_finite_number)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if not isinstance(content, dict):
        raise ValueError(f"expected an object, got {type(content).__name__}")
    return content


def _reject_constant(text: str) -> float:
    raise ValueError(f"{text} is not a JSON number")


def _finite_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("number is out of the range of a float")
    return number
