"""Discrete-event scheduler with a virtual clock."""

import heapq
import itertools
from collections.abc import Callable


class Scheduler:
    """Runs callbacks at virtual times.

    Callbacks that are due at the same time run in the order of scheduling.

    >>> scheduler = Scheduler()
    >>> seen = []
    >>> scheduler.call_later(2, seen.append, 'later')
    >>> scheduler.call_later(1, seen.append, 'sooner')
    >>> scheduler.run_until(5)
    >>> seen
    ['sooner', 'later']
    """

    __slots__ = ('now', 'queue', 'sequence_numbers')

    def __init__(self) -> None:
        self.now: float = 0
        self.queue: list[tuple[float, int, Callable, tuple]] = []
        self.sequence_numbers = itertools.count()

    def call_later(
        self, delay: float, callback: Callable, *args: object
    ) -> None:
        """Schedule a callback after a delay in seconds."""
        entry = (self.now + delay, next(self.sequence_numbers), callback, args)
        heapq.heappush(self.queue, entry)

    def call_every(self, period: float, callback: Callable[[], None]) -> None:
        """Schedule a callback periodically, first after one period."""
        self.call_later(period, self._run_periodic, period, callback)

    def run_until(self, end: float) -> None:
        """Run the callbacks due by ``end`` and set the clock to ``end``."""
        while self.queue and self.queue[0][0] <= end:
            due, _, callback, args = heapq.heappop(self.queue)
            self.now = due
            callback(*args)
        self.now = end

    def _run_periodic(
        self, period: float, callback: Callable[[], None]
    ) -> None:
        callback()
        self.call_later(period, self._run_periodic, period, callback)
