"""Leader election: two leaders act at once, or a handover is skipped or repeated without need."""

import asyncio
import random
from dataclasses import dataclass

import pytest

from hollowrack.clock import now_s
from hollowrack.coordination.leadership import REVOKED_MARGIN_S, Leadership
from hollowrack.coordination.mirror import PrefixMirror
from hollowrack.coordination.session import SESSION_TTL_S, Session
from hollowrack.coordination.store import StoredItem
from hollowrack_bench.virtual_time import run_virtual
from hollowrack_standins.coordination_store import CoordinationStoreCore, StoreFaults

KEY = "s/leader"
HANDOVER_S = 3.0


@dataclass
class Candidate:
    """The parts of a node that take part in the election."""

    name: str
    session: Session
    leadership: Leadership
    mirror: PrefixMirror
    faults: StoreFaults

    @classmethod
    def start(cls, core: CoordinationStoreCore, name: str) -> "Candidate":
        faults = StoreFaults()
        store = core.make_client(faults)
        session = Session(store, random.Random(1))
        rng = random.Random(name)
        leadership = Leadership(store, session, KEY, name, HANDOVER_S, rng)

        def record(key: str, item: StoredItem | None) -> None:
            if key == KEY:
                leadership.update_leader_key(item)
            elif key == leadership.last_key:
                leadership.update_last_leader_key(item)

        mirror = PrefixMirror(store, "s/", record, 0.2, rng)
        session.start()
        mirror.start()
        leadership.start()
        asyncio.create_task(cls._load_leader_key(mirror, leadership))  # noqa: RUF006 (ends by itself)
        return cls(name, session, leadership, mirror, faults)

    @staticmethod
    async def _load_leader_key(mirror: PrefixMirror, leadership: Leadership) -> None:
        await mirror.is_loaded.wait()
        leadership.update_leader_key(mirror.items.get(KEY))

    async def stop(self) -> None:
        await self.leadership.stop()
        await self.mirror.stop()
        await self.session.stop()


async def leaders(candidates: list[Candidate]) -> list[Candidate]:
    return [candidate for candidate in candidates if candidate.leadership.is_leader]


def test_one_candidate_is_elected_and_acts_only_after_handover() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        candidates = [Candidate.start(core, f"n{index}") for index in range(5)]
        await asyncio.sleep(1.5)
        assert len(await leaders(candidates)) == 1
        assert not any(candidate.leadership.may_act for candidate in candidates)
        await asyncio.sleep(HANDOVER_S)
        assert sum(candidate.leadership.may_act for candidate in candidates) == 1
        for candidate in candidates:
            await candidate.stop()

    run_virtual(main())


def test_candidate_leads_although_answer_to_campaign_was_lost() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        candidate = Candidate.start(core, "n1")
        await asyncio.sleep(0.005)
        candidate.faults.num_lost_answers = 1
        await asyncio.sleep(6.0)
        assert candidate.leadership.is_leader
        await candidate.stop()

    run_virtual(main())


@pytest.mark.parametrize("fault", ["refuses", "is_silent"])
def test_leader_cut_off_from_store_stops_before_successor_acts(fault: str) -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        candidates = [Candidate.start(core, f"n{index}") for index in range(3)]
        await asyncio.sleep(HANDOVER_S + 3.0)
        (former,) = await leaders(candidates)
        setattr(former.faults, fault, True)
        last_old_s = first_new_s = None
        for _ in range(1000):
            await asyncio.sleep(0.01)
            acting = [candidate for candidate in candidates if candidate.leadership.may_act]
            assert len(acting) <= 1
            if acting == [former]:
                last_old_s = now_s()
            elif acting and first_new_s is None:
                first_new_s = now_s()
        assert last_old_s is not None and first_new_s is not None
        assert first_new_s - last_old_s >= HANDOVER_S
        for candidate in candidates:
            await candidate.stop()

    run_virtual(main())


def test_fencing_tokens_increase_with_each_leader() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        candidates = [Candidate.start(core, f"n{index}") for index in range(3)]
        tokens = []
        for _ in range(3):
            await asyncio.sleep(SESSION_TTL_S + 2.0)
            (leader,) = await leaders(candidates)
            token = leader.leadership.fencing_token
            assert token is not None
            tokens.append(token)
            await leader.stop()
            candidates.remove(leader)
        assert tokens == sorted(set(tokens))

    run_virtual(main())


def test_restarted_leader_leads_without_handover() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        first = Candidate.start(core, "n1#a")
        await asyncio.sleep(HANDOVER_S + 3.0)
        assert first.leadership.may_act
        first.faults.is_silent = True
        await first.leadership.stop()
        await first.session.abandon()
        second = Candidate.start(core, "n1#b")
        other = Candidate.start(core, "n2#a")
        await asyncio.sleep(1.2)
        assert second.leadership.may_act
        assert not other.leadership.is_leader
        for candidate in (first, second, other):
            await candidate.stop()

    run_virtual(main())


