"""Stored messages for jobs, their items and their results."""

from dataclasses import dataclass
from urllib.parse import quote

from hollowrack.messages.codec import message


@message("job.scorer")
@dataclass(frozen=True)
class ScorerCall:
    """The request that scores an item's text.

    Attributes:
        request_id: Identifier of the request at the scorer.
        host: Host of its route.
        target: Path and query.
        body: Request body, sent as it is.
    """

    request_id: str
    host: str
    target: str
    body: bytes


@message("job.item")
@dataclass(frozen=True)
class JobItem:
    """One generation request of a job.

    Attributes:
        id: Identifier, unique in the job.
        target: Path and query at the worker.
        headers: Name and value pairs.
        body: Request body sent to the worker.
        group: Group of items that share a prompt; empty if it belongs to none.
        scorer: Request that scores the text; ``None`` if it is not scored.
        expected_tokens: Length estimated by the caller; 0 if it stated none.
    """

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    group: str = ""
    scorer: ScorerCall | None = None
    expected_tokens: int = 0


@message("job.job")
@dataclass(frozen=True)
class Job:
    """A batch of items.

    Attributes:
        id: Identifier in the store, see :func:`scoped_job_id`.
        host: Host of its route.
        target: Path it was submitted under.
        items: Items in the caller's order.
        model: Model whose weight versions restrict the workers; empty if none do.
        min_version: Oldest weight version that may generate its tokens.
        num_desired_groups: How many complete groups the trainer waits for; 0 for all items.
        tenant: Name of the tenant that submitted it; ``None`` where requests need no key.
        configuration_version: Version of the configuration under which it was accepted; 0 if
            unknown.
    """

    id: str
    host: str
    target: str
    items: tuple[JobItem, ...]
    model: str = ""
    min_version: int = 0
    num_desired_groups: int = 0
    tenant: str | None = None
    configuration_version: int = 0


def scoped_job_id(tenant: str | None, caller_job_id: str) -> str:
    """Return the identifier under which a job is stored.

    Callers choose identifiers. Each tenant has a namespace of its own, so that it can neither
    find nor end another tenant's job, nor learn that it exists.

    Args:
        tenant: Name of the tenant; ``None`` where requests need no key.
        caller_job_id: Identifier chosen by the caller.
    """
    return caller_job_id if tenant is None else f"{quote(tenant, safe='')}/{caller_job_id}"


@message("job.result")
@dataclass(frozen=True)
class ItemResult:
    """Result of one item.

    Attributes:
        item_id: Identifier of the item in its job.
        is_complete: Whether the text is complete; otherwise the item was given up.
        text: Data of all events, separated by line feeds.
        versions: Every weight version that generated an event, ascending.
        score: Signature of the scorer's answer; ``None`` if the item is not scored or given up.
    """

    item_id: str
    is_complete: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str | None = None


@message("job.results")
@dataclass(frozen=True)
class ResultBatch:
    """Results that were listed by one write, in order."""

    results: tuple[ItemResult, ...]
