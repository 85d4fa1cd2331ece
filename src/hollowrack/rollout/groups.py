"""Names of the replicated groups on the rollout side."""

RUN_GROUP_PREFIX = "run:"


def run_group(run: str) -> str:
    """Return the name of the group that keeps a run's ledger."""
    return RUN_GROUP_PREFIX + run
