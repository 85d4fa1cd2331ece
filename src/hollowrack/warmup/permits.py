"""Permits that this node holds for its next requests to cold workers."""

from collections import Counter, deque
from dataclasses import dataclass

from hollowrack.clock import now_s
from hollowrack.forwarding.types import Worker, WorkerIncarnation
from hollowrack.warmup.types import GRANT_WINDOW_S, MAX_PERMITS

# Sends whose times are kept, of all workers together.
MAX_RECENT_SENDS = 4_096


@dataclass(eq=False)
class _Permit:
    """Permission to send one request to a worker.

    Attributes:
        worker: The worker.
        expires_s: Time from which it may not be used, on the loop's clock.
        is_reserved: Whether it is reserved for a request that has not been sent yet.
        request_id: Request that it is reserved for; ``None`` for the run that has a slot there.
    """

    worker: Worker
    expires_s: float
    is_reserved: bool = False
    request_id: str | None = None


class PermitStore:
    """Holds granted permits until they are used or expire.

    Attributes:
        num_granted: Permits received, by service.
        num_used: Permits spent on a send, by service.
        num_expired: Permits that expired unused, by service.
    """

    def __init__(self) -> None:
        self.num_granted: Counter[str] = Counter()
        self.num_used: Counter[str] = Counter()
        self.num_expired: Counter[str] = Counter()
        self._permits: dict[WorkerIncarnation, list[_Permit]] = {}
        # By identifier; a client may repeat a request while the first one waits.
        self._reserved: dict[str, list[_Permit]] = {}

    def add(self, worker: Worker, number: int, expires_s: float) -> None:
        """Add granted permits; those that have expired already count as expired."""
        self.num_granted[worker.service] += number
        permits = self._permits.setdefault(worker.incarnation, [])
        permits.extend(_Permit(worker, expires_s) for _ in range(number))

    def num_free(self, worker: Worker) -> int:
        """Return the number of permits for a worker that are not reserved."""
        return sum(not permit.is_reserved for permit in self._valid(worker))

    def reserve(self, worker: Worker, request_id: str | None = None) -> bool:
        """Reserve a permit for a request that is about to be sent.

        Args:
            worker: The worker.
            request_id: Identifier of the request; ``None`` for a run.

        Returns:
            Whether there was a permit.
        """
        permit = next((held for held in self._valid(worker) if not held.is_reserved), None)
        if permit is None:
            return False
        permit.is_reserved = True
        if request_id is not None:
            permit.request_id = request_id
            self._reserved.setdefault(request_id, []).append(permit)
        return True

    def reserved_worker(self, request_id: str) -> Worker | None:
        """Return the worker that a permit is reserved for a request at."""
        # A copy, as the check drops reservations that have expired.
        reserved = tuple(self._reserved.get(request_id, ()))
        valid = (permit.worker for permit in reserved if permit in self._valid(permit.worker))
        return next(valid, None)

    def release(self, request_id: str) -> None:
        """Make the permit of a request that is not sent available to others."""
        reserved = self._reserved.get(request_id)
        if reserved:
            permit = reserved[0]
            self._drop_reservation(permit)
            permit.is_reserved = False
            permit.request_id = None

    def use(self, worker: Worker, request_id: str) -> bool:
        """Use a permit for a send that starts now; returns whether there was one.

        A permit reserved for the request goes first, then one reserved for a run, then a free one.
        Permits of other plain requests are not used.
        """
        usable = [
            permit for permit in self._valid(worker) if permit.request_id in (None, request_id)
        ]
        if not usable:
            return False
        permit = min(usable, key=lambda held: (held.request_id is None, not held.is_reserved))
        self._permits[worker.incarnation].remove(permit)
        self._drop_reservation(permit)
        self.num_used[worker.service] += 1
        return True

    def _drop_reservation(self, permit: _Permit) -> None:
        """Remove a permit from those reserved for its request, if it is reserved for one."""
        if permit.request_id is None:
            return
        reserved = self._reserved[permit.request_id]
        reserved.remove(permit)
        if not reserved:
            del self._reserved[permit.request_id]

    def _valid(self, worker: Worker) -> list[_Permit]:
        """Return the permits for a worker that have not expired; drops the others."""
        held = self._permits.get(worker.incarnation)
        if held is None:
            return []
        now = now_s()
        valid = [permit for permit in held if now < permit.expires_s]
        if len(valid) < len(held):
            self.num_expired[worker.service] += len(held) - len(valid)
            for permit in held:
                if now >= permit.expires_s:
                    self._drop_reservation(permit)
            self._permits[worker.incarnation] = valid
        if not valid:
            del self._permits[worker.incarnation]
        return valid


class RecentSends:
    """Requests that this node has recently sent without a permit, by worker.

    They are stated to the leader once the worker turns out to be cold, so that it grants less for
    as long as they count.
    """

    def __init__(self) -> None:
        self._sends: deque[tuple[float, WorkerIncarnation]] = deque(maxlen=MAX_RECENT_SENDS)

    def record(self, incarnation: WorkerIncarnation) -> None:
        """Record a send of now."""
        self._drop_expired()
        self._sends.append((now_s(), incarnation))

    def take(self, incarnation: WorkerIncarnation) -> int:
        """Return the number of recent sends to an incarnation and forget them."""
        self._drop_expired()
        others = [send for send in self._sends if send[1] != incarnation]
        number = len(self._sends) - len(others)
        if number:
            self._sends.clear()
            self._sends.extend(others)
        return min(MAX_PERMITS, number)

    def _drop_expired(self) -> None:
        oldest_s = now_s() - GRANT_WINDOW_S
        while self._sends and self._sends[0][0] < oldest_s:
            self._sends.popleft()
