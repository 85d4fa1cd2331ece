"""Bundle agent: applies the newest accepted bundle, read from the store or pulled from peers."""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from absl import logging
from returns.result import Failure, Result, Success

from hollowrack.bundle.schema import Bundle
from hollowrack.bundle.signing import SignedBundle, verify_bundle
from hollowrack.bundle.store import BundleStore
from hollowrack.membership.service import MembershipService
from hollowrack.membership.types import Fact
from hollowrack.messages.codec import message
from hollowrack.observability.decisions import DecisionKind, DecisionLog
from hollowrack.results import Problem, ProblemError, ResultCode
from hollowrack.tasks import cancel_all

BUNDLE_FACT = "bundle"
STORE_POLL_INTERVAL_S = 1.0
PULL_TIMEOUT_S = 1.0
PULL_RETRY_INTERVAL_S = 0.2
NUM_STORE_WATCHERS_PER_ZONE = 2
NUM_PULL_PEERS = 3


@message("bundle.fetch")
@dataclass(frozen=True)
class FetchBundle:
    """Request for a node's current bundle if its revision is at least ``min_revision``."""

    min_revision: int


BundleListener = Callable[[Bundle], None]


class BundleAgent:
    """Maintains the current bundle of one node; its revision never decreases.

    Args:
        store: Store of the accepted bundles.
        membership: Gossips the revision and sends requests to peers.
        trusted_signers: Public keys of the signers, in hex, by name.
        decisions: Log of the decisions.
        rng: Selects the peers to pull from.

    Attributes:
        bundle: The current bundle; ``None`` until one has been applied.
        on_applied: Called with each newly applied bundle.
    """

    def __init__(
        self,
        store: BundleStore,
        membership: MembershipService,
        trusted_signers: Mapping[str, str],
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.bundle: Bundle | None = None
        self.on_applied: list[BundleListener] = []
        self._signed: SignedBundle | None = None
        self._store = store
        self._membership = membership
        self._trusted_signers = trusted_signers
        self._decisions = decisions
        self._rng = rng
        self._announced_revision = 0
        self._pull_needed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        membership.on_fact.append(self._on_fact)

    @property
    def revision(self) -> int:
        """Revision of the current bundle; 0 if there is none."""
        return self.bundle.revision if self.bundle is not None else 0

    def start(self) -> None:
        """Start polling the store and pulling from peers."""
        self._tasks = [
            asyncio.create_task(self._store_loop()),
            asyncio.create_task(self._pull_loop()),
        ]

    async def stop(self) -> None:
        """Stop polling and pulling."""
        await cancel_all(*self._tasks)

    def apply_if_newer(self, signed: SignedBundle) -> Result[Bundle, Problem]:
        """Apply a bundle if its signature and content are valid and it is newer.

        Applying the current bundle again has no effect and succeeds. Fails with
        ``BUNDLE_REVISION_LOWER`` if another bundle is not newer, or the codes of ``verify_bundle``.
        """
        verified = verify_bundle(signed, self._trusted_signers)
        if isinstance(verified, Failure):
            logging.warning("bundle rejected: %s", verified.failure())
            return verified
        bundle = verified.unwrap()
        if bundle.revision == self.revision and self._signed == signed:
            return Success(bundle)
        if bundle.revision <= self.revision:
            detail = f"revision {bundle.revision} is not above the current revision {self.revision}"
            return Failure(Problem(ResultCode.BUNDLE_REVISION_LOWER, detail, "revision"))
        self.bundle = bundle
        self._signed = signed
        self._membership.raise_fact(BUNDLE_FACT, bundle.revision)
        self._decisions.record(
            DecisionKind.APPLY_BUNDLE, f"bundle/{bundle.revision}", "in force", signer=signed.signer
        )
        for listener in self.on_applied:
            listener(bundle)
        return Success(bundle)

    def answer_fetch(self, request: FetchBundle) -> SignedBundle:
        """Return the current bundle to a peer.

        Raises:
            ProblemError: ``BUNDLE_REVISION_LOWER`` if its revision is below ``min_revision``.
        """
        if self._signed is None or self.revision < request.min_revision:
            detail = (
                f"the current revision on this node is {self.revision}, below the requested one"
            )
            raise ProblemError(Problem(ResultCode.BUNDLE_REVISION_LOWER, detail, "revision"))
        return self._signed

    def _on_fact(self, fact: Fact) -> None:
        if fact.name == BUNDLE_FACT and fact.value > self.revision:
            self._announced_revision = max(self._announced_revision, fact.value)
            self._pull_needed.set()

    async def _store_loop(self) -> None:
        while True:
            # Without a bundle, every node polls the store, since it may have no peers.
            if self.bundle is None or self._is_store_watcher():
                latest = (await self._store.latest()).value_or(None)
                if latest is not None:
                    self._apply_stored(latest)
            await asyncio.sleep(STORE_POLL_INTERVAL_S)

    def _apply_stored(self, latest: SignedBundle) -> None:
        result = self.apply_if_newer(latest)
        if (
            isinstance(result, Failure)
            and result.failure().code is ResultCode.BUNDLE_REVISION_LOWER
        ):
            logging.error(
                "configuration store returned an older bundle, or another one of the current "
                "revision: %s",
                result.failure(),
            )

    def _is_store_watcher(self) -> bool:
        own = self._membership.swim.own
        ranked = [
            node
            for node in self._membership.candidates("bundle-watchers", own.zone)
            if self._membership.swim.members[node].zone == own.zone
        ]
        return own.node in ranked[:NUM_STORE_WATCHERS_PER_ZONE]

    async def _pull_loop(self) -> None:
        while True:
            await self._pull_needed.wait()
            self._pull_needed.clear()
            while self._announced_revision > self.revision:
                await self._pull()
                if self._announced_revision > self.revision:
                    await asyncio.sleep(PULL_RETRY_INTERVAL_S)

    async def _pull(self) -> None:
        own = self._membership.swim.own
        peers = [
            node for node in self._membership.candidates(own.node, own.zone) if node != own.node
        ]
        for peer in self._rng.sample(peers, min(NUM_PULL_PEERS, len(peers))):
            request = FetchBundle(self._announced_revision)
            answer = await self._membership.request(peer, request, PULL_TIMEOUT_S)
            signed = answer.value_or(None)
            if isinstance(signed, SignedBundle) and isinstance(
                self.apply_if_newer(signed), Success
            ):
                return
