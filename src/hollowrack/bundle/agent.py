"""Keeps the accepted bundle in force on a node: from the store, from peers, never backwards."""

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
    """Asks a node for the bundle it has in force, if its revision is at least the given one."""

    min_revision: int


BundleListener = Callable[[Bundle], None]


class BundleAgent:
    """The bundle in force on one node.

    Args:
        store: Where bundles are accepted.
        membership: Spreads the revision and reaches peers.
        trusted_signers: Public keys of the signers by name.
        decisions: Where decisions are recorded.
        rng: Chooses peers to pull from.
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
        self._wanted_revision = 0
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        membership.on_fact.append(self._on_fact)

    @property
    def revision(self) -> int:
        """The revision in force; 0 for none."""
        return self.bundle.revision if self.bundle is not None else 0

    def start(self) -> None:
        """Start watching the store and pulling from peers."""
        self._tasks = [
            asyncio.create_task(self._run_store()),
            asyncio.create_task(self._run_pull()),
        ]

    async def stop(self) -> None:
        """Stop."""
        await cancel_all(*self._tasks)

    def apply_if_newer(self, signed: SignedBundle) -> Result[Bundle, Problem]:
        """Put a bundle in force if it is signed, valid and newer.

        Fails with ``BUNDLE_REVISION_LOWER`` for an older one, or the codes of ``open_bundle``.
        """
        opened = verify_bundle(signed, self._trusted_signers)
        if isinstance(opened, Failure):
            logging.warning("bundle refused: %s", opened.failure())
            return opened
        bundle = opened.unwrap()
        if bundle.revision == self.revision and self._signed == signed:
            return Success(bundle)
        if bundle.revision <= self.revision:
            detail = f"revision {bundle.revision} is not above {self.revision}"
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
        """Answer a peer.

        Raises:
            ProblemError: ``BUNDLE_REVISION_LOWER`` if this node has nothing that new.
        """
        if self._signed is None or self.revision < request.min_revision:
            detail = f"revision {self.revision} is in force here"
            raise ProblemError(Problem(ResultCode.BUNDLE_REVISION_LOWER, detail, "revision"))
        return self._signed

    def _on_fact(self, fact: Fact) -> None:
        if fact.name == BUNDLE_FACT and fact.value > self.revision:
            self._wanted_revision = max(self._wanted_revision, fact.value)
            self._wake.set()

    async def _run_store(self) -> None:
        while True:
            # While nothing is in force, every node asks: it may have started without peers.
            if self.bundle is None or self._watches_store():
                latest = (await self._store.latest()).value_or(None)
                if latest is not None:
                    self._offer_stored(latest)
            await asyncio.sleep(STORE_POLL_INTERVAL_S)

    def _offer_stored(self, latest: SignedBundle) -> None:
        result = self.apply_if_newer(latest)
        if (
            isinstance(result, Failure)
            and result.failure().code is ResultCode.BUNDLE_REVISION_LOWER
        ):
            logging.error("the configuration store went back: %s", result.failure())

    def _watches_store(self) -> bool:
        own = self._membership.swim.own
        ranked = [
            node
            for node in self._membership.candidates("bundle-watchers", own.zone)
            if self._membership.swim.members[node].zone == own.zone
        ]
        return own.node in ranked[:NUM_STORE_WATCHERS_PER_ZONE]

    async def _run_pull(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._wanted_revision > self.revision:
                await self._pull()
                if self._wanted_revision > self.revision:
                    await asyncio.sleep(PULL_RETRY_INTERVAL_S)

    async def _pull(self) -> None:
        own = self._membership.swim.own
        peers = [
            node for node in self._membership.candidates(own.node, own.zone) if node != own.node
        ]
        for peer in self._rng.sample(peers, min(NUM_PULL_PEERS, len(peers))):
            request = FetchBundle(self._wanted_revision)
            answer = await self._membership.request(peer, request, PULL_TIMEOUT_S)
            signed = answer.value_or(None)
            if isinstance(signed, SignedBundle) and isinstance(
                self.apply_if_newer(signed), Success
            ):
                return
