"""Timers that are looked at again when they fire, not moved when due later.

A key has one entry, however often its true due time moves on.  Whoever arms
a timer gives a time no later than the earliest at which the key could be
due; when it fires, the owner looks at the truth and arms it again.
"""

import heapq


class LazyTimers:
    """Keys by the time at which to look at them again.

    >>> timers = LazyTimers()
    >>> timers.schedule('r1', 2.0)
    >>> timers.pop_due(1.0), timers.pop_due(2.0)
    ([], ['r1'])
    """

    __slots__ = ('heap',)

    def __init__(self) -> None:
        self.heap: list[tuple[float, str]] = []

    def schedule(self, key: str, due: float) -> None:
        """Look at a key at a time."""
        heapq.heappush(self.heap, (due, key))

    def pop_due(self, now: float) -> list[str]:
        """Take out the keys whose time has come."""
        fired: list[str] = []
        while self.heap and self.heap[0][0] <= now:
            fired.append(heapq.heappop(self.heap)[1])
        return fired
