"""Structured logs, metrics and the records that explain decisions."""
