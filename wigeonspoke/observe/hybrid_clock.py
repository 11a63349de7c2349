"""A hybrid logical clock: wall-clock time consistent with causality.

After S. Kulkarni et al., "Logical Physical Clocks" (2014).
"""

from collections.abc import Callable

import msgspec

MILLISECONDS_PER_SECOND = 1000


class HybridTime(msgspec.Struct, frozen=True, order=True):
    """A timestamp: wall-clock milliseconds and a counter within each."""

    milliseconds: int = 0
    counter: int = 0


class HybridClock:
    """Returns increasing timestamps, later than every one merged so far.

    >>> clock = HybridClock(lambda: 1.0)
    >>> clock.merge(HybridTime(5000, 2))
    >>> clock.tick()
    HybridTime(milliseconds=5000, counter=3)
    """

    __slots__ = ('last', 'wall_clock')

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self.wall_clock = wall_clock
        self.last = HybridTime()

    def tick(self) -> HybridTime:
        """Return the timestamp of a local event or of a message to send."""
        wall_time = HybridTime(int(self.wall_clock() * MILLISECONDS_PER_SECOND))
        successor = HybridTime(self.last.milliseconds, self.last.counter + 1)
        self.last = max(wall_time, successor)
        return self.last

    def merge(self, received: HybridTime) -> None:
        """Advance the clock to the timestamp of a received message."""
        self.last = max(self.last, received)
