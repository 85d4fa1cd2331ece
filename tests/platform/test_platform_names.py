"""Names of the platform must not appear outside its adapter."""

from pathlib import Path

import hollowrack
from hollowrack.platform import names

SOURCE = Path(hollowrack.__file__).parent
# Common words, which may also appear elsewhere.
COMMON = {
    "draining",
    "complete",
    "errored",
    "usage",
    "Retry-After",
    "Request-Id",
    "op/",
    "servers/",
}
# Words that are also type names or start sentences; only quoted occurrences count.
AMBIGUOUS = {"Tenant", "Hold"}


def platform_names() -> set[str]:
    values = {value for name, value in vars(names).items() if name.isupper()}
    words = {value for value in values if isinstance(value, str)} - COMMON
    return (words - AMBIGUOUS) | {f'"{word}"' for word in words & AMBIGUOUS}


def test_platform_names_appear_only_in_the_adapter() -> None:
    found = [
        f"{path.relative_to(SOURCE)}: {name}"
        for path in sorted(SOURCE.rglob("*.py"))
        if SOURCE / "platform" not in path.parents
        for name in sorted(platform_names())
        if name in path.read_text()
    ]
    assert found == []


def test_adapter_is_not_imported_elsewhere() -> None:
    found = [
        str(path.relative_to(SOURCE))
        for path in sorted(SOURCE.rglob("*.py"))
        if SOURCE / "platform" not in path.parents and "hollowrack.platform" in path.read_text()
    ]
    assert found == []
