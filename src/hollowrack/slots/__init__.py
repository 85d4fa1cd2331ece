"""Sharing the slots of workers among the nodes that run jobs."""
