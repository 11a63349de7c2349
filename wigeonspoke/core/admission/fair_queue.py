"""Weighted fair queueing of requests, with work counted in tokens.

Start-time fair queueing, after P. Goyal et al. (1996): a request's start tag
is the finish tag of its account's previous request or the current virtual
time, whichever is later; its finish tag adds its work divided by the
account's weight.  The request with the smallest start tag is served next, so
an account with little recent work is served promptly whatever its weight.

Batch requests are served when no interactive request is queued, and once in
every ``BATCH_INTERVAL`` turns even then, so that they do not starve.
"""

import heapq
import itertools
from collections import deque

from wigeonspoke.core.timers import LazyTimers

BATCH_INTERVAL = 4


class QueuedRequest:
    """A queued request with its account, work and deadline.

    ``work`` is the estimated cost in tokens, ``weight`` the account's.
    """

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
    """Requests of one priority class, in a FIFO queue for each account.

    ``heap`` orders the accounts with queued requests by start tag, then by
    arrival.  An account is charged for a request only when the request is
    served, so requests that expire or are cancelled in the queue do not
    delay the account's other requests.
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
        """Return the next request and discard removed ones before it.

        When no request is left, all finish tags are reset.
        """
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
        """Remove the request that :meth:`peek` returned and charge for it."""
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
    """The queued requests of one model at this node.

    ``requeued`` holds requests that had been served and are to be retried;
    they precede all others.  ``work`` is the total work of the queue.
    """

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
        """Return the number of queued requests."""
        return len(self.queued)

    def push(self, request: QueuedRequest, weight: float) -> None:
        """Add a request with the weight of its account."""
        request.weight = weight
        priority_class = self.interactive if request.interactive else self.batch
        priority_class.push(request, next(self.sequence))
        self._register(request)

    def requeue(self, request: QueuedRequest) -> None:
        """Return a request that had been served to the head of the queue."""
        self.requeued.append(request)
        self._register(request)

    def peek(self) -> QueuedRequest | None:
        """Return the next request without removing it."""
        requeued = self._next_requeued()
        if requeued:
            return requeued
        priority_class = self._next_class()
        return priority_class.peek(self.queued) if priority_class else None

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request."""
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
        """Remove a request at any position.

        Its entries in the account queues and ``requeued`` are discarded
        later, when they reach the head.
        """
        request = self.queued.pop(request_id, None)
        if request:
            self.work -= request.work
        return request

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        overdue: list[QueuedRequest] = []
        for request_id in self.deadlines.pop_due(now):
            request = self.queued.get(request_id)
            # A requeued request has a timer for each time it was queued.
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
