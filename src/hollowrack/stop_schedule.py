"""Times of a planned stop for the requests of clients.

A process that is told to stop is killed at the end of its grace period. Callers are moved to other
nodes meanwhile, but keep open connections and send requests over them. A request that is accepted
must be complete before the end: either it is sent while callers cannot yet be elsewhere, or its own
time limit ends early enough.
"""

# Time in which all requests are accepted, as new connections may still be assigned to this node.
MAX_ACCEPT_S = 2.4
ACCEPT_FRACTION = 0.3
# Time after which the node accepts no more connections, and closes idle ones.
MAX_LISTEN_S = 3.5
LISTEN_FRACTION = 0.45
# Open requests are interrupted at this fraction of the grace period, or earlier if the rest is too
# short for the end of the process.
REQUESTS_END_FRACTION = 0.92
PROCESS_END_S = 0.3
MIN_REQUESTS_END_FRACTION = 0.85


class StopSchedule:
    """Schedule of a planned stop.

    All times are on the event loop's clock.

    Args:
        requested_s: Time of the request to stop.
        grace_s: Time from that request until the process is killed, in seconds.

    Attributes:
        requested_s: Time of the request to stop.
        accept_until_s: Until then all requests are accepted.
        listen_until_s: Until then connections are accepted and idle ones stay open.
        requests_end_s: Time at which open requests are interrupted.
    """

    def __init__(self, requested_s: float, grace_s: float) -> None:
        self.requested_s = requested_s
        self.accept_until_s = requested_s + min(MAX_ACCEPT_S, ACCEPT_FRACTION * grace_s)
        self.listen_until_s = requested_s + min(MAX_LISTEN_S, LISTEN_FRACTION * grace_s)
        self.requests_end_s = requested_s + max(
            MIN_REQUESTS_END_FRACTION * grace_s,
            min(REQUESTS_END_FRACTION * grace_s, grace_s - PROCESS_END_S),
        )

    def accepts(self, now_s: float, latest_end_s: float | None = None) -> bool:
        """Return whether a request that has been read now is accepted.

        Args:
            now_s: Current time.
            latest_end_s: Time by which the request is answered or has failed by itself; ``None`` if
                it is unknown.
        """
        if now_s <= self.accept_until_s:
            return True
        return latest_end_s is not None and latest_end_s <= self.requests_end_s
