"""Request traces, drawn from a seed or read from a JSON Lines file.

File format: the first line is ``{"format": "hollowrack-trace", "version": 1}``; each further line
has the fields of :class:`TraceEntry`.
"""

import json
import random
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from hollowrack.results import Problem, ResultCode

_HEADER = {"format": "hollowrack-trace", "version": 1}
_PREFIX_CHARACTERS = 640


class RequestKind(Enum):
    """Kinds of live requests."""

    COMPLETE = "complete"
    LOOK_UP = "look_up"
    WRITE = "write"


@dataclass(frozen=True)
class TraceEntry:
    """One request of a trace.

    Attributes:
        at_s: Arrival time since the start of the trace, in seconds.
        kind: Kind of the request.
        prompt_group: Group of completions whose prompts share a long prefix.
        max_tokens: Maximum number of tokens of a completion.
        tenant: Tenant that sends the request.
    """

    at_s: float
    kind: RequestKind
    prompt_group: int = 0
    max_tokens: int = 64
    tenant: str = "default"


_ENTRY = TypeAdapter(TraceEntry)


@dataclass(frozen=True)
class TraceShape:
    """Parameters of a drawn trace.

    Attributes:
        completions_per_s: Mean rate of completions.
        services_per_s: Mean rate of service requests, look-ups and writes together.
        write_share: Fraction of the service requests that are unsafe writes.
        num_prompt_groups: Number of prompt groups.
        max_tokens: Maximum number of tokens of a completion.
        surge_start_s: Start of the surge, in seconds; ``None`` for no surge.
        surge_end_s: End of the surge, in seconds.
        surge_factor: Factor of both rates during the surge.
    """

    completions_per_s: float
    services_per_s: float = 10.0
    write_share: float = 0.5
    num_prompt_groups: int = 40
    max_tokens: int = 64
    surge_start_s: float | None = None
    surge_end_s: float = 0.0
    surge_factor: float = 3.0


def draw_trace(shape: TraceShape, duration_s: float, seed: int) -> list[TraceEntry]:
    """Draw Poisson arrivals of completions and service requests."""
    rng = random.Random(seed)
    entries = [
        TraceEntry(
            at_s, RequestKind.COMPLETE, rng.randrange(shape.num_prompt_groups), shape.max_tokens
        )
        for at_s in _arrivals(shape, shape.completions_per_s, duration_s, rng)
    ]
    for at_s in _arrivals(shape, shape.services_per_s, duration_s, rng):
        is_write = rng.random() < shape.write_share
        entries.append(TraceEntry(at_s, RequestKind.WRITE if is_write else RequestKind.LOOK_UP))
    return sorted(entries, key=lambda entry: entry.at_s)


def _arrivals(
    shape: TraceShape, rate_per_s: float, duration_s: float, rng: random.Random
) -> Iterator[float]:
    at_s = 0.0
    while rate_per_s > 0:
        is_surge = shape.surge_start_s is not None and (
            shape.surge_start_s <= at_s < shape.surge_end_s
        )
        at_s += rng.expovariate(rate_per_s * (shape.surge_factor if is_surge else 1.0))
        if at_s >= duration_s:
            return
        yield at_s


def prompt_of(entry: TraceEntry, number: int) -> str:
    """Return the prompt of a completion: the prefix of its group and a unique suffix."""
    prefix = f"group {entry.prompt_group} ".ljust(_PREFIX_CHARACTERS, "-")
    return f"{prefix} request {number}"


def write_trace(path: Path, entries: list[TraceEntry]) -> None:
    """Write a trace to a file."""
    lines = [json.dumps(_HEADER)]
    lines += [json.dumps(asdict(entry) | {"kind": entry.kind.value}) for entry in entries]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def read_trace(path: Path) -> Result[list[TraceEntry], Problem]:
    """Read a trace from a file; fails with ``BAD_REQUEST`` and the line number."""
    try:
        header, *lines = path.read_text(encoding="utf-8").splitlines() or [""]
    except (OSError, UnicodeDecodeError) as error:
        return _invalid_trace(path, 0, str(error))
    try:
        if json.loads(header) != _HEADER:
            return _invalid_trace(path, 1, "not the header of a hollowrack trace of version 1")
    except ValueError as error:
        return _invalid_trace(path, 1, str(error))
    entries: list[TraceEntry] = []
    for number, line in enumerate(lines, start=2):
        try:
            entries.append(_ENTRY.validate_json(line))
        except ValidationError as error:
            return _invalid_trace(path, number, str(error.errors()[0]["msg"]))
    return Success(entries)


def _invalid_trace(path: Path, line: int, detail: str) -> Failure[Problem]:
    return Failure(Problem(ResultCode.BAD_REQUEST, f"{detail}.", f"{path.name} line {line}"))
