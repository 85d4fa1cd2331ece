"""Feed of changes to operator, trainer and worker entries in the platform's store."""

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
    check_evacuation,
    check_retirement,
    decode_configuration,
    decode_evacuated_zone,
    decode_target_version,
    decode_worker,
)
from hollowrack.platform.unreadable_entries import UnreadableEntries
from hollowrack.results import Problem, ResultCode

# Only the leader watches the store, so short intervals cost little.
OPERATOR_POLL_INTERVAL_S = 0.15
WORKER_POLL_INTERVAL_S = 0.25
# Short, because a change that a watch missed must still arrive within two seconds.
OPERATOR_WATCH_TIMEOUT_S = 0.5
WORKER_WATCH_TIMEOUT_S = 1.0

Value = TypeVar("Value")


class FeedListener(Protocol):
    """Receiver of decoded changes from the platform's store."""

    def configuration_changed(self, configuration: RoutingConfiguration) -> None:
        """Receive a new or changed configuration."""

    def worker_changed(self, worker: Worker) -> None:
        """Receive a new or changed worker."""

    def worker_removed(self, worker_id: str) -> None:
        """Handle a worker's entry that cannot be decoded."""

    def worker_entry_removed(self, worker_id: str) -> None:
        """Handle the removal of a worker's entry, which may have expired during an outage."""

    def target_version_changed(self, model: str, version: int) -> None:
        """Receive the weight version that a trainer announced for a model."""

    def retirement_requested(self, machine: str) -> None:
        """Receive an operator's request to retire a machine."""

    def zone_evacuated(self, zone: str) -> None:
        """Handle the evacuation of a zone, which may be known already."""

    def evacuation_lifted(self, zone: str) -> None:
        """Handle the end of a zone's evacuation."""

    def watch_interrupted(self) -> None:
        """Handle an interruption after which watches may have missed changes."""


