"""A node's session in the coordination store: a lease that is renewed while the process runs.

Validity is measured on the loop's clock from before the renewal was sent, so the session expires
locally before it expires at the store. Safety must not depend on the local view alone.
"""

import asyncio
import random
import uuid

from absl import logging

from hollowrack.backoff import Backoff
from hollowrack.clock import now_s
from hollowrack.coordination.store import (
    CoordinationStore,
    GrantedLease,
    LeaseGone,
)
from hollowrack.tasks import cancel_all

SESSION_TTL_S = 2.0
RENEWAL_INTERVAL_S = 0.5
INITIAL_GRANT_BACKOFF_S = 0.4
MAX_GRANT_BACKOFF_S = 1.6

_OWNER_SEPARATOR = "#"


def owner_name(node: str, incarnation: str) -> str:
    """Return the name of one incarnation of a node, unique among all processes."""
    return f"{node}{_OWNER_SEPARATOR}{incarnation}"


def new_owner_name(node: str, rng: random.Random) -> str:
    """Return the name of an incarnation of a node that starts now.

    Contains the start time, so that incarnations with equally seeded generators differ.
    """
    namespace = uuid.UUID(int=rng.getrandbits(128))
    return owner_name(node, uuid.uuid5(namespace, repr(now_s())).hex)


def decode_owner(value: bytes) -> str:
    """Return the owner that a key's value names.

    A value that is not valid UTF-8 decodes to an owner that does not exist, so its keys are taken
    over like those of a process that has ended.
    """
    return value.decode(errors="backslashreplace")


def is_owner(value: bytes) -> bool:
    """Whether a key's value is a valid owner name."""
    return bool(value) and decode_owner(value).encode() == value


def node_of_owner(owner: str) -> str:
    """Return the name of the node of an owner."""
    return owner.rsplit(_OWNER_SEPARATOR, 1)[0]


class Session:
    """Opens a lease, renews it, and opens another one when it is lost.

    Args:
        store: Grants the leases.
        rng: Source of the retry jitter.

    Attributes:
        lease: The current lease; ``None`` if there is none.
        valid_until_s: When the lease may expire, on the loop's clock.
        changed: Set, and replaced by a new event, when ``lease`` changes.
    """

    def __init__(self, store: CoordinationStore, rng: random.Random) -> None:
        self.lease: int | None = None
        self.valid_until_s = -float("inf")
        self.changed = asyncio.Event()
        self._store = store
        self._backoff = Backoff(INITIAL_GRANT_BACKOFF_S, MAX_GRANT_BACKOFF_S, rng)
        self._task: asyncio.Task[None] | None = None

    @property
    def is_valid(self) -> bool:
        """Whether the lease certainly has not expired."""
        return self.lease is not None and now_s() < self.valid_until_s

    @property
    def is_held(self) -> bool:
        """Whether a lease is held or being requested."""
        return self._task is not None

    def start(self) -> None:
        """Start holding a lease; after a stop, a new one."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop renewing and end the lease."""
        task, self._task = self._task, None
        await cancel_all(task)
        lease, self.lease = self.lease, None
        self.valid_until_s = -float("inf")
        if lease is not None:
            await self._store.end_lease(lease)

    async def abandon(self) -> None:
        """Stop renewing and let the lease expire; for tests."""
        await cancel_all(self._task)

    async def _run(self) -> None:
        while True:
            if self.lease is None:
                await self._grant()
            else:
                await asyncio.sleep(RENEWAL_INTERVAL_S)
                await self._renew(self.lease)

    async def _grant(self) -> None:
        sent_s = now_s()
        granted = await self._store.grant_lease(SESSION_TTL_S)
        if isinstance(granted, GrantedLease):
            self._backoff.reset()
            self._set_lease(granted.lease, sent_s + granted.ttl_s)
            logging.info("session lease %d granted", granted.lease)
        else:
            await asyncio.sleep(self._backoff.next_delay_s())

    async def _renew(self, lease: int) -> None:
        sent_s = now_s()
        renewed = await self._store.renew_lease(lease)
        if isinstance(renewed, GrantedLease):
            self.valid_until_s = sent_s + renewed.ttl_s
        elif isinstance(renewed, LeaseGone):
            logging.warning("session lease %d has ended", lease)
            self._set_lease(None, -float("inf"))

    def _set_lease(self, lease: int | None, valid_until_s: float) -> None:
        self.lease = lease
        self.valid_until_s = valid_until_s
        self.changed.set()
        self.changed = asyncio.Event()
