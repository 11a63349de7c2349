"""A hybrid logical clock: wall time that never contradicts causality.

After S. Kulkarni et al., "Logical Physical Clocks" (2014).
"""

from collections.abc import Callable

import msgspec

MILLISECONDS = 1000


class HybridTime(msgspec.Struct, frozen=True, order=True):
    """A moment: milliseconds of wall time and a counter within them."""

    milliseconds: int = 0
    counter: int = 0


class HybridClock:
    """Gives rising times, later than every time it has been told of.

    >>> clock = HybridClock(lambda: 1.0)
    >>> clock.merge(HybridTime(5000, 2))
    >>> clock.tick()
    HybridTime(milliseconds=5000, counter=3)
    """

    __slots__ = ('last', 'wall')

    def __init__(self, wall: Callable[[], float]) -> None:
        self.wall = wall
        self.last = HybridTime()

    def tick(self) -> HybridTime:
        """Give the time of a local event or of a message to be sent."""
        wall = HybridTime(int(self.wall() * MILLISECONDS))
        following = HybridTime(self.last.milliseconds, self.last.counter + 1)
        self.last = max(wall, following)
        return self.last

    def merge(self, heard: HybridTime) -> None:
        """Take in the time of a message received."""
        self.last = max(self.last, heard)
