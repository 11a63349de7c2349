"""Endpoints that refused a request and named a time to stay away.

Requests that are on their way when the refusal arrives cannot be called back;
no others are sent until the time has passed.  Then one request tries the
endpoint, and the others follow as soon as it is answered.
"""

import math

import msgspec

# A longer time is taken for an error of the endpoint.
MAX_BACKOFF_SECONDS = 600.0
# Another request tries an endpoint whose first one is not answered after this
# time.
TRY_INTERVAL_SECONDS = 0.25
# A time that has passed is forgotten after this, if no request tried it.
MEMORY_SECONDS = 60.0
MAX_BACKOFFS = 1024


class _Backoff(msgspec.Struct):
    """When an endpoint may be tried again, and the last try after that."""

    until: float
    heard_at: float
    tried_at: float = -math.inf


class Backoffs:
    """The times by start id of the endpoint, on the monotonic clock."""

    __slots__ = ('backoffs',)

    def __init__(self) -> None:
        self.backoffs: dict[str, _Backoff] = {}

    def record_refusal(
        self, start_id: str, seconds: float, sent_at: float, now: float
    ) -> bool:
        """Record a refusal that named a time; return whether it changes any.

        ``sent_at`` is when the refused request was sent.  The latest refusal
        counts.  A refusal of a request that was on its way when an earlier one
        arrived may be the older one, so that it cannot shorten the time.
        """
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        known = self.backoffs.get(start_id)
        if known is not None and sent_at < known.heard_at:
            if until <= known.until:
                return False
            known.until = until
            return True
        self._forget_old(now)
        self.backoffs[start_id] = _Backoff(until, now)
        return True

    def record_answer(self, start_id: str, sent_at: float) -> bool:
        """Record an answer without a time; return whether one has ended.

        It ends the time only if the request was sent after it had passed.
        """
        known = self.backoffs.get(start_id)
        if known is None or sent_at < known.until:
            return False
        self.backoffs.pop(start_id)
        return True

    def record_sent(self, start_id: str, now: float) -> None:
        """Record that a request is sent to an endpoint."""
        known = self.backoffs.get(start_id)
        if known is not None and now >= known.until:
            known.tried_at = now

    def find_until(self, start_id: str, now: float) -> float | None:
        """Return until when nothing may be sent, None if it may be now."""
        known = self.backoffs.get(start_id)
        if known is None:
            return None
        until = max(known.until, known.tried_at + TRY_INTERVAL_SECONDS)
        return until if now < until else None

    def _forget_old(self, now: float) -> None:
        oldest = now - MEMORY_SECONDS
        old = [
            start_id
            for start_id, known in self.backoffs.items()
            if known.until < oldest
        ]
        for start_id in old:
            self.backoffs.pop(start_id)
        while len(self.backoffs) >= MAX_BACKOFFS:
            self.backoffs.pop(next(iter(self.backoffs)))
