"""Batch jobs: items accepted together, run later, their results listed in a fixed order."""
