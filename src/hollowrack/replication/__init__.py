"""Replicated log: consensus for sample ledgers and request claims."""
