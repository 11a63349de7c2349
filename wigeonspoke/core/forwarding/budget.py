"""The retry budget that all nodes share, kept without talking.

The load pattern it answers: a fault makes every node send again at once.
Each node spends at most its own share: the ratio of its own requests, and
the extra split over the nodes that may be there.
"""

from collections import deque

# Windows of several nodes do not end together, and a node that starts anew
# forgets what it has sent.
SAFETY_FACTOR = 0.75


class RetryWindowBudget:
    """Counts requests and repeats of one service in a sliding window.

    ``node_share`` is this node's part of the extra repeats.  A node that has
    just started may have spent its part before, so the part grows over its
    first window.
    """

    __slots__ = (
        'extra_retries',
        'node_share',
        'ratio',
        'requests',
        'retries',
        'started_at',
        'window_seconds',
    )

    def __init__(
        self,
        ratio: float,
        extra_retries: float,
        window_seconds: float,
        started_at: float,
    ) -> None:
        self.ratio = ratio
        self.extra_retries = extra_retries
        self.window_seconds = window_seconds
        self.started_at = started_at
        self.node_share = 1.0
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Take in a client's request."""
        self.requests.append(now)

    def has_remaining(self, now: float) -> bool:
        """Tell whether a request may be sent once more."""
        self._drop_expired(now)
        ramp = min(1, (now - self.started_at) / self.window_seconds)
        extra_retries = self.extra_retries * self.node_share * ramp
        allowed = self.ratio * len(self.requests) + extra_retries
        return len(self.retries) < SAFETY_FACTOR * allowed

    def withdraw(self, now: float) -> bool:
        """Pay for sending a request once more, or refuse it."""
        if not self.has_remaining(now):
            return False
        self.retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        oldest = now - self.window_seconds
        for timestamps in (self.requests, self.retries):
            while timestamps and timestamps[0] < oldest:
                timestamps.popleft()
