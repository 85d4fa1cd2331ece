"""The HTTP faces of a node: callers, trainers and operators."""
