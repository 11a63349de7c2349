"""How many requests a chain can hold, learnt from refusals.

The load pattern it answers: a chain whose engines have little memory left
refuses what is over, and every refusal costs a try of the retry budget that
all nodes share.  A node therefore keeps to what the chain held of all nodes
when it last refused, and feels its way up again while the chain takes what it
is given.
"""

import msgspec

# Below what was in flight at a refusal: what others send is heard late.
DECREASE_FACTOR = 0.9
# Requests a second by which a limit rises again.
INCREASE_PER_SECOND = 4.0
# A limit that has risen for this long without a refusal is forgotten.
LIMIT_EXPIRY_SECONDS = 15.0


class _Limit(msgspec.Struct):
    requests: float
    set_at: float


class ChainConcurrencyLimits:
    """Limits on requests in flight by the id of a chain's head."""

    __slots__ = ('limits',)

    def __init__(self) -> None:
        self.limits: dict[str, _Limit] = {}

    def note_refusal(self, head_id: str, in_flight: int, now: float) -> None:
        """Take in that a chain refused with so many others in flight."""
        requests = max(1.0, DECREASE_FACTOR * in_flight)
        limit = self.limits.get(head_id)
        if limit is not None:
            requests = min(requests, self._current_limit(limit, now))
        self.limits[head_id] = _Limit(requests, now)

    def has_capacity(self, head_id: str, in_flight: int, now: float) -> bool:
        """Tell whether a chain would likely take one more request."""
        limit = self.limits.get(head_id)
        if limit is None:
            return True
        if now >= limit.set_at + LIMIT_EXPIRY_SECONDS:
            self.limits.pop(head_id)
            return True
        return in_flight < self._current_limit(limit, now)

    def _current_limit(self, limit: _Limit, now: float) -> float:
        return limit.requests + INCREASE_PER_SECOND * (now - limit.set_at)
