"""Schema and validation of the entries that workers register in the platform's store.

An entry with a missing, mistyped or out-of-range field is rejected completely, because another
program may have written it. Unknown fields are ignored.
"""

import ipaddress
import re
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from hollowrack.platform import names
from hollowrack.warmup.coldness import MAX_COLD_S, MS_PER_S

# Maximum length of a key in the store.
MAX_KEY_BYTES = 200
# Each request uses a connection, and two addresses cannot have more connections between them.
MAX_CAPACITY = 65_535
MAX_PORT = 65_535
# Largest integer that every JSON implementation represents exactly.
MAX_SAFE_INTEGER = 2**53 - 1
# One day: a longer warm-up time is a mistake.
MAX_COLD_REMAINING_MS = 86_400_000.0
# Maximum length of a text field, in characters; names and addresses appear in log lines.
MAX_TEXT_LENGTH = 200

# Printable ASCII without spaces, because identities are sent in an HTTP header.
_IDENTITY = re.compile(r"[!-~]+")


class WorkerEntryError(ValueError):
    """An entry is invalid; the message names the field and the reason."""


def _address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("the port must be from 1 to 65535")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    return value


_Text = Annotated[str, Field(min_length=1, max_length=MAX_TEXT_LENGTH)]
_Address = Annotated[_Text, AfterValidator(_address)]
_WholeNumber = Annotated[int, Field(ge=0, le=MAX_SAFE_INTEGER)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)


class ModelEntry(_Section):
    """A model loaded by a worker.

    Attributes:
        name: Name of the model.
        version: Weight version.
        adapters: Adapters loaded with the model; not used.
    """

    name: _Text
    version: _WholeNumber
    adapters: list[Any] | None = None


class WorkerEntry(_Section):
    """Entry of a worker in the platform's store.

    Attributes:
        service: Name of the worker's service.
        address: ``IP:PORT``.
        zone: Zone of the worker.
        capacity: Number of slots, which is the maximum number of concurrent requests.
        state: Whether the worker accepts new requests.
        models: Loaded models; ``None`` if not stated.
        version: Software version; not used.
        cold_remaining_ms: Remaining warm-up time when it was written, in milliseconds; ``None`` if
            not stated.
        sequence: Number of orders received; not used.
        stage: Stage of the work that the worker does; not used.
        started_ms: Start time of the incarnation, in milliseconds since the Unix epoch; 0 if not
            stated.
    """

    service: _Text
    address: _Address
    zone: _Text
    capacity: Annotated[int, Field(ge=1, le=MAX_CAPACITY)]
    state: Literal["ready", "draining"]
    models: list[ModelEntry] | None = None
    # Unused fields are type-checked too, because an entry with wrong types is not from a worker.
    version: str | int | float | None = None
    cold_remaining_ms: Annotated[float, Field(ge=0.0, le=MAX_COLD_REMAINING_MS)] | None = Field(
        default=None, alias="cold-remaining-ms"
    )
    sequence: _WholeNumber | None = None
    stage: str | None = None
    started_ms: _WholeNumber = Field(default=0, alias="born")

    @property
    def is_draining(self) -> bool:
        """Whether the worker accepts no new requests."""
        return self.state == names.DRAINING

    @property
    def cold_remaining_s(self) -> float | None:
        """Remaining warm-up time, in seconds, up to ``MAX_COLD_S``; ``None`` if not stated."""
        if self.cold_remaining_ms is None:
            return None
        return min(MAX_COLD_S, self.cold_remaining_ms / MS_PER_S)

    @property
    def model_versions(self) -> dict[str, int]:
        """Weight version by model name."""
        return {model.name: model.version for model in self.models or ()}


def check_worker_id(worker_id: str) -> str:
    """Validate the worker identity at the end of a key and return it.

    Raises:
        WorkerEntryError: If the identity is empty, too long or contains invalid characters.
    """
    if len(worker_id) > MAX_KEY_BYTES or not _IDENTITY.fullmatch(worker_id):
        raise WorkerEntryError("key: does not end in a valid worker identity")
    return worker_id


def check_worker_entry(content: dict[str, Any]) -> WorkerEntry:
    """Validate a worker's entry.

    Raises:
        WorkerEntryError: If the entry is invalid; names the first invalid field.
    """
    try:
        return WorkerEntry.model_validate(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_context=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        raise WorkerEntryError(f"{place}: {first['msg']}") from error
