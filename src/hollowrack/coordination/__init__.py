"""Coordination through a linearizable key-value store: mirrors, leases, leadership."""
