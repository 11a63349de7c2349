"""The queues in which requests of a node wait for capacity.

A queue is woken by what may give capacity: a request ends, news of peers or
endpoints arrives, a chain appears.  The requests themselves don't poll.
"""

import itertools
import time
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event

from wigeonspoke.core.admission import (
    FairQueue,
    QueuedRequest,
    ReturningClients,
    SizeClasses,
    StartRate,
)

# Requests that all queues of a node hold together.
MAX_QUEUED = 512
# Requests that a wake-up passes over because they can't start, although others
# may, such as one for which the free chain has failed.
MAX_PASSED_OVER = 4
# Interval of checks, since limits of chains rise and backoffs end without an
# event.  There is one check per queue, whatever its length.
TIMED_CHECK_SECONDS = 0.05

Target = Any


class Waiter:
    """A request that asks for capacity.

    ``select`` returns the target to which the request may be sent now, None if
    there is none; its argument is whether the request comes before all others.
    ``claim`` counts the request at its target until the request takes over
    with ``release``, so that no other one is given the same capacity.
    """

    __slots__ = ('claim', 'entry', 'event', 'release', 'select', 'target')

    def __init__(
        self,
        entry: QueuedRequest,
        select: Callable[[float, bool], Target | None],
        claim: Callable[[Target], None],
        release: Callable[[Target], None],
    ) -> None:
        self.entry = entry
        self.select = select
        self.claim = claim
        self.release = release
        self.event = Event()
        self.target: Target | None = None

    def grant(self, target: Target) -> None:
        """Give the request its target and wake it."""
        self.claim(target)
        self.target = target
        self.wake()

    def take(self) -> Target | None:
        """Return the target; the request counts itself there at once."""
        target = self.target
        if target is not None:
            self.target = None
            self.release(target)
        return target

    def wake(self) -> None:
        """Wake the request, which checks whether it has a target."""
        if not self.event.ready():
            self.event.send()


class ServiceQueue:
    """The waiting requests of one service."""

    __slots__ = ('fair', 'is_checked', 'is_woken', 'rate', 'waiters')

    def __init__(self) -> None:
        self.fair = FairQueue()
        self.rate = StartRate()
        self.waiters: dict[str, Waiter] = {}
        # Whether a greenlet checks the queue at intervals.
        self.is_checked = False
        # Whether a greenlet is about to check the queue.
        self.is_woken = False

    def try_direct(self, waiter: Waiter, now: float) -> Target | None:
        """Return a target at once if no other request waits."""
        if self.waiters:
            return None
        target = waiter.select(now, False)
        if target is not None and not waiter.entry.is_requeued:
            self.fair.record_direct(waiter.entry, now)
        return target

    def expected_wait(self, entry: QueuedRequest, now: float) -> float | None:
        """Return how long a new request would wait, None if unknown."""
        ahead = self.fair.count_ahead(entry.rank, entry.account)
        return self.rate.expected_wait(ahead, entry.rank, now)

    def enter(self, waiter: Waiter, now: float) -> None:
        """Add a request, and start those that can start."""
        self.waiters[waiter.entry.request_id] = waiter
        if waiter.entry.is_requeued:
            self.fair.requeue(waiter.entry)
        else:
            self.fair.push(waiter.entry, 1, now)
        self.rate.record_length(len(self.waiters), now)
        self.dispatch()
        if self.waiters and not self.is_checked:
            self.is_checked = True
            eventlet.spawn_n(self._check)

    def leave(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        request_id = waiter.entry.request_id
        self.fair.remove(request_id)
        if self.waiters.pop(request_id, None) is not None:
            self.rate.record_length(len(self.waiters), time.monotonic())

    def wake(self) -> None:
        """Start requests soon that can start."""
        if self.waiters and not self.is_woken:
            self.is_woken = True
            eventlet.spawn_n(self._dispatch_woken)

    def dispatch(self) -> None:
        """Start the requests that can start, in their order."""
        now = time.monotonic()
        self.fair.pop_expired(now)
        passed_over: list[QueuedRequest] = []
        while len(passed_over) < MAX_PASSED_OVER:
            entry = self.fair.pop()
            if entry is None:
                break
            if not self._start(entry, now):
                passed_over.append(entry)
        for entry in reversed(passed_over):
            self.fair.put_back(entry)

    def oldest_age(self, now: float) -> float:
        """Return for how long the first of the requests has waited."""
        first = next(iter(self.waiters.values()), None)
        return 0 if first is None else max(0, now - first.entry.queued_at)

    def _start(self, entry: QueuedRequest, now: float) -> bool:
        waiter = self.waiters[entry.request_id]
        is_first = self.fair.is_starved(entry)
        target = waiter.select(now, is_first)
        if target is None:
            return False
        self.fair.record_start(entry, now)
        self.rate.record_start(entry.rank, now)
        waiter.grant(target)
        self.leave(waiter)
        return True

    def _dispatch_woken(self) -> None:
        self.is_woken = False
        self.dispatch()

    def _check(self) -> None:
        while self.waiters:
            eventlet.sleep(TIMED_CHECK_SECONDS)
            self.dispatch()
        self.is_checked = False


class WaitingQueues:
    """The queues of all services of a node, and what outlives a request."""

    __slots__ = ('by_service', 'numbers', 'returning', 'size_classes')

    def __init__(self) -> None:
        self.by_service: dict[str, ServiceQueue] = {}
        self.returning = ReturningClients()
        self.size_classes: dict[str, SizeClasses] = {}
        # Ids of queued requests, since clients may repeat theirs.
        self.numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue.waiters) for queue in self.by_service.values())

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait."""
        return len(self) >= MAX_QUEUED

    def oldest_age(self, now: float) -> float:
        """Return for how long the first of all requests has waited."""
        queues = self.by_service.values()
        return max((queue.oldest_age(now) for queue in queues), default=0)

    def of_service(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        return self.by_service.setdefault(service, ServiceQueue())

    def size_class(self, rule: str, tokens: int) -> str:
        """Return the size class of a request, and count it."""
        classes = self.size_classes.setdefault(rule, SizeClasses())
        return classes.classify(tokens)

    def wake(self) -> None:
        """Look at all queues, because there may be capacity."""
        for queue in self.by_service.values():
            queue.wake()
