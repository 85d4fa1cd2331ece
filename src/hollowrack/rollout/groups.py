"""Names of the replicated groups that store the sample ledgers."""

RUN_GROUP_PREFIX = "run:"


def run_group(run: str) -> str:
    """Return the name of the replicated group that stores a run's ledger."""
    return RUN_GROUP_PREFIX + run
