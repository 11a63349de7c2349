"""Adaptive concurrency limits of chains, learned from refusals.

A chain whose engines are short of memory refuses further requests, and each
refusal costs one retry of the budget that all nodes share.  On a refusal a
node therefore limits the chain to slightly fewer requests, of all nodes
together, than were in flight.  The limit then rises linearly until the next
refusal.
"""

import math

import msgspec

# Applied to the number of requests in flight at a refusal.  It is below 1
# because the counts reported by other nodes arrive late.
DECREASE_FACTOR = 0.9
# Increase of a limit in requests per second.
INCREASE_PER_SECOND = 4.0
# A limit is dropped after this time without a refusal.
LIMIT_EXPIRY_SECONDS = 15.0


class _Limit(msgspec.Struct):
    """A limit as set by a refusal, and the time of that refusal."""

    requests: float
    set_at: float


class ChainConcurrencyLimits:
    """Limits on requests in flight, by the endpoint id of a chain's head."""

    __slots__ = ('limits',)

    def __init__(self) -> None:
        self.limits: dict[str, _Limit] = {}

    def record_refusal(self, head_id: str, in_flight: int, now: float) -> None:
        """Set a limit after a refusal with ``in_flight`` other requests."""
        requests = max(1.0, DECREASE_FACTOR * in_flight)
        limit = self.limits.get(head_id)
        if limit is not None:
            requests = min(requests, self._current_limit(limit, now))
        self.limits[head_id] = _Limit(requests, now)

    def has_capacity(self, head_id: str, in_flight: int, now: float) -> bool:
        """Return whether a chain is expected to accept one more request."""
        limit = self.limits.get(head_id)
        if limit is None:
            return True
        if now >= limit.set_at + LIMIT_EXPIRY_SECONDS:
            self.limits.pop(head_id)
            return True
        return in_flight < self._current_limit(limit, now)

    def limit(self, head_id: str, now: float) -> float:
        """Return the current limit of a chain, infinite if it has none."""
        limit = self.limits.get(head_id)
        if limit is None or now >= limit.set_at + LIMIT_EXPIRY_SECONDS:
            return math.inf
        return self._current_limit(limit, now)

    def _current_limit(self, limit: _Limit, now: float) -> float:
        return limit.requests + INCREASE_PER_SECOND * (now - limit.set_at)
