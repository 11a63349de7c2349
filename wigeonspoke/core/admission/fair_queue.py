"""Weighted fair queueing of requests, counted in tokens.

Start-time fair queueing, after P. Goyal et al. (1996): each account has a
virtual clock that runs on by the work of its requests over its weight, and
the request with the least start tag goes next.  An account that has asked
for little goes at once, however small its weight.  Batch requests go when no
interactive one waits, and once in every few turns even then, so that they
are never starved.
"""

import heapq
import itertools
from collections import deque

from wigeonspoke.core.timers import LazyTimers

BATCH_TURN = 4


class Waiting:
    """A request in the queue: who waits, for how much work, until when."""

    __slots__ = (
        'account',
        'deadline',
        'interactive',
        'request_id',
        'weight',
        'work',
    )

    def __init__(
        self,
        request_id: str,
        account: str,
        work: int,
        deadline: float,
        interactive: bool,
    ) -> None:
        self.request_id = request_id
        self.account = account
        self.work = work
        self.deadline = deadline
        self.interactive = interactive
        self.weight = 1.0


WaitingById = dict[str, Waiting]


class _Lane:
    """One priority class: a line for each account that has requests here.

    An account is charged for a request when it is taken out to be served,
    so that requests that are refused while they wait cost it no turn.
    """

    __slots__ = ('clock', 'finish', 'heap', 'lines')

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, str]] = []
        self.lines: dict[str, deque[Waiting]] = {}
        self.finish: dict[str, float] = {}
        self.clock: float = 0

    def push(self, waiting: Waiting, order: int) -> None:
        account = waiting.account
        line = self.lines.get(account)
        if line is None:
            line = deque()
            self.lines[account] = line
            start = max(self.clock, self.finish.get(account, 0))
            heapq.heappush(self.heap, (start, order, account))
        line.append(waiting)

    def head(self, known: WaitingById) -> Waiting | None:
        """Give the next request, dropping those that were removed."""
        while self.heap:
            account = self.heap[0][2]
            line = self.lines[account]
            while line and known.get(line[0].request_id) is not line[0]:
                line.popleft()
            if line:
                return line[0]
            heapq.heappop(self.heap)
            self.lines.pop(account)
        self.finish.clear()
        return None

    def take(self, waiting: Waiting) -> None:
        """Take out the request that is at the head, and charge for it."""
        start, order, account = heapq.heappop(self.heap)
        line = self.lines[account]
        line.popleft()
        self.clock = max(self.clock, start)
        finish = start + waiting.work / waiting.weight
        self.finish[account] = finish
        if line:
            heapq.heappush(self.heap, (finish, order, account))
        else:
            self.lines.pop(account)


class FairQueue:
    """The waiting requests of one model at this node."""

    __slots__ = (
        'batch',
        'deadlines',
        'interactive',
        'order',
        'returned',
        'turn',
        'waiting',
        'work',
    )

    def __init__(self) -> None:
        self.interactive = _Lane()
        self.batch = _Lane()
        self.returned: deque[Waiting] = deque()
        self.order = itertools.count()
        self.turn = 0
        self.deadlines = LazyTimers()
        self.waiting: WaitingById = {}
        self.work = 0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self.waiting)

    def push(self, waiting: Waiting, weight: float) -> None:
        """Add a request under its account's weight."""
        waiting.weight = weight
        lane = self.interactive if waiting.interactive else self.batch
        lane.push(waiting, next(self.order))
        self._admit(waiting)

    def push_back(self, waiting: Waiting) -> None:
        """Put a request that had been served at the head again."""
        self.returned.append(waiting)
        self._admit(waiting)

    def peek(self) -> Waiting | None:
        """Give the request that goes next, without taking it out."""
        returned = self._next_returned()
        if returned:
            return returned
        lane = self._next_lane()
        return lane.head(self.waiting) if lane else None

    def pop(self) -> Waiting | None:
        """Take out the request that goes next."""
        returned = self._next_returned()
        if returned:
            self.returned.popleft()
            return self.remove(returned.request_id)
        lane = self._next_lane()
        if lane is None:
            return None
        waiting = lane.head(self.waiting)
        lane.take(waiting)
        self.turn += 1
        return self.remove(waiting.request_id)

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out wherever it stands."""
        waiting = self.waiting.pop(request_id, None)
        if waiting:
            self.work -= waiting.work
        return waiting

    def expired(self, now: float) -> list[Waiting]:
        """Take out the requests whose deadline has passed."""
        late: list[Waiting] = []
        for request_id in self.deadlines.fire(now):
            waiting = self.waiting.get(request_id)
            # A request that was put back has entries of both its waits.
            if waiting and waiting.deadline <= now:
                self.remove(request_id)
                late.append(waiting)
        return late

    def _admit(self, waiting: Waiting) -> None:
        self.waiting[waiting.request_id] = waiting
        self.deadlines.arm(waiting.request_id, waiting.deadline)
        self.work += waiting.work

    def _next_returned(self) -> Waiting | None:
        while self.returned:
            waiting = self.returned[0]
            if self.waiting.get(waiting.request_id) is waiting:
                return waiting
            self.returned.popleft()
        return None

    def _next_lane(self) -> _Lane | None:
        batch_waits = self.batch.head(self.waiting) is not None
        interactive_waits = self.interactive.head(self.waiting) is not None
        batch_turn = self.turn % BATCH_TURN == BATCH_TURN - 1
        if batch_waits and (batch_turn or not interactive_waits):
            return self.batch
        return self.interactive if interactive_waits else None
