"""The retry budget that all nodes share, kept without talking.

The load pattern it answers: a fault makes every node send again at once.
Each node spends at most its own share: the ratio of its own requests, and
the extra split over the nodes that may be there.
"""

from collections import deque

# Windows of several nodes do not end together, and a node that starts anew
# forgets what it has sent.
SAFE_SHARE = 0.75


class WindowBudget:
    """Counts requests and repeats of one service in a sliding window.

    ``share`` is this node's part of the extra repeats.  A node that has
    just started may have spent its part before, so the part grows over its
    first window.
    """

    __slots__ = (
        'extra',
        'ratio',
        'repeats',
        'requests',
        'share',
        'started_at',
        'window_seconds',
    )

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_seconds: float,
        started_at: float,
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds
        self.started_at = started_at
        self.share = 1.0
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Take in a client's request."""
        self.requests.append(now)

    def has_left(self, now: float) -> bool:
        """Tell whether a request may be sent once more."""
        self._forget(now)
        grown = min(1, (now - self.started_at) / self.window_seconds)
        extra = self.extra * self.share * grown
        allowed = self.ratio * len(self.requests) + extra
        return len(self.repeats) < SAFE_SHARE * allowed

    def withdraw(self, now: float) -> bool:
        """Pay for sending a request once more, or refuse it."""
        if not self.has_left(now):
            return False
        self.repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self.window_seconds
        for moments in (self.requests, self.repeats):
            while moments and moments[0] < oldest:
                moments.popleft()
