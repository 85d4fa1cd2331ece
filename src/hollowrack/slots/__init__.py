"""Allocation of worker slots to the nodes that run jobs."""
