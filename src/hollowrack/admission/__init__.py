"""Admission control of live requests: concurrency limits, fair queueing and load shedding."""
