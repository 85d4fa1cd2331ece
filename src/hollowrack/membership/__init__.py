"""Which nodes exist, which of them run, and small facts that all of them should know."""
