"""Weighted fair queueing of requests, counted in tokens.

Each account has a virtual clock that runs on by the work of its requests
over its weight.  The request with the least finish tag goes next.  Batch
requests go when no interactive one waits, and once in every few turns even
then, so that they are never starved.
"""

import heapq
import itertools

from wigeonspoke.core.timers import LazyTimers

BATCH_TURN = 4


class Waiting:
    """A request in the queue: who waits, for how much work, until when."""

    __slots__ = ('account', 'deadline', 'interactive', 'request_id', 'work')

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


class _Lane:
    """One priority class, ordered by finish tag and arrival."""

    __slots__ = ('clock', 'finish', 'heap')

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, str]] = []
        self.finish: dict[str, float] = {}
        self.clock = 0

    def push(self, waiting: Waiting, weight: float, order: int) -> None:
        start = max(self.clock, self.finish.get(waiting.account, 0))
        finish = start + waiting.work / weight
        self.finish[waiting.account] = finish
        heapq.heappush(self.heap, (finish, order, waiting.request_id))

    def note_served(self, finish: float) -> None:
        self.clock = max(self.clock, finish)
        if not self.heap:
            self.finish.clear()


class FairQueue:
    """The waiting requests of one model at this node."""

    __slots__ = (
        'batch',
        'deadlines',
        'interactive',
        'order',
        'turn',
        'waiting',
        'work',
    )

    def __init__(self) -> None:
        self.interactive = _Lane()
        self.batch = _Lane()
        self.order = itertools.count()
        self.turn = 0
        self.deadlines = LazyTimers()
        self.waiting: dict[str, Waiting] = {}
        self.work = 0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self.waiting)

    def push(self, waiting: Waiting, weight: float) -> None:
        """Add a request under its account's weight."""
        lane = self.interactive if waiting.interactive else self.batch
        lane.push(waiting, weight, next(self.order))
        self._admit(waiting)

    def push_back(self, waiting: Waiting) -> None:
        """Put a request that had been taken out at the head again."""
        lane = self.interactive if waiting.interactive else self.batch
        entry = (lane.clock, -next(self.order), waiting.request_id)
        heapq.heappush(lane.heap, entry)
        self._admit(waiting)

    def peek(self) -> Waiting | None:
        """Give the request that goes next, without taking it out."""
        lane = self._next_lane()
        return self.waiting[lane.heap[0][2]] if lane else None

    def pop(self) -> Waiting | None:
        """Take out the request that goes next."""
        lane = self._next_lane()
        if lane is None:
            return None
        finish, _, request_id = heapq.heappop(lane.heap)
        lane.note_served(finish)
        self.turn += 1
        return self.remove(request_id)

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

    def _next_lane(self) -> _Lane | None:
        for lane in (self.interactive, self.batch):
            self._drop_removed(lane)
        if self.batch.heap and self.turn % BATCH_TURN == BATCH_TURN - 1:
            return self.batch
        for candidate in (self.interactive, self.batch):
            if candidate.heap:
                return candidate
        return None

    def _drop_removed(self, lane: _Lane) -> None:
        while lane.heap and lane.heap[0][2] not in self.waiting:
            heapq.heappop(lane.heap)
