"""Finds what nodes' JSON logs say about one request, item, job or worker.

Times are those of each node's clock; lines of several nodes are ordered by them, which is as good
as the clocks agree.
"""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass

_JOB_OF_ITEM = re.compile(r"\bitem (\S+) of job (\S+?):")
_WAITS = re.compile(r"\bitem \S+ of job \S+: .*\bwaiting: (.+)$")
_WORKER = re.compile(r"\bworker (\S+?)[:,; ]")
# What may have happened to a whole node while the subject was in progress.
_CONTEXT = re.compile(
    r"coordination store |leader from now on|session lease \d+ is over|^stopping|^stopped"
    r"|^edge node \S+ started|configuration \d+ in force|^changes of \S+ from"
    r"|log lines were dropped"
)


@dataclass(frozen=True)
class LogLine:
    """One line of a node's log.

    Attributes:
        time: When it was written, by the node's clock.
        node: The node.
        level: Its level.
        message: What it says.
    """

    time: str
    node: str
    level: str
    message: str


@dataclass(frozen=True)
class LogSearchResult:
    """What logs say about a subject.

    Attributes:
        about: Lines that name the subject, its job or its workers' part in it, oldest first.
        context: What nodes named there went through in between, oldest first.
        num_unread: Lines that are no log lines of a node.
    """

    about: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    num_unread: int


def parse_lines(lines: Iterable[str]) -> tuple[list[LogLine], int]:
    """Parse JSON log lines, whatever stands before the JSON; also count those that are none."""
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
    """Collect what logs say about a request, item, job or worker by its identifier."""
    parsed, num_unread = parse_lines(lines)
    parsed.sort(key=lambda line: line.time)
    direct = [line for line in parsed if subject in line.message]
    jobs = {match[2] for line in direct for match in _JOB_OF_ITEM.finditer(line.message)}
    jobs.discard(subject)
    about = [line for line in parsed if subject in line.message or _is_about_jobs(line, jobs)]
    return LogSearchResult(tuple(about), tuple(_context(about, parsed)), num_unread)


def _is_about_jobs(line: LogLine, jobs: set[str]) -> bool:
    """Whether a line is about one of the jobs as a whole, not about another of its items."""
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
    """Return the workers that lines name, sorted."""
    return sorted({match[1] for line in lines for match in _WORKER.finditer(line.message)})


def wait_descriptions(lines: Iterable[LogLine]) -> list[str]:
    """Return the waits of items that lines tell, one a text, in the order of the lines."""
    told: list[str] = []
    for line in lines:
        found = _WAITS.search(line.message)
        if found is not None:
            told.extend(found[1].split("; "))
    return told
