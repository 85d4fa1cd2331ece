"""Follows what operators, trainers and workers keep in the platform's store."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol, TypeVar

from absl import logging
from returns.result import Failure, Result

from hollowrack.coordination.anti_entropy import AntiEntropy
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.mirror_feed import MirrorFeed
from hollowrack.coordination.store import CoordinationStore, StoredItem
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.types import RoutingConfiguration, Worker
from hollowrack.observability.log_rate_limiter import LogRateLimiter
from hollowrack.platform import names
from hollowrack.platform.configuration import (
    check_retirement,
    decode_configuration,
    decode_target_version,
    decode_worker,
)
from hollowrack.platform.unreadable_entries import UnreadableEntries
from hollowrack.results import Problem, ResultCode

# Only the leader's watches reach the store, so that they may be close.
OPERATOR_POLL_INTERVAL_S = 0.15
WORKER_POLL_INTERVAL_S = 0.25
# Changes missed by a watch must be noticed well inside the two seconds they have.
OPERATOR_WATCH_TIMEOUT_S = 0.5
WORKER_WATCH_TIMEOUT_S = 1.0

Value = TypeVar("Value")


class FeedListener(Protocol):
    """Takes in what the platform tells."""

    def configuration_changed(self, configuration: RoutingConfiguration) -> None:
        """A configuration was accepted."""

    def worker_changed(self, worker: Worker) -> None:
        """A worker has a new state."""

    def worker_removed(self, worker_id: str) -> None:
        """A worker is gone."""

    def target_version_changed(self, model: str, version: int) -> None:
        """A trainer has named a weight version."""

    def retirement_requested(self, node: str) -> None:
        """An operator asks that a machine be emptied."""

    def watch_interrupted(self) -> None:
        """Watches of the store may have missed changes."""


class PlatformFeed:
    """Decodes changes in the store and hands them to a listener.

    Args:
        store: Answers watches of the platform's store.
        listener: Takes them in.
        operator_pace_s: Least time between two looks at operators' keys, in seconds.
        worker_pace_s: Least time between two looks at workers' entries, in seconds.
        operator_wait_s: Longest wait of one watch of operators' keys, in seconds.
        worker_wait_s: Longest wait of one watch of workers' entries, in seconds.
        rng: Source of the retry jitter.
        starts_after: Set once the first listings may begin.

    Attributes:
        operators: Mirror of operators' keys; the sentinel of all others.
        workers: Mirror of workers' entries.
        anti_entropy: Asks neighbours while watches are silent; ``None`` for never.
        unreadable: Entries that cannot be read.
    """

    def __init__(
        self,
        store: CoordinationStore,
        listener: FeedListener,
        operator_pace_s: float,
        worker_pace_s: float,
        operator_wait_s: float,
        worker_wait_s: float,
        rng: random.Random,
        starts_after: asyncio.Event,
    ) -> None:
        self._listener = listener
        self.anti_entropy: AntiEntropy | None = None
        self.unreadable = UnreadableEntries(LogRateLimiter())
        self.operators = PrefixMirror(
            store,
            names.OPERATOR_PREFIX,
            self._on_operator_key,
            operator_pace_s,
            rng,
            operator_wait_s,
            self._on_doubt,
            starts_after=starts_after,
        )
        self.workers = PrefixMirror(
            store,
            names.WORKERS_PREFIX,
            self._on_worker_key,
            worker_pace_s,
            rng,
            worker_wait_s,
            has_sentinel=True,
            starts_after=starts_after,
        )

    def start(self) -> None:
        """Start following."""
        self.operators.start()
        self.workers.start()
        if self.anti_entropy is not None:
            self.anti_entropy.start()

    async def stop(self) -> None:
        """Stop following."""
        if self.anti_entropy is not None:
            await self.anti_entropy.stop()
        await self.operators.stop()
        await self.workers.stop()

    def rewatch_workers(self) -> None:
        """Begin the watch of workers' entries anew."""
        self.workers.restart_watch()

    def rewatch(self) -> None:
        """Begin both watches anew."""
        self.operators.restart_watch()
        self.workers.restart_watch()

    def wake(self) -> None:
        """End the mirrors' pauses after failures."""
        self.operators.retry_now()
        self.workers.retry_now()

    def mirrors(self) -> dict[str, PrefixMirror]:
        """Return the mirrors by prefix."""
        return {names.OPERATOR_PREFIX: self.operators, names.WORKERS_PREFIX: self.workers}

    def _on_doubt(self) -> None:
        self.workers.relist()
        self._listener.watch_interrupted()

    def _on_operator_key(self, key: str, item: StoredItem | None) -> None:
        if item is None:
            self._on_removed_operator_key(key)
            return
        problem = self._take_operator_key(key, item.value)
        if problem is None:
            self.unreadable.forget(key)
        else:
            self.unreadable.record(names.OPERATOR_PREFIX, key, problem)

    def _on_removed_operator_key(self, key: str) -> None:
        self.unreadable.forget(key)
        if key == names.CONFIGURATION_KEY:
            detail = "the key was removed"
            logging.error("%s", Problem(ResultCode.CONFIGURATION_IGNORED, detail, key))

    def _take_operator_key(self, key: str, value: bytes) -> Problem | None:
        """Hand an operator's or trainer's entry on; returns why it cannot be read, if it cannot."""
        if key == names.CONFIGURATION_KEY:
            return self._take(decode_configuration(value), self._listener.configuration_changed)
        if key.startswith(names.NAMED_VERSION_PREFIX):
            named = decode_target_version(key, value)
            return self._take(
                named, lambda version: self._listener.target_version_changed(*version)
            )
        if key.startswith(names.RETIREMENT_PREFIX):
            machine = key.removeprefix(names.RETIREMENT_PREFIX)
            asked = check_retirement(key, value)
            return self._take(asked, lambda _: self._listener.retirement_requested(machine))
        return None

    @staticmethod
    def _take(decoded: Result[Value, Problem], listener: Callable[[Value], None]) -> Problem | None:
        """Hand on what could be decoded; returns the problem otherwise."""
        if isinstance(decoded, Failure):
            problem: Problem = decoded.failure()
            return problem
        listener(decoded.unwrap())
        return None

    def _on_worker_key(self, key: str, item: StoredItem | None) -> None:
        worker_id = key.removeprefix(names.WORKERS_PREFIX)
        if item is None:
            self.unreadable.forget(key)
            self._listener.worker_removed(worker_id)
            return
        worker = decode_worker(key, item.value)
        if isinstance(worker, Failure):
            self.unreadable.record(names.WORKERS_PREFIX, key, worker.failure())
            # Its address may be another worker's by now.
            self._listener.worker_removed(worker_id)
        else:
            self.unreadable.forget(key)
            self._listener.worker_changed(worker.unwrap())


