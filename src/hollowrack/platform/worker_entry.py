"""What a worker writes of itself into the platform's store, checked as a whole.

The entry may come from another writer: whatever is missing, of another type or out of bounds makes
all of it unusable. Fields that are not named here are left alone.
"""

import ipaddress
import re
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from hollowrack.platform import names

# The longest key that the store takes, in bytes.
MAX_KEY_BYTES = 200
# Requests go one at a time over a connection, and one address has no more connections to another.
MAX_CAPACITY = 65_535
MAX_PORT = 65_535
# The largest whole number that every writer of JSON keeps exactly.
MAX_WHOLE_NUMBER = 2**53 - 1
# Longest text of a field that is used, in characters: an address or a name in a log line.
MAX_TEXT_LENGTH = 200

# An identity is sent to the worker in a header.
_IDENTITY = re.compile(r"[!-~]+")


class WorkerEntryError(ValueError):
    """An entry that names no worker; the text tells the field and what is wrong with it."""


def _address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("no port from 1 to 65535")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    return value


_Text = Annotated[str, Field(min_length=1, max_length=MAX_TEXT_LENGTH)]
_Address = Annotated[_Text, AfterValidator(_address)]
_WholeNumber = Annotated[int, Field(ge=0, le=MAX_WHOLE_NUMBER)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class ModelEntry(_Section):
    """One model that a worker holds.

    Attributes:
        name: Its name.
        version: Version of its weights.
        adapters: What is loaded beside it; not used.
    """

    name: _Text
    version: _WholeNumber
    adapters: list[Any] | None = None


class WorkerEntry(_Section):
    """A worker's entry.

    Attributes:
        service: Service it belongs to.
        address: ``IP:PORT``.
        zone: Its zone.
        capacity: Requests it works on at once.
        state: Whether it takes new work.
        models: The models it holds; ``None`` if it tells of none.
        version: Version of its software; not used.
        cold_remaining_ms: How much longer it is slow from its start, in milliseconds; not used.
        sequence: Orders it has taken; not used.
        stage: Which part of the work it does; not used.
        started_ms: When this life of it began, in milliseconds since 1970; 0 if it does not tell.
    """

    service: _Text
    address: _Address
    zone: _Text
    capacity: Annotated[int, Field(ge=1, le=MAX_CAPACITY)]
    state: Literal["ready", "draining"]
    models: list[ModelEntry] | None = None
    # Their types are checked all the same: an entry that is wrong there is not a worker's.
    version: str | int | float | None = None
    cold_remaining_ms: float | None = Field(default=None, alias="cold-remaining-ms")
    sequence: _WholeNumber | None = None
    stage: str | None = None
    started_ms: _WholeNumber = Field(default=0, alias="born")

    @property
    def is_draining(self) -> bool:
        """Whether it takes no new work."""
        return self.state == names.DRAINING

    @property
    def model_versions(self) -> dict[str, int]:
        """Weight version of each model that it holds."""
        return {model.name: model.version for model in self.models or ()}


def check_worker_id(worker_id: str) -> str:
    """Return a worker's identity, as the end of its key names it.

    Raises:
        WorkerEntryError: If it cannot be an identity.
    """
    if len(worker_id) > MAX_KEY_BYTES or not _IDENTITY.fullmatch(worker_id):
        raise WorkerEntryError("key: its end is no identity of a worker")
    return worker_id


def check_worker_entry(content: dict[str, Any]) -> WorkerEntry:
    """Return a checked entry.

    Raises:
        WorkerEntryError: If it names no worker.
    """
    try:
        return WorkerEntry.model_validate(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_context=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        raise WorkerEntryError(f"{place}: {first['msg']}") from error
