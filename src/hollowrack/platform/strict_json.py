"""JSON of other writers, without what Python reads beyond the standard."""

import json
import math
from typing import Any


def parse_object(value: bytes) -> dict[str, Any]:
    """Return the object that some bytes hold.

    Raises:
        ValueError: If they are no JSON object, hold a number that no float can tell, or are nested
            too deeply to be read.
    """
    try:
        content = json.loads(value, parse_constant=_no_number, parse_float=_finite_number)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if not isinstance(content, dict):
        raise ValueError(f"a {type(content).__name__} in place of an object")
    return content


def _no_number(text: str) -> float:
    raise ValueError(f"{text} is no number of JSON")


def _finite_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("a number is too large")
    return number
