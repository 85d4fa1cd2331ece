"""Hollowrack: a rollout service between callers, trainers and model engines."""
