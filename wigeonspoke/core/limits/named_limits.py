"""Limits that endpoints in need name in their answers.

A limit counts the requests of all nodes, while a node sees only its own.  What
one node reads in an answer, all learn by gossip, and each sends no more than
its share.  A limit holds for one run of an endpoint, and as long as its answers
name it; the newest answer that any node received counts.
"""

import math

import msgspec

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.limits.senders import SenderRegistry

# A limit that no answer has named for this long is forgotten.
MEMORY_SECONDS = 30.0
# Limits are told to peers for this time after the answer that named or ended
# them.
REPORT_SECONDS = 10.0
MAX_REPORTS = 16
MAX_LIMITS = 1024
# Requests that a node may save up.
MAX_TOKENS = 1.0
UNKNOWN_REVISION = -1


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What the newest answer of an endpoint said, ``age`` seconds ago.

    ``start_id`` identifies the run of the endpoint.  ``limit`` is in requests
    a second, None if the answer named none.
    """

    start_id: str
    limit: float | None
    age: float


class _NamedLimit(msgspec.Struct):
    """A limit and this node's token bucket for it.

    ``share`` is the share computed at ``revision`` of the senders; it is
    computed again when they or the limit change.
    """

    limit: float | None
    answered_at: float
    tokens: float = 0
    refilled_at: float = 0
    share: float = 0
    revision: int = UNKNOWN_REVISION


class NamedLimits:
    """The limits by run of the endpoint, and what this node may send.

    Endpoints without a limit are not listed, unless it has just ended.
    """

    __slots__ = ('limits', 'senders')

    def __init__(self, senders: SenderRegistry) -> None:
        self.limits: dict[str, _NamedLimit] = {}
        self.senders = senders

    def record_answer(
        self, start_id: str, limit: float | None, now: float
    ) -> bool:
        """Record what an answer said; return whether the limit changed."""
        return self._record(start_id, limit, now, now)

    def merge(self, report: LimitReport, now: float) -> bool:
        """Merge what a peer knows; return whether the limit changed."""
        answered_at = now - report.age
        return self._record(report.start_id, report.limit, answered_at, now)

    def find_limit(self, endpoint: Endpoint, now: float) -> float | None:
        """Return the limit of an endpoint in requests a second, if any."""
        known = self.limits.get(endpoint.start_id)
        if known is None or _is_old(known, now):
            return None
        return known.limit

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether this node may send a request to an endpoint now."""
        if self.find_limit(endpoint, now) is None:
            return True
        return self._refill(endpoint, now).tokens >= 1

    def next_send_at(self, endpoint: Endpoint, now: float) -> float:
        """Return when this node may send to an endpoint with a limit.

        It is infinite if other nodes send for this one.
        """
        known = self._refill(endpoint, now)
        rate = known.limit * known.share
        if not rate:
            return math.inf
        return now + max(0, 1 - known.tokens) / rate

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Count a request that is sent, repeats and refused ones included."""
        if self.find_limit(endpoint, now) is not None:
            self._refill(endpoint, now).tokens -= 1

    def reports(self, now: float) -> tuple[LimitReport, ...]:
        """Return the newest limits to tell peers."""
        recent = sorted(
            (known.answered_at, start_id, known.limit)
            for start_id, known in self.limits.items()
            if now - known.answered_at <= REPORT_SECONDS
        )
        return tuple(
            LimitReport(start_id, limit, round(now - answered_at, 2))
            for answered_at, start_id, limit in recent[-MAX_REPORTS:]
        )

    def _record(
        self,
        start_id: str,
        limit: float | None,
        answered_at: float,
        now: float,
    ) -> bool:
        self._forget_old(now)
        known = self.limits.get(start_id)
        if known is None:
            # Nothing is saved up at first: this node has sent as it liked.
            if limit is not None:
                self._add(start_id, limit, answered_at, now)
            return limit is not None
        if answered_at <= known.answered_at:
            return False
        known.answered_at = answered_at
        if known.limit == limit:
            return False
        known.limit = limit
        known.refilled_at = now
        known.revision = UNKNOWN_REVISION
        return True

    def _add(
        self, start_id: str, limit: float, answered_at: float, now: float
    ) -> None:
        if len(self.limits) == MAX_LIMITS:
            self.limits.pop(next(iter(self.limits)))
        self.limits[start_id] = _NamedLimit(limit, answered_at, refilled_at=now)

    def _refill(self, endpoint: Endpoint, now: float) -> _NamedLimit:
        known = self.limits[endpoint.start_id]
        elapsed = max(0, now - known.refilled_at)
        rate = known.limit * self._share(known, endpoint, now)
        known.tokens = min(MAX_TOKENS, known.tokens + elapsed * rate)
        known.refilled_at = now
        return known

    def _share(
        self, known: _NamedLimit, endpoint: Endpoint, now: float
    ) -> float:
        if not self.senders.has_discovered(now):
            return 0
        if known.revision != self.senders.revision:
            known.share = self.senders.share(
                endpoint.start_id, endpoint.failure_domain, known.limit
            )
            known.revision = self.senders.revision
        return known.share

    def _forget_old(self, now: float) -> None:
        old = [
            start_id
            for start_id, known in self.limits.items()
            if _is_old(known, now)
        ]
        for start_id in old:
            self.limits.pop(start_id)


def _is_old(known: _NamedLimit, now: float) -> bool:
    return now - known.answered_at > MEMORY_SECONDS
