"""Queueing by rank, then fairly among accounts, then by the time left.

Among accounts it is weighted start-time fair queueing, after P. Goyal et al.
(1996), with work counted in tokens: a request's start tag is the finish tag
of its account's previous request or the current virtual time, whichever is
later; its finish tag adds its work divided by the account's weight.  The
request with the smallest start tag is served next, so an account with little
recent work is served promptly whatever its weight.

A rank, an account or a size class that is served far less often than the mean
comes first (:class:`ServedShares`), so that none starves.
"""

import heapq
import itertools
from collections import Counter, OrderedDict, deque

from wigeonspoke.core.admission.served_shares import ClassKey, ServedShares
from wigeonspoke.core.timers import LazyTimers

# Outdated entries of a heap are removed when they outnumber the others by this
# many.
SPARE_ENTRIES = 64


class QueuedRequest:
    """A queued request with its account, work and deadline.

    ``work`` is the estimated cost in tokens, ``weight`` the account's.
    Requests of rank 0 are served first.  ``place`` orders the requests of an
    account; unless it is changed before the request is queued, the one with
    the least time left comes first.  ``size`` is its size class among the
    requests of its ``rule``.
    """

    __slots__ = (
        'account',
        'deadline',
        'is_requeued',
        'place',
        'queued_at',
        'rank',
        'request_id',
        'rule',
        'sequence',
        'size',
        'virtual_before',
        'weight',
        'work',
    )

    def __init__(
        self,
        request_id: str,
        account: str,
        work: int,
        deadline: float,
        rank: int,
        rule: str = '',
        size: str = '',
    ) -> None:
        self.request_id = request_id
        self.account = account
        self.work = work
        self.deadline = deadline
        self.rank = rank
        self.rule = rule
        self.size = size
        self.weight = 1.0
        self.place = (0, deadline)
        self.is_requeued = False
        # Order of arrival, set when it is queued.
        self.sequence = 0
        self.queued_at: float = 0
        # Virtual time of its rank before it was charged.
        self.virtual_before: float = 0

    @property
    def cost(self) -> float:
        """Work that is charged to the account."""
        return self.work / self.weight

    @property
    def class_keys(self) -> tuple[ClassKey, ...]:
        """Keys of the classes of which none may starve."""
        keys = (('rank', str(self.rank)), ('account', self.account))
        if self.size:
            return (*keys, ('size', f'{self.rule} {self.size}'))
        return keys


RequestsById = dict[str, QueuedRequest]
AccountQueue = list[tuple[tuple[int, float], int, QueuedRequest]]
# Start tag of an account, place of its next request, arrival of the account.
AccountEntry = tuple[float, tuple[int, float], int, str]


