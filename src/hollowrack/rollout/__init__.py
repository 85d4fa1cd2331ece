"""Training rollouts: runs, steps, sample slots, their ledger and their scheduling."""