def make_platform_feed(node: EdgeNode, rng: random.Random) -> PlatformFeed:
    """Return a feed of a node's own, joined to it and not started.

    Args:
        node: The node.
        rng: Source of the retry jitter.
    """
    shared = node.shared_store
    shared.sentinel_prefix = names.OPERATOR_PREFIX
    feed = PlatformFeed(
        shared,
        node,
        OPERATOR_POLL_INTERVAL_S,
        WORKER_POLL_INTERVAL_S,
        OPERATOR_WATCH_TIMEOUT_S,
        WORKER_WATCH_TIMEOUT_S,
        rng,
        node.may_watch_feed,
    )
    feed.anti_entropy = AntiEntropy(
        feed.mirrors(), node.feed_client, node.neighbour_addresses, shared, rng
    )
    shared.source_listeners.append(feed.rewatch_workers)
    shared.recovery_listeners.append(feed.wake)
    node.store.direct_failure_listeners.append(feed.rewatch)
    return feed


def make_mirror_feed(node: EdgeNode, feed: PlatformFeed) -> MirrorFeed:
    """Return what answers other nodes' watches from a node's mirrors."""
    mirrors = {**feed.mirrors(), **node.shared_mirrors()}
    return MirrorFeed(mirrors, node.shared_store.last_answer_s)
