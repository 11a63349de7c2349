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

BATCH_INTERVAL = 4


class QueuedRequest:
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


RequestsById = dict[str, QueuedRequest]


class _PriorityClass:
    """One priority class: a line for each account that has requests here.

    An account is charged for a request when it is taken out to be served,
    so that requests that are refused while they wait cost it no turn.
    """

    __slots__ = ('account_queues', 'finish_tags', 'heap', 'virtual_time')

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, str]] = []
        self.account_queues: dict[str, deque[QueuedRequest]] = {}
        self.finish_tags: dict[str, float] = {}
        self.virtual_time: float = 0

    def push(self, request: QueuedRequest, sequence: int) -> None:
        account = request.account
        queue = self.account_queues.get(account)
        if queue is None:
            queue = deque()
            self.account_queues[account] = queue
            start = max(self.virtual_time, self.finish_tags.get(account, 0))
            heapq.heappush(self.heap, (start, sequence, account))
        queue.append(request)

    def peek(self, queued: RequestsById) -> QueuedRequest | None:
        """Give the next request, dropping those that were removed."""
        while self.heap:
            account = self.heap[0][2]
            queue = self.account_queues[account]
            while queue and queued.get(queue[0].request_id) is not queue[0]:
                queue.popleft()
            if queue:
                return queue[0]
            heapq.heappop(self.heap)
            self.account_queues.pop(account)
        self.finish_tags.clear()
        return None

    def pop(self, request: QueuedRequest) -> None:
        """Take out the request that is at the head, and charge for it."""
        start, sequence, account = heapq.heappop(self.heap)
        queue = self.account_queues[account]
        queue.popleft()
        self.virtual_time = max(self.virtual_time, start)
        finish = start + request.work / request.weight
        self.finish_tags[account] = finish
        if queue:
            heapq.heappush(self.heap, (finish, sequence, account))
        else:
            self.account_queues.pop(account)


class FairQueue:
    """The waiting requests of one model at this node."""

    __slots__ = (
        'batch',
        'deadlines',
        'dispatch_count',
        'interactive',
        'queued',
        'requeued',
        'sequence',
        'work',
    )

    def __init__(self) -> None:
        self.interactive = _PriorityClass()
        self.batch = _PriorityClass()
        self.requeued: deque[QueuedRequest] = deque()
        self.sequence = itertools.count()
        self.dispatch_count = 0
        self.deadlines = LazyTimers()
        self.queued: RequestsById = {}
        self.work = 0

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self.queued)

    def push(self, request: QueuedRequest, weight: float) -> None:
        """Add a request under its account's weight."""
        request.weight = weight
        priority_class = self.interactive if request.interactive else self.batch
        priority_class.push(request, next(self.sequence))
        self._register(request)

    def requeue(self, request: QueuedRequest) -> None:
        """Put a request that had been served at the head again."""
        self.requeued.append(request)
        self._register(request)

    def peek(self) -> QueuedRequest | None:
        """Give the request that goes next, without taking it out."""
        requeued = self._next_requeued()
        if requeued:
            return requeued
        priority_class = self._next_class()
        return priority_class.peek(self.queued) if priority_class else None

    def pop(self) -> QueuedRequest | None:
        """Take out the request that goes next."""
        requeued = self._next_requeued()
        if requeued:
            self.requeued.popleft()
            return self.remove(requeued.request_id)
        priority_class = self._next_class()
        if priority_class is None:
            return None
        request = priority_class.peek(self.queued)
        priority_class.pop(request)
        self.dispatch_count += 1
        return self.remove(request.request_id)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Take a request out wherever it stands."""
        request = self.queued.pop(request_id, None)
        if request:
            self.work -= request.work
        return request

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Take out the requests whose deadline has passed."""
        overdue: list[QueuedRequest] = []
        for request_id in self.deadlines.pop_due(now):
            request = self.queued.get(request_id)
            # A request that was put back has entries of both its waits.
            if request and request.deadline <= now:
                self.remove(request_id)
                overdue.append(request)
        return overdue

    def _register(self, request: QueuedRequest) -> None:
        self.queued[request.request_id] = request
        self.deadlines.schedule(request.request_id, request.deadline)
        self.work += request.work

    def _next_requeued(self) -> QueuedRequest | None:
        while self.requeued:
            request = self.requeued[0]
            if self.queued.get(request.request_id) is request:
                return request
            self.requeued.popleft()
        return None

    def _next_class(self) -> _PriorityClass | None:
        has_batch = self.batch.peek(self.queued) is not None
        has_interactive = self.interactive.peek(self.queued) is not None
        is_batch_turn = (
            self.dispatch_count % BATCH_INTERVAL == BATCH_INTERVAL - 1
        )
        if has_batch and (is_batch_turn or not has_interactive):
            return self.batch
        return self.interactive if has_interactive else None
