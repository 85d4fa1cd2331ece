"""Jobs, their items and results. All of them are stored, so all are registered messages."""

from dataclasses import dataclass
from urllib.parse import quote

from hollowrack.messages.codec import message


@message("job.scorer")
@dataclass(frozen=True)
class ScorerCall:
    """The request that scores an item's text.

    Attributes:
        request_id: Its identifier.
        host: Host of its route.
        target: Path and query.
        body: Its body.
    """

    request_id: str
    host: str
    target: str
    body: bytes


@message("job.item")
@dataclass(frozen=True)
class JobItem:
    """One generation of a job.

    Attributes:
        id: Its identifier, unique in the job.
        target: Path and query at the worker.
        headers: Headers as name and value.
        body: The body.
        group: Items of one group share their prompt; empty if it belongs to none.
        scorer: How its text is scored; ``None`` if it is not.
        expected_tokens: How many tokens will probably come out; 0 if nobody can tell.
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
        id: Its identifier.
        host: Host of its route.
        target: Path it was submitted under.
        items: Its items.
        model: Model whose versions bind it; empty if none do.
        min_version: Oldest weight version that may make its tokens.
        num_desired_groups: How many whole groups its trainer waits for.
        tenant: Name of the tenant that submitted it; ``None`` if it needed no key.
        configuration_version: Version of the configuration under which it was accepted; 0 if that
            is not known.
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
    """Return the identifier under which a job is kept.

    Callers choose identifiers. A tenant's are in a space of its own, so that it can neither find
    nor end another one's job, nor learn that there is one.

    Args:
        tenant: Name of the tenant; ``None`` where requests need no key.
        caller_job_id: The caller's identifier.
    """
    return caller_job_id if tenant is None else f"{quote(tenant, safe='')}/{caller_job_id}"


@message("job.result")
@dataclass(frozen=True)
class ItemResult:
    """How an item ended.

    Attributes:
        item_id: The item.
        is_complete: Whether the text is whole; otherwise the item was given up.
        text: Data of all events, separated by line feeds.
        versions: Every weight version that made an event.
        score: Signature of the scorer's answer.
    """

    item_id: str
    is_complete: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str | None = None


@message("job.results")
@dataclass(frozen=True)
class ResultBatch:
    """Results that were listed together, in order."""

    results: tuple[ItemResult, ...]