@pytest.mark.parametrize("start_delay_s", [0.0, 0.5])
def test_last_leader_leads_without_handover_after_restart_of_all_nodes(
    start_delay_s: float,
) -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        first = [Candidate.start(core, f"n{index}#a") for index in range(4)]
        await asyncio.sleep(HANDOVER_S + 3.0)
        (former,) = await leaders(first)
        name = former.name.removesuffix("#a")
        for candidate in first:
            candidate.faults.is_silent = True
            await candidate.leadership.stop()
            await candidate.session.abandon()
        await asyncio.sleep(SESSION_TTL_S + 1.0)
        others = [f"n{index}" for index in range(4) if f"n{index}" != name]
        second = [Candidate.start(core, f"{other}#b") for other in others]
        await asyncio.sleep(start_delay_s)
        second.append(Candidate.start(core, f"{name}#b"))
        await asyncio.sleep(1.0)
        (new,) = await leaders(second)
        assert new.name == f"{name}#b"
        assert new.leadership.may_act
        for candidate in (*first, *second):
            await candidate.stop()

    run_virtual(main())


def test_another_node_leads_if_last_leader_does_not_restart() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        first = Candidate.start(core, "n0#a")
        await asyncio.sleep(HANDOVER_S + 3.0)
        first.faults.is_silent = True
        await first.leadership.stop()
        await first.session.abandon()
        await asyncio.sleep(SESSION_TTL_S + 1.0)
        second = [Candidate.start(core, f"n{index}#b") for index in (1, 2)]
        await asyncio.sleep(2.0)
        assert len(await leaders(second)) == 1
        for candidate in (first, *second):
            await candidate.stop()

    run_virtual(main())


def test_former_leader_waits_for_handover_if_another_led_since() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        first = Candidate.start(core, "n1#a")
        await asyncio.sleep(HANDOVER_S + 3.0)
        await first.stop()
        second = Candidate.start(core, "n2#a")
        await asyncio.sleep(HANDOVER_S + 3.0)
        assert second.leadership.may_act
        await second.stop()
        again = Candidate.start(core, "n1#b")
        await asyncio.sleep(HANDOVER_S - 0.5)
        assert again.leadership.is_leader
        assert not again.leadership.may_act
        await again.stop()

    run_virtual(main())


def test_youngest_node_leads_after_resignation() -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        older = [Candidate.start(core, f"n{index}#a") for index in range(4)]
        await asyncio.sleep(30.0)
        youngest = Candidate.start(core, "n9#a")
        await asyncio.sleep(1.0)
        (leader,) = await leaders(older)
        await leader.leadership.resign()
        await asyncio.sleep(0.9)
        assert youngest.leadership.is_leader
        assert not youngest.leadership.may_act
        await asyncio.sleep(HANDOVER_S)
        assert youngest.leadership.may_act
        for candidate in (*older, youngest):
            await candidate.stop()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(6))
def test_handover_counts_from_when_leader_key_was_seen_removed(seed: int) -> None:
    async def main() -> None:
        core = CoordinationStoreCore()
        candidates = [Candidate.start(core, f"n{seed}{index}") for index in range(5)]
        await asyncio.sleep(6.0)
        (former,) = await leaders(candidates)
        rest = [candidate for candidate in candidates if candidate is not former]
        former.faults.is_silent = True
        last_acted_s = removed_s = first_acted_s = None
        while first_acted_s is None:
            await asyncio.sleep(0.01)
            if former.leadership.may_act:
                last_acted_s = now_s()
            if removed_s is None and KEY not in core.items:
                removed_s = now_s()
            if any(candidate.leadership.may_act for candidate in rest):
                first_acted_s = now_s()
        assert last_acted_s is not None
        assert removed_s is not None
        assert first_acted_s - last_acted_s >= HANDOVER_S
        # The mirror's interval is added, but not the duration of the campaign.
        assert first_acted_s - removed_s <= HANDOVER_S + REVOKED_MARGIN_S + 0.3
        for candidate in candidates:
            await candidate.stop()

    run_virtual(main())


def test_handover_covers_leader_that_this_node_did_not_see() -> None:
    """A node that lost contact while another node led waits for the handover after that node."""

    async def main() -> None:
        core = CoordinationStoreCore()
        late = Candidate.start(core, "late")
        other = Candidate.start(core, "other")
        await asyncio.sleep(6.0)
        (first,) = await leaders([late, other])
        second = other if first is late else late
        # The leader loses the store, its key expires, and the other node cannot campaign yet.
        first.faults.is_silent = True
        await asyncio.sleep(SESSION_TTL_S + 0.05)
        second.faults.is_silent = True
        third = Candidate.start(core, "third")
        await asyncio.sleep(HANDOVER_S + 3.0)
        assert third.leadership.may_act
        third.faults.is_silent = True
        last_acted_s = now_s()
        while KEY in core.items or third.leadership.may_act:
            last_acted_s = now_s() if third.leadership.may_act else last_acted_s
            await asyncio.sleep(0.01)
            core.changes("", core.revision)
        second.faults.is_silent = False
        acted_s: float | None = None
        while acted_s is None:
            await asyncio.sleep(0.01)
            acted_s = now_s() if second.leadership.may_act else None
        assert acted_s - last_acted_s >= HANDOVER_S
        for candidate in (late, other, third):
            await candidate.stop()

    run_virtual(main())
