"""Acceptance of bundles: one create-only write per revision in the configuration store."""

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
    """Reads and accepts bundles.

    Args:
        store: Client of the configuration store.
    """

    def __init__(self, store: ConfigStoreClient) -> None:
        self._store = store

    async def accept(self, revision: int, signed: SignedBundle) -> Result[None, Problem]:
        """Accept a bundle as ``revision``; the store decides between racing operators.

        Revisions have no gaps: revision ``n`` needs ``n - 1``. Fails with ``BUNDLE_CONFLICT`` if
        another bundle holds the revision.
        """
        required = _key(revision - 1) if revision > 1 else None
        created = await self._store.create(_key(revision), codec.encode(signed), required)
        return created.bind(lambda won: Success(None) if won else _conflict(revision))

    async def latest(self) -> Result[SignedBundle | None, Problem]:
        """Return the accepted bundle with the highest revision."""
        stored = await self._store.read_last(_PREFIX)
        if isinstance(stored, Failure):
            return stored
        value = stored.unwrap()
        return codec.decode(value.value) if value is not None else Success(None)


def _conflict(revision: int) -> Failure[Problem]:
    detail = f"revision {revision} is held by another bundle, or {revision - 1} was never accepted"
    return Failure(Problem(ResultCode.BUNDLE_CONFLICT, detail, "revision"))
