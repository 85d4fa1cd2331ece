"""The replicated log: the one agreement primitive beneath sample ledgers and request claims."""
