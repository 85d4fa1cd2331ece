"""Routing: selects the back end of a request from a snapshot of the fleet."""
