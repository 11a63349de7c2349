"""The retry budget that all nodes share, kept without talking.

The load pattern it answers: a fault makes every node send again at once.
Each node spends at most its own share: the ratio of its own requests, and
the extra split over the nodes that may be there.
"""

from collections import deque


class WindowBudget:
    """Counts requests and repeats of one service in a sliding window."""

    __slots__ = ('extra', 'ratio', 'repeats', 'requests', 'window_seconds')

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_seconds: float,
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Take in a client's request."""
        self.requests.append(now)

    def withdraw(self, now: float) -> bool:
        """Pay for sending a request once more, or refuse it."""
        self._forget(now)
        if len(self.repeats) >= self.ratio * len(self.requests) + self.extra:
            return False
        self.repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self.window_seconds
        for moments in (self.requests, self.repeats):
            while moments and moments[0] < oldest:
                moments.popleft()
