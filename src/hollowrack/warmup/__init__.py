"""Limits on the requests that cold workers receive from all nodes together."""
