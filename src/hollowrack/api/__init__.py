"""HTTP APIs of a node for callers, trainers and operators."""
