"""Bundles: what is refused, with code and place; signatures; acceptance under faults."""

import asyncio
from dataclasses import replace
from typing import Any

import aiohttp
import pytest

from hollowrack.bundle.schema import Bundle, parse_bundle
from hollowrack.bundle.signing import generate_key, public_key_hex, sign_bundle, verify_bundle
from hollowrack.bundle.store import BundleStore
from hollowrack.clients.config_store import ConfigStoreClient, HttpStoreCall
from hollowrack.results import ResultCode
from hollowrack_standins.config_store import ConfigStoreStandin

KEY = generate_key()
TRUSTED = {"ana": public_key_hex(KEY)}
BUNDLE = Bundle(revision=1, models={"m": {}})  # type: ignore[dict-item]  # pydantic converts


@pytest.mark.parametrize(
    ("values", "place"),
    [
        ({"revision": 0}, "revision"),
        ({"revision": 1, "colour": "red"}, "colour"),
        ({"revision": 1, "models": {"m": {"training_room": 1.5}}}, "models.m.training_room"),
        ({"revision": 1, "pools": {"p": {"timeout_s": 0}}}, "pools.p.timeout_s"),
        ({"revision": 1, "tenants": {"t": 0}}, ""),
        ({}, "revision"),
        ("text", ""),
    ],
)
def test_a_bad_bundle_names_its_place(values: Any, place: str) -> None:
    problem = parse_bundle(values).failure()
    assert (problem.code, problem.place) == (ResultCode.BUNDLE_INVALID, place)


def test_a_signed_bundle_opens() -> None:
    assert verify_bundle(sign_bundle(BUNDLE, "ana", KEY), TRUSTED).unwrap() == BUNDLE


def test_forgeries_are_refused() -> None:
    signed = sign_bundle(BUNDLE, "ana", KEY)
    changed = replace(signed, document=signed.document.replace(b'"revision":1', b'"revision":9'))
    assert verify_bundle(changed, TRUSTED).failure().code is ResultCode.BUNDLE_SIGNATURE_INVALID
    stranger = replace(signed, signer="eve")
    assert verify_bundle(stranger, TRUSTED).failure().code is ResultCode.BUNDLE_SIGNER_UNKNOWN
    other_key = sign_bundle(BUNDLE, "ana", generate_key())
    assert verify_bundle(other_key, TRUSTED).failure().code is ResultCode.BUNDLE_SIGNATURE_INVALID
    short = replace(signed, signature=b"short")
    assert verify_bundle(short, TRUSTED).failure().code is ResultCode.BUNDLE_SIGNATURE_INVALID


def test_of_racing_operators_exactly_one_wins_even_when_answers_are_lost() -> None:
    async def run() -> None:
        standin = ConfigStoreStandin(seed=5)
        address = await standin.start()
        standin.faults.lost_answer_share = 0.3
        async with aiohttp.ClientSession() as session:
            store = BundleStore(ConfigStoreClient(HttpStoreCall(session, [f"http://{address}"])))
            proposals = [
                sign_bundle(Bundle(revision=1, drain_deadline_s=float(number + 1)), "ana", KEY)
                for number in range(10)
            ]
            results = await asyncio.gather(*(store.accept(1, signed) for signed in proposals))
            codes = [result.failure().code for result in results if result.value_or("x") == "x"]
            assert codes == [ResultCode.BUNDLE_CONFLICT] * 9
            latest = (await store.latest()).unwrap()
            winner = next(
                signed
                for signed, result in zip(proposals, results, strict=True)
                if result.value_or("x") is None
            )
            assert latest == winner
            skipped = await store.accept(3, proposals[0])
            assert skipped.failure().code is ResultCode.BUNDLE_CONFLICT
        await standin.stop()

    asyncio.run(run())