class PlatformFeed:
    """Watches the store, decodes changes and passes them to a listener.

    Args:
        store: Store to watch.
        listener: Receives the decoded changes.
        operator_poll_interval_s: Minimum interval between watches of operator keys, in seconds.
        worker_poll_interval_s: Minimum interval between watches of worker entries, in seconds.
        operator_watch_timeout_s: Maximum wait of one watch of operator keys, in seconds.
        worker_watch_timeout_s: Maximum wait of one watch of worker entries, in seconds.
        rng: Random generator of the retry jitter.
        starts_after: Event after which the first listings may be requested.
        regions: Names of the regions that a configuration may name.

    Attributes:
        operators: Mirror of operator keys. It is the sentinel: if its watch may have missed
            changes, the other prefixes are listed again.
        workers: Mirror of worker entries.
        anti_entropy: Fetches changes from other nodes while watches are silent; ``None`` to
            disable it.
        unreadable: Tracker of entries that cannot be decoded.
    """

    def __init__(
        self,
        store: CoordinationStore,
        listener: FeedListener,
        operator_poll_interval_s: float,
        worker_poll_interval_s: float,
        operator_watch_timeout_s: float,
        worker_watch_timeout_s: float,
        rng: random.Random,
        starts_after: asyncio.Event,
        regions: frozenset[str] = frozenset(),
    ) -> None:
        self._listener = listener
        self._regions = regions
        self.anti_entropy: AntiEntropy | None = None
        self.unreadable = UnreadableEntries(LogRateLimiter())
        self.operators = PrefixMirror(
            store,
            names.OPERATOR_PREFIX,
            self._on_operator_key,
            operator_poll_interval_s,
            rng,
            operator_watch_timeout_s,
            self._on_suspected_gap,
            starts_after=starts_after,
        )
        self.workers = PrefixMirror(
            store,
            names.WORKERS_PREFIX,
            self._on_worker_key,
            worker_poll_interval_s,
            rng,
            worker_watch_timeout_s,
            has_sentinel=True,
            starts_after=starts_after,
        )

    def start(self) -> None:
        """Start the watches."""
        self.operators.start()
        self.workers.start()
        if self.anti_entropy is not None:
            self.anti_entropy.start()

    async def stop(self) -> None:
        """Stop the watches."""
        if self.anti_entropy is not None:
            await self.anti_entropy.stop()
        await self.operators.stop()
        await self.workers.stop()

    def rewatch_workers(self) -> None:
        """Restart the watch of worker entries."""
        self.workers.restart_watch()

    def rewatch(self) -> None:
        """Restart both watches."""
        self.operators.restart_watch()
        self.workers.restart_watch()

    def retry_now(self) -> None:
        """End the mirrors' backoff after failures."""
        self.operators.retry_now()
        self.workers.retry_now()

    def mirrors(self) -> dict[str, PrefixMirror]:
        """Return the mirrors by key prefix."""
        return {names.OPERATOR_PREFIX: self.operators, names.WORKERS_PREFIX: self.workers}

    def _on_suspected_gap(self) -> None:
        self.workers.relist()
        self._listener.watch_interrupted()

    def _on_operator_key(self, key: str, item: StoredItem | None) -> None:
        if item is None:
            self._on_operator_key_removed(key)
            return
        problem = self._apply_operator_key(key, item.value)
        if problem is None:
            self.unreadable.remove(key)
        else:
            # An unreadable value of an evacuation has no consequence.
            is_harmless = problem.code is ResultCode.EVACUATION_VALUE_UNREADABLE
            level = logging.WARNING if is_harmless else logging.ERROR
            self.unreadable.record(names.OPERATOR_PREFIX, key, problem, level)

    def _on_operator_key_removed(self, key: str) -> None:
        self.unreadable.remove(key)
        if key.startswith(names.EVACUATION_PREFIX):
            self._listener.evacuation_lifted(key.removeprefix(names.EVACUATION_PREFIX))
        if key == names.CONFIGURATION_KEY:
            detail = "the key was removed"
            logging.error("%s", Problem(ResultCode.CONFIGURATION_IGNORED, detail, key))

    def _apply_operator_key(self, key: str, value: bytes) -> Problem | None:
        """Decode an operator's or trainer's entry and notify the listener.

        Returns the problem if the entry cannot be decoded.
        """
        if key == names.CONFIGURATION_KEY:
            return self._notify_if_decoded(
                decode_configuration(value, self._regions), self._listener.configuration_changed
            )
        if key.startswith(names.TARGET_VERSION_PREFIX):
            decoded = decode_target_version(key, value)
            return self._notify_if_decoded(
                decoded, lambda version: self._listener.target_version_changed(*version)
            )
        if key.startswith(names.RETIREMENT_PREFIX):
            machine = key.removeprefix(names.RETIREMENT_PREFIX)
            checked = check_retirement(key, value)
            return self._notify_if_decoded(
                checked, lambda _: self._listener.retirement_requested(machine)
            )
        if key.startswith(names.EVACUATION_PREFIX):
            return self._apply_evacuation(key, value)
        return None

    def _apply_evacuation(self, key: str, value: bytes) -> Problem | None:
        """Evacuate the zone that a key names, whatever its value is."""
        zone = decode_evacuated_zone(key)
        problem = self._notify_if_decoded(zone, self._listener.zone_evacuated)
        return problem or self._notify_if_decoded(check_evacuation(key, value), lambda _: None)

    @staticmethod
    def _notify_if_decoded(
        decoded: Result[Value, Problem], listener: Callable[[Value], None]
    ) -> Problem | None:
        """Pass the decoded value to the listener, or return the decoding problem."""
        if isinstance(decoded, Failure):
            problem: Problem = decoded.failure()
            return problem
        listener(decoded.unwrap())
        return None

    def _on_worker_key(self, key: str, item: StoredItem | None) -> None:
        worker_id = key.removeprefix(names.WORKERS_PREFIX)
        if item is None:
            self.unreadable.remove(key)
            self._listener.worker_entry_removed(worker_id)
            return
        worker = decode_worker(key, item.value)
        if isinstance(worker, Failure):
            self.unreadable.record(names.WORKERS_PREFIX, key, worker.failure())
            # The address may belong to another worker by now.
            self._listener.worker_removed(worker_id)
        else:
            self.unreadable.remove(key)
            self._listener.worker_changed(worker.unwrap())


def make_platform_feed(node: EdgeNode, rng: random.Random) -> PlatformFeed:
    """Return a feed connected to a node; it is not started.

    Args:
        node: Node that receives the changes.
        rng: Random generator of the retry jitter.
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
        node.topology.regions,
    )
    feed.anti_entropy = AntiEntropy(
        feed.mirrors(), node.feed_client, node.neighbour_addresses, shared, rng
    )
    shared.source_listeners.append(feed.rewatch_workers)
    shared.recovery_listeners.append(feed.retry_now)
    node.store.direct_failure_listeners.append(feed.rewatch)
    return feed


def make_mirror_feed(node: EdgeNode, feed: PlatformFeed) -> MirrorFeed:
    """Return a feed that serves other nodes' watches from a node's mirrors."""
    mirrors = {**feed.mirrors(), **node.shared_mirrors()}
    return MirrorFeed(mirrors, node.shared_store.last_answer_s)
