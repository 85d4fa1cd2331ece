"""Operators' API: status, metrics, decisions, bundles and draining."""

import base64
import binascii
from collections.abc import Callable
from typing import Any

from returns.result import Failure
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from hollowrack.api.responses import RequestBody, problem_response, read_json
from hollowrack.bundle.agent import BundleAgent
from hollowrack.bundle.signing import SignedBundle, verify_bundle
from hollowrack.bundle.store import BundleStore
from hollowrack.observability.decisions import DecisionLog
from hollowrack.observability.metrics import NodeMetrics
from hollowrack.results import Problem, ResultCode

MAX_BUNDLE_BYTES = 4 * 1024 * 1024
MAX_DECISIONS = 500


class SignedBundleBody(RequestBody):
    """Body of ``POST /v1/bundle``; document and signature in base64."""

    document: str
    signer: str
    signature: str


class OperatorApi:
    """Handlers of the operators' API.

    Args:
        agent: Applies accepted bundles on this node.
        store: Store of the accepted bundles.
        trusted_signers: Public keys of the signers, in hex, by name.
        decisions: Log of the node's decisions.
        metrics: Metrics of the node.
        status: Returns the node's status as JSON values.
        drain: Starts a planned stop of the node.
        mark_back_end_leaving: Marks a back end as leaving in the whole fleet; returns whether
            it is known.
    """

    def __init__(
        self,
        agent: BundleAgent,
        store: BundleStore,
        trusted_signers: dict[str, str],
        decisions: DecisionLog,
        metrics: NodeMetrics,
        status: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
        mark_back_end_leaving: Callable[[str], bool],
    ) -> None:
        self._agent = agent
        self._store = store
        self._trusted_signers = trusted_signers
        self._decisions = decisions
        self._metrics = metrics
        self._status = status
        self._drain = drain
        self._mark_back_end_leaving = mark_back_end_leaving

    def routes(self) -> list[Route]:
        """Return the routes of the API."""
        return [
            Route("/v1/status", self._read_status, methods=["GET"]),
            Route("/metrics", self._read_metrics, methods=["GET"]),
            Route("/v1/decisions", self._read_decisions, methods=["GET"]),
            Route("/v1/bundle", self._submit_bundle, methods=["POST"]),
            Route("/v1/back-ends/{address}/leaving", self._mark_leaving, methods=["POST"]),
            Route("/v1/drain", self._start_drain, methods=["POST"]),
        ]

    async def _read_status(self, request: Request) -> Response:
        del request
        return JSONResponse(self._status())

    async def _read_metrics(self, request: Request) -> Response:
        del request
        return Response(self._metrics.render(), media_type="text/plain; version=0.0.4")

    async def _read_decisions(self, request: Request) -> Response:
        subject = request.query_params.get("subject")
        if subject is not None:
            records = self._decisions.find_by_subject(subject)[-MAX_DECISIONS:]
        else:
            records = self._decisions.latest(MAX_DECISIONS)
        return JSONResponse([record.as_json() for record in records])

    async def _submit_bundle(self, request: Request) -> Response:
        body = await read_json(request, SignedBundleBody, MAX_BUNDLE_BYTES)
        if isinstance(body, Failure):
            return problem_response(body.failure())
        try:
            signed = SignedBundle(
                base64.b64decode(body.unwrap().document, validate=True),
                body.unwrap().signer,
                base64.b64decode(body.unwrap().signature, validate=True),
            )
        except binascii.Error as error:
            return problem_response(Problem(ResultCode.BAD_REQUEST, f"{error}.", "body"))
        verified = verify_bundle(signed, self._trusted_signers)
        if isinstance(verified, Failure):
            return problem_response(verified.failure())
        revision = verified.unwrap().revision
        accepted = await self._store.accept(revision, signed)
        if isinstance(accepted, Failure):
            return problem_response(accepted.failure())
        self._agent.apply_if_newer(signed)
        return JSONResponse({"code": int(ResultCode.OK), "revision": revision})

    async def _mark_leaving(self, request: Request) -> Response:
        address = request.path_params["address"]
        if not self._mark_back_end_leaving(address):
            detail = f"{address} is in no machine list that this node has read"
            return problem_response(Problem(ResultCode.UNKNOWN_BACK_END, detail, "address"))
        return JSONResponse({"code": int(ResultCode.OK)})

    async def _start_drain(self, request: Request) -> Response:
        del request
        self._drain()
        return JSONResponse({"code": int(ResultCode.OK)}, status_code=202)
