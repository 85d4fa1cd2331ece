"""Directory of the groups' memberships in the configuration store.

The store holds one key per group and epoch, which is created but never overwritten, and one key
with the last activated epoch. Concurrent changes can therefore not give an epoch two memberships.
"""

import cbor2
from returns.result import Failure, Result, Success

from hollowrack.clients.config_store import ConfigStoreClient, StoredValue
from hollowrack.replication.types import Membership, ReplicaId
from hollowrack.results import Problem, ResultCode

_ROOT = "hollowrack/groups"
_FIRST_EPOCH = 1
_EPOCH_DIGITS = 10


class GroupDirectory:
    """Reads and changes memberships in the configuration store.

    Args:
        store: Client of the store that holds the memberships.
    """

    def __init__(self, store: ConfigStoreClient) -> None:
        self._store = store

    async def read(self, group: str) -> Result[Membership | None, Problem]:
        """Return the latest membership of a group, or ``None`` if it was never created."""
        values = await self._store.read_prefix(f"{_ROOT}/{group}/")
        return values.bind(_decode_membership)

    async def create(
        self, group: str, members: tuple[ReplicaId, ...]
    ) -> Result[Membership, Problem]:
        """Create a group; if it already exists, return its membership."""
        key = _epoch_key(group, _FIRST_EPOCH)
        created = await self._store.create(key, cbor2.dumps(list(members)))
        if isinstance(created, Failure):
            return created
        if created.unwrap():
            return Success(Membership(_FIRST_EPOCH, members))
        return await self._read_existing(group)

    async def change(
        self, group: str, current: Membership, members: tuple[ReplicaId, ...]
    ) -> Result[Membership, Problem]:
        """Store the successor of ``current``; concurrent callers get the one that was stored."""
        successor = current.successor(members)
        created = await self._store.create(
            _epoch_key(group, successor.epoch),
            cbor2.dumps(list(members)),
            required_key=_epoch_key(group, current.epoch),
        )
        if isinstance(created, Failure):
            return created
        return await self._read_existing(group)

    async def activate(self, group: str, epoch: int) -> Result[None, Problem]:
        """Record that a majority of the epoch's members holds all earlier state.

        A late write of a lower epoch is safe: candidates then need votes of more replicas.
        """
        return await self._store.put(f"{_ROOT}/{group}/active", cbor2.dumps(epoch))

    async def _read_existing(self, group: str) -> Result[Membership, Problem]:
        def require(membership: Membership | None) -> Result[Membership, Problem]:
            if membership is None:
                detail = "the configuration store holds no membership of the group"
                return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, detail, group))
            return Success(membership)

        return (await self.read(group)).bind(require)


def _epoch_key(group: str, epoch: int) -> str:
    return f"{_ROOT}/{group}/epochs/{epoch:0{_EPOCH_DIGITS}d}"


def _decode_membership(values: list[StoredValue]) -> Result[Membership | None, Problem]:
    active = _FIRST_EPOCH
    members_by_epoch: dict[int, tuple[ReplicaId, ...]] = {}
    try:
        for stored in values:
            if stored.key.endswith("/active"):
                active = int(cbor2.loads(stored.value))
            else:
                epoch = int(stored.key.rsplit("/", 1)[1])
                members_by_epoch[epoch] = tuple(str(member) for member in cbor2.loads(stored.value))
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        return Failure(Problem(ResultCode.PLATFORM_ANSWER_INVALID, str(error), "groups"))
    if not members_by_epoch:
        return Success(None)
    latest = max(members_by_epoch)
    previous = tuple(
        members_by_epoch[epoch]
        for epoch in sorted(members_by_epoch, reverse=True)
        if active <= epoch < latest
    )
    return Success(Membership(latest, members_by_epoch[latest], previous))
