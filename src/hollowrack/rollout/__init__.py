"""Training rollouts: runs, their sample ledgers, scheduling and execution of generations."""
