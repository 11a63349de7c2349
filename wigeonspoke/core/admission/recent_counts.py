"""Counts of events within a recent period, in bounded memory."""

from collections import deque

# Period over which arrivals and starts are counted.
WINDOW_SECONDS = 10.0
# Counts are kept for parts of the period, and leave it part by part.
BUCKET_SECONDS = 0.5


class RecentCount:
    """Number of events, or a sum, within the last ``WINDOW_SECONDS``.

    It holds one entry for each part of the period in which there were events.
    A clock that steps back adds to the newest part.
    """

    __slots__ = ('buckets', 'total')

    def __init__(self) -> None:
        self.buckets: deque[tuple[float, float]] = deque()
        self.total: float = 0

    def add(self, now: float, amount: float = 1) -> None:
        """Count an event."""
        self.count(now)
        self.total += amount
        if self.buckets and now < self.buckets[-1][0] + BUCKET_SECONDS:
            start, counted = self.buckets.pop()
            self.buckets.append((start, counted + amount))
        else:
            self.buckets.append((now, amount))

    def count(self, now: float) -> float:
        """Return how many events there were within the period."""
        while self.buckets and self.buckets[0][0] <= now - WINDOW_SECONDS:
            self.total -= self.buckets.popleft()[1]
        return self.total
