"""Bundle store: accepted bundles in the configuration store, one immutable entry per revision."""

from returns.result import Failure, Result, Success

from hollowrack.bundle.signing import SignedBundle
from hollowrack.clients.config_store import ConfigStoreClient
from hollowrack.messages import codec
from hollowrack.results import Problem, ResultCode

_PREFIX = "hollowrack/bundles/"
_REVISION_DIGITS = 10


def _key(revision: int) -> str:
    return f"{_PREFIX}{revision:0{_REVISION_DIGITS}d}"


class BundleStore:
    """Reads and writes the accepted bundles.

    Args:
        store: Client of the configuration store.
    """

    def __init__(self, store: ConfigStoreClient) -> None:
        self._store = store

    async def accept(self, revision: int, signed: SignedBundle) -> Result[None, Problem]:
        """Store a bundle as ``revision``; of concurrent writes of a revision, one succeeds.

        Fails with ``BUNDLE_CONFLICT`` if the revision exists with another bundle or the previous
        revision does not exist.
        """
        required = _key(revision - 1) if revision > 1 else None
        created = await self._store.create(_key(revision), codec.encode(signed), required)
        return created.bind(lambda is_created: Success(None) if is_created else _conflict(revision))

    async def latest(self) -> Result[SignedBundle | None, Problem]:
        """Return the bundle with the highest revision; ``None`` if the store has none."""
        stored = await self._store.read_last(_PREFIX)
        if isinstance(stored, Failure):
            return stored
        value = stored.unwrap()
        return codec.decode(value.value) if value is not None else Success(None)


def _conflict(revision: int) -> Failure[Problem]:
    detail = f"revision {revision} is held by another bundle, or {revision - 1} does not exist"
    return Failure(Problem(ResultCode.BUNDLE_CONFLICT, detail, "revision"))