class _RankQueue:
    """Requests of one rank, in a queue for each account.

    ``heap`` orders the accounts with queued requests; ``entries`` holds the
    entry of each that is valid.  An account is charged for a request only
    when the request is served, so requests that expire or are cancelled in
    the queue do not delay the account's other requests.
    """

    __slots__ = (
        'account_queues',
        'entries',
        'finish_tags',
        'heap',
        'size',
        'virtual_time',
        'waiting',
    )

    def __init__(self) -> None:
        self.heap: list[AccountEntry] = []
        self.entries: dict[str, AccountEntry] = {}
        self.account_queues: dict[str, AccountQueue] = {}
        self.finish_tags: dict[str, float] = {}
        self.virtual_time: float = 0
        # Number of queued requests, in all and by account.
        self.size = 0
        self.waiting: Counter[str] = Counter()

    def push(self, request: QueuedRequest) -> None:
        account = request.account
        self.size += 1
        self.waiting[account] += 1
        queue = self.account_queues.setdefault(account, [])
        heapq.heappush(queue, (request.place, request.sequence, request))
        if queue[0][2] is request:
            self._enter(account, self._start_tag(account))

    def discard(self, request: QueuedRequest) -> None:
        """Stop counting a request that has left the queue."""
        self.size -= 1
        self.waiting[request.account] -= 1
        if not self.waiting[request.account]:
            self.waiting.pop(request.account)

    def peek(self, queued: RequestsById) -> QueuedRequest | None:
        """Return the next request and discard removed ones before it.

        When no request is left, all finish tags are reset.
        """
        while self.heap:
            entry = self.heap[0]
            account = entry[-1]
            if self.entries.get(account) is not entry:
                heapq.heappop(self.heap)
                continue
            queue = self.account_queues[account]
            head = queue[0][2]
            if queued.get(head.request_id) is head:
                return head
            self._advance(account, entry[0], queued)
        self.finish_tags.clear()
        return None

    def charge(self, request: QueuedRequest, queued: RequestsById) -> None:
        """Charge for a request that has been removed from ``queued``."""
        account = request.account
        start = self._start_tag(account)
        request.virtual_before = self.virtual_time
        if self.heap and self.heap[0][-1] == account:
            self.virtual_time = max(self.virtual_time, start)
        finish = start + request.cost
        self.finish_tags[account] = finish
        self._advance(account, finish, queued)

    def refund(self, request: QueuedRequest) -> None:
        """Undo the charge for a request that could not be served."""
        account = request.account
        start = self._start_tag(account) - request.cost
        self.finish_tags[account] = start
        self.virtual_time = request.virtual_before
        if account in self.entries:
            self._enter(account, start)

    def _start_tag(self, account: str) -> float:
        entry = self.entries.get(account)
        if entry is not None:
            return entry[0]
        return max(self.virtual_time, self.finish_tags.get(account, 0))

    def _advance(
        self, account: str, start: float, queued: RequestsById
    ) -> None:
        """Discard an account's removed requests up to its next one."""
        queue = self.account_queues.get(account, [])
        while queue and queued.get(queue[0][2].request_id) is not queue[0][2]:
            heapq.heappop(queue)
        if queue:
            self._enter(account, start)
        else:
            self.account_queues.pop(account, None)
            self.entries.pop(account, None)

    def _enter(self, account: str, start: float) -> None:
        place, sequence, _ = self.account_queues[account][0]
        known = self.entries.get(account)
        if known is not None:
            sequence = min(sequence, known[2])
        entry = (start, place, sequence, account)
        self.entries[account] = entry
        heapq.heappush(self.heap, entry)
        if len(self.heap) > 2 * len(self.entries) + SPARE_ENTRIES:
            self.heap = sorted(self.entries.values())


