"""Which back end serves a request: pure choices over a snapshot of the fleet."""
