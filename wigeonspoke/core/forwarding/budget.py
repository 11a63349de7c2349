"""A retry budget shared by all nodes without coordination.

A fault can make every node retry at the same time.  To keep the retries of
all nodes within one budget, each node spends at most its own share: a ratio
of its own requests, plus its part of a fixed number of extra retries, which
is divided by the number of nodes that may be running.
"""

from collections import deque

# Fraction of the budget that a node spends.  The rest is a margin: the
# windows of different nodes are not aligned, and a node that restarts loses
# its record of the retries it has sent.
SAFETY_FACTOR = 0.75


class RetryWindowBudget:
    """Limits the retries of one service within a sliding window.

    A node may send ``ratio`` retries per request in the window, plus its share
    of ``extra_retries``, all times ``SAFETY_FACTOR``.  ``node_share`` is the
    fraction of the extra retries that belongs to this node.  A node that has
    just started may have spent its share before the restart, so the share
    grows linearly from 0 over the first window.
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

    def record_request(self, now: float) -> None:
        """Record a request of a client."""
        self.requests.append(now)

    def has_remaining(self, now: float) -> bool:
        """Return whether the budget allows one more retry."""
        self._drop_expired(now)
        ramp = min(1, (now - self.started_at) / self.window_seconds)
        extra_retries = self.extra_retries * self.node_share * ramp
        allowed = self.ratio * len(self.requests) + extra_retries
        return len(self.retries) < SAFETY_FACTOR * allowed

    def withdraw(self, now: float) -> bool:
        """Take one retry from the budget; return whether it was allowed."""
        if not self.has_remaining(now):
            return False
        self.retries.append(now)
        return True

    def put_back(self, now: float) -> None:
        """Return a retry to the budget that did not arrive anywhere."""
        self._drop_expired(now)
        if self.retries:
            self.retries.pop()

    def _drop_expired(self, now: float) -> None:
        oldest = now - self.window_seconds
        for timestamps in (self.requests, self.retries):
            while timestamps and timestamps[0] < oldest:
                timestamps.popleft()