class FairQueue:
    """The queued requests of one model or service at this node.

    ``requeued`` holds requests that had been served and are to be retried;
    they precede all others.  ``work`` is the total work of the queue.
    ``starved`` lists the classes that come first and have queued requests,
    and ``by_class`` the queued requests of each class.
    """

    __slots__ = (
        'by_class',
        'deadlines',
        'queued',
        'rank_queues',
        'requeued',
        'sequence',
        'shares',
        'starved',
        'work',
    )

    def __init__(self) -> None:
        self.rank_queues: dict[int, _RankQueue] = {}
        self.requeued: deque[QueuedRequest] = deque()
        self.sequence = itertools.count()
        self.deadlines = LazyTimers()
        self.queued: RequestsById = {}
        self.work = 0
        self.shares = ServedShares()
        self.by_class: dict[ClassKey, OrderedDict[str, QueuedRequest]] = {}
        self.starved: OrderedDict[ClassKey, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self.queued)

    def push(self, request: QueuedRequest, weight: float, now: float) -> None:
        """Add a request with the weight of its account."""
        request.weight = weight
        self.shares.record_arrival(request.class_keys, request.rule, now)
        request.sequence = next(self.sequence)
        self._enter_rank(request)
        self._register(request)

    def requeue(self, request: QueuedRequest) -> None:
        """Return a request that had been served to the head of the queue."""
        request.is_requeued = True
        self.requeued.append(request)
        self._register(request)

    def record_direct(self, request: QueuedRequest, now: float) -> None:
        """Count a request that was served without waiting."""
        self.shares.record_arrival(request.class_keys, request.rule, now)
        self.record_start(request, now)

    def record_start(self, request: QueuedRequest, now: float) -> None:
        """Count a request that was taken from the queue and is served."""
        self.shares.record_start(request.class_keys, request.rule, now)
        self._update_starved(request)

    def peek(self) -> QueuedRequest | None:
        """Return the next request without removing it."""
        return self._next_requeued() or self._next_starved() or self._first()

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, and charge its account."""
        request = self._next_requeued()
        if request:
            self.requeued.popleft()
            return self.remove(request.request_id)
        request = self._next_starved() or self._first()
        if request is None:
            return None
        self.remove(request.request_id)
        self.rank_queues[request.rank].charge(request, self.queued)
        return request

    def put_back(self, request: QueuedRequest) -> None:
        """Undo :meth:`pop` for a request that could not be served."""
        if request.is_requeued:
            self.requeued.appendleft(request)
        else:
            self.rank_queues[request.rank].refund(request)
            self._enter_rank(request)
        self._insert(request)

    def is_starved(self, request: QueuedRequest) -> bool:
        """Return whether a class of a request comes first."""
        return any(map(self.shares.is_starved, request.class_keys))

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request at any position.

        Its entries in the account queues and ``requeued`` are discarded
        later, when they reach the head.
        """
        request = self.queued.pop(request_id, None)
        if request:
            self.work -= request.work
            self._leave_classes(request)
            if not request.is_requeued:
                self.rank_queues[request.rank].discard(request)
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

    def count_ahead(self, rank: int, account: str) -> tuple[int, int]:
        """Return how many requests precede a new one of an account.

        They are those of more urgent ranks, and of the same rank: the
        account's own, and as many of each other account and one more.
        """
        urgent = sum(
            queue.size
            for other, queue in self.rank_queues.items()
            if other < rank
        )
        queue = self.rank_queues.get(rank)
        if queue is None:
            return urgent, 0
        own = queue.waiting[account] if account in queue.waiting else 0
        others = len(queue.waiting) - (account in queue.waiting)
        return urgent, min(queue.size, own + others * (own + 1))

    def _enter_rank(self, request: QueuedRequest) -> None:
        queue = self.rank_queues.get(request.rank)
        if queue is None:
            queue = _RankQueue()
            self.rank_queues[request.rank] = queue
            self.rank_queues = dict(sorted(self.rank_queues.items()))
        queue.push(request)

    def _register(self, request: QueuedRequest) -> None:
        self.deadlines.schedule(request.request_id, request.deadline)
        self._insert(request)

    def _insert(self, request: QueuedRequest) -> None:
        self.queued[request.request_id] = request
        self.work += request.work
        for key in request.class_keys:
            requests = self.by_class.setdefault(key, OrderedDict())
            requests[request.request_id] = request
        self._update_starved(request)

    def _leave_classes(self, request: QueuedRequest) -> None:
        for key in request.class_keys:
            requests = self.by_class[key]
            requests.pop(request.request_id)
            if not requests:
                self.by_class.pop(key)
        self._update_starved(request)

    def _update_starved(self, request: QueuedRequest) -> None:
        for key in request.class_keys:
            if key in self.by_class and self.shares.is_starved(key):
                self.starved.setdefault(key, None)
            else:
                self.starved.pop(key, None)

    def _next_starved(self) -> QueuedRequest | None:
        """Return the longest waiting request of a class that comes first."""
        key = next(iter(self.starved), None)
        if key is None:
            return None
        return next(iter(self.by_class[key].values()))

    def _next_requeued(self) -> QueuedRequest | None:
        while self.requeued:
            request = self.requeued[0]
            if self.queued.get(request.request_id) is request:
                return request
            self.requeued.popleft()
        return None

    def _first(self) -> QueuedRequest | None:
        """Return the next request of the most urgent rank."""
        for queue in self.rank_queues.values():
            request = queue.peek(self.queued)
            if request:
                return request
        return None
