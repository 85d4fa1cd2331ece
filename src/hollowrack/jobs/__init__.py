"""Batch jobs: many items accepted together, run later, listed in a fixed order."""
