"""A virtual clock that runs callbacks in the order of their times."""

import heapq
import itertools
from collections.abc import Callable


class Scheduler:
    """Runs callbacks at virtual times; ties go by order of scheduling.

    >>> scheduler = Scheduler()
    >>> seen = []
    >>> scheduler.after(2, seen.append, 'later')
    >>> scheduler.after(1, seen.append, 'sooner')
    >>> scheduler.run_until(5)
    >>> seen
    ['sooner', 'later']
    """

    __slots__ = ('heap', 'now', 'order')

    def __init__(self) -> None:
        self.now: float = 0
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.order = itertools.count()

    def after(self, delay: float, callback: Callable, *args: object) -> None:
        """Run a callback after a delay in seconds."""
        entry = (self.now + delay, next(self.order), callback, args)
        heapq.heappush(self.heap, entry)

    def every(self, period: float, callback: Callable[[], None]) -> None:
        """Run a callback again and again, first after one period."""
        self.after(period, self._run_again, period, callback)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due by ``end``."""
        while self.heap and self.heap[0][0] <= end:
            due, _, callback, args = heapq.heappop(self.heap)
            self.now = due
            callback(*args)
        self.now = end

    def _run_again(self, period: float, callback: Callable[[], None]) -> None:
        callback()
        self.after(period, self._run_again, period, callback)
