"""Timers that are rescheduled when they fire, not when their due time moves.

A caller schedules a key at a time no later than the earliest at which the
key could be due.  When the timer fires, the caller compares the actual due
time and, if it has not been reached, schedules the key again.  A key thus
needs one heap entry, however often its due time is postponed.
"""

import heapq


class LazyTimers:
    """Keys in a heap ordered by the time of their next check.

    >>> timers = LazyTimers()
    >>> timers.schedule('r1', 2.0)
    >>> timers.pop_due(1.0), timers.pop_due(2.0)
    ([], ['r1'])
    """

    __slots__ = ('heap',)

    def __init__(self) -> None:
        self.heap: list[tuple[float, str]] = []

    def schedule(self, key: str, due: float) -> None:
        """Add an entry for a key, to be returned once ``due`` is reached."""
        heapq.heappush(self.heap, (due, key))

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the keys that are due at ``now``."""
        fired: list[str] = []
        while self.heap and self.heap[0][0] <= now:
            fired.append(heapq.heappop(self.heap)[1])
        return fired
