"""Client of the machine list, which is in the JSON format of Prometheus HTTP service discovery.

The list is eventually consistent: it may name back ends that no longer exist and lack new ones.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from hollowrack.clients.http import request_json
from hollowrack.results import Problem, ResultCode

REQUEST_TIMEOUT_S = 2.0
KNOWN_KINDS = frozenset({"engine", "service"})


@dataclass(frozen=True)
class _TargetGroup:
    targets: list[str]
    labels: dict[str, str]


_TARGET_GROUPS = TypeAdapter(list[_TargetGroup])


@dataclass(frozen=True)
class Machine:
    """A back end of the machine list.

    Attributes:
        address: ``IP:PORT``.
        kind: ``engine`` or ``service``.
        pool: Name of the model (engine) or of the service pool (service).
        zone: Name of the zone; empty if not stated.
        is_leaving: Whether it is marked as leaving and must receive no new requests.
    """

    address: str
    kind: str
    pool: str
    zone: str
    is_leaving: bool


ReadMachines = Callable[[], Awaitable[Result[list[Machine], Problem]]]


async def read_machine_list(
    session: aiohttp.ClientSession, url: str
) -> Result[list[Machine], Problem]:
    """Read the machine list; entries of unknown kinds are left out.

    Fails with the codes of :func:`~hollowrack.clients.http.request_json`.
    """
    answer = await request_json(session, "GET", url, REQUEST_TIMEOUT_S)
    return answer.bind(_decode)


def _decode(answer: Any) -> Result[list[Machine], Problem]:
    try:
        groups = _TARGET_GROUPS.validate_python(answer)
    except ValidationError as error:
        detail = str(error.errors()[0]["msg"])
        return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, "machine_list"))
    return Success(
        [
            _machine(address, group.labels)
            for group in groups
            for address in group.targets
            if group.labels.get("kind") in KNOWN_KINDS
        ]
    )


def _machine(address: str, labels: dict[str, str]) -> Machine:
    return Machine(
        address=address,
        kind=labels.get("kind", ""),
        pool=labels.get("pool", ""),
        zone=labels.get("zone", ""),
        is_leaving=labels.get("state") == "leaving",
    )
