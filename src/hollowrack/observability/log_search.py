"""Search of JSON logs for the lines about one request, item, job or worker.

Lines of several nodes are ordered by their timestamps, so the order depends on the clock skew
between the nodes.
"""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass

_JOB_OF_ITEM = re.compile(r"\bitem (\S+) of job (\S+?):")
_WAITS = re.compile(r"\bitem \S+ of job \S+: .*\bwaiting: (.+)$")
_WORKER = re.compile(r"\bworker (\S+?)[:,; ]")
# Events of a whole node that can affect a request or item in progress.
_CONTEXT = re.compile(
    r"coordination store |elected leader|session lease \d+ has ended|^stopping|^stopped"
    r"|^edge node \S+ started|configuration \d+ in force|^changes of \S+ from"
    r"|log lines were dropped"
)


@dataclass(frozen=True)
class LogLine:
    """One parsed line of a node's log.

    Attributes:
        time: Timestamp as written by the node; text that sorts by time.
        node: Name of the node.
        level: Log level, for example ``INFO``.
        message: Text of the message.
    """

    time: str
    node: str
    level: str
    message: str


@dataclass(frozen=True)
class LogSearchResult:
    """Log lines found for a subject.

    Attributes:
        about: Lines that contain the subject, or concern the job of the item, oldest first.
        context: Events of the nodes in ``about`` between its first and last line, oldest first.
        num_unread: Number of non-empty lines that are not JSON log lines.
    """

    about: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    num_unread: int


def parse_lines(lines: Iterable[str]) -> tuple[list[LogLine], int]:
    """Parse JSON log lines, ignoring any text before the JSON.

    Returns:
        The parsed lines in input order, and the number of non-empty lines that are not log lines.
    """
    parsed: list[LogLine] = []
    num_unread = 0
    for line in lines:
        found = _parse(line)
        if found is not None:
            parsed.append(found)
        elif line.strip():
            num_unread += 1
    return parsed, num_unread


def _parse(line: str) -> LogLine | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        content = json.loads(line[start:])
        return LogLine(
            str(content["time"]),
            str(content["node"]),
            str(content["level"]),
            str(content["message"]),
        )
    except (ValueError, KeyError, TypeError):
        return None


def search_logs(subject: str, lines: Iterable[str]) -> LogSearchResult:
    """Return the log lines about a request, item, job or worker.

    Args:
        subject: Identifier of the request, item, job or worker.
        lines: Log lines of any number of nodes, in any order.
    """
    parsed, num_unread = parse_lines(lines)
    parsed.sort(key=lambda line: line.time)
    direct = [line for line in parsed if subject in line.message]
    jobs = {match[2] for line in direct for match in _JOB_OF_ITEM.finditer(line.message)}
    jobs.discard(subject)
    about = [line for line in parsed if subject in line.message or _is_about_jobs(line, jobs)]
    return LogSearchResult(tuple(about), tuple(_context(about, parsed)), num_unread)


def _is_about_jobs(line: LogLine, jobs: set[str]) -> bool:
    """Return whether a line concerns one of the jobs as a whole, not one of its items."""
    return any(line.message.startswith(f"job {job}:") for job in jobs)


def _context(about: list[LogLine], parsed: list[LogLine]) -> list[LogLine]:
    if not about:
        return []
    nodes = {line.node for line in about}
    first, last = about[0].time, about[-1].time
    return [
        line
        for line in parsed
        if line.node in nodes and first <= line.time <= last and _CONTEXT.search(line.message)
    ]


def worker_ids(lines: Iterable[LogLine]) -> list[str]:
    """Return the identifiers of the workers mentioned in the lines, sorted."""
    return sorted({match[1] for line in lines for match in _WORKER.finditer(line.message)})


def wait_descriptions(lines: Iterable[LogLine]) -> list[str]:
    """Return the descriptions of items' waits, in the order of the lines."""
    descriptions: list[str] = []
    for line in lines:
        found = _WAITS.search(line.message)
        if found is not None:
            descriptions.extend(found[1].split("; "))
    return descriptions
