"""A node's session in the store: a lease that is renewed while the process lives.

The session's validity is measured on the steady clock from before the renewal was sent, so the
local view always ends before the store's. Nothing that must be safe rests on it alone.
"""

import asyncio
import random

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
FIRST_GRANT_RETRY_S = 0.4
MAX_GRANT_RETRY_S = 1.6

_OWNER_SEPARATOR = "#"


def owner_name(node: str, incarnation: str) -> str:
    """Return the name of one process of a node."""
    return f"{node}{_OWNER_SEPARATOR}{incarnation}"


def decode_owner(value: bytes) -> str:
    """Return the owner that a key's value names.

    Bytes that are no text name an owner that nobody is: its keys are taken over as those of a
    process that has ended.
    """
    return value.decode(errors="backslashreplace")


def is_owner(value: bytes) -> bool:
    """Whether a key's value can be read as an owner."""
    return bool(value) and decode_owner(value).encode() == value


def node_of_owner(owner: str) -> str:
    """Return the node whose process an owner is."""
    return owner.rsplit(_OWNER_SEPARATOR, 1)[0]


class Session:
    """Holds one lease at a time.

    Args:
        store: The coordination store.
        rng: Source of the retry jitter.
    """

    def __init__(self, store: CoordinationStore, rng: random.Random) -> None:
        self.lease: int | None = None
        self.valid_until_s = -float("inf")
        self.changed = asyncio.Event()
        self._store = store
        self._backoff = Backoff(FIRST_GRANT_RETRY_S, MAX_GRANT_RETRY_S, rng)
        self._task: asyncio.Task[None] | None = None

    @property
    def is_valid(self) -> bool:
        """Whether the lease certainly still holds."""
        return self.lease is not None and now_s() < self.valid_until_s

    @property
    def is_held(self) -> bool:
        """Whether a lease is held, or being asked for."""
        return self._task is not None

    def start(self) -> None:
        """Start holding a lease; after a stop, another one."""
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
        """Stop renewing and leave the lease to its own end; for tests."""
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
            self._set(granted.lease, sent_s + granted.ttl_s)
            logging.info("session lease %d", granted.lease)
        else:
            await asyncio.sleep(self._backoff.next_delay_s())

    async def _renew(self, lease: int) -> None:
        sent_s = now_s()
        renewed = await self._store.renew_lease(lease)
        if isinstance(renewed, GrantedLease):
            self.valid_until_s = sent_s + renewed.ttl_s
        elif isinstance(renewed, LeaseGone):
            logging.warning("session lease %d is over", lease)
            self._set(None, -float("inf"))

    def _set(self, lease: int | None, valid_until_s: float) -> None:
        self.lease = lease
        self.valid_until_s = valid_until_s
        self.changed.set()
        self.changed = asyncio.Event()
