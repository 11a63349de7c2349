"""Merging of endpoint marks, independent of order and repetition."""

import hashlib
from collections.abc import Iterable
from operator import attrgetter

import msgspec

from wigeonspoke.core.membership.records import EndpointMark, MarkState

DIGEST_LENGTH = 16

_STRICTNESS = {
    MarkState.ACTIVE: 0,
    MarkState.DRAIN: 1,
    MarkState.STOP: 2,
}


def _precedence(mark: EndpointMark) -> tuple[int, int]:
    return (mark.version, _STRICTNESS[mark.state])


class MarkRegistry:
    """The newest known mark of each endpoint.

    The mark with the higher version wins and, at equal versions, the one with
    the stricter state, so that merging is commutative, associative and
    idempotent.
    """

    __slots__ = ('cached_digest', 'marks')

    def __init__(self) -> None:
        self.marks: dict[str, EndpointMark] = {}
        self.cached_digest = ''

    @property
    def digest(self) -> str:
        """A digest of all marks, independent of the order of their arrival."""
        if not self.cached_digest:
            ordered = sorted(self.marks.values(), key=attrgetter('endpoint'))
            body = msgspec.json.encode(ordered)
            hashed = hashlib.sha256(body).hexdigest()
            self.cached_digest = hashed[:DIGEST_LENGTH]
        return self.cached_digest

    def newest(self, count: int) -> tuple[EndpointMark, ...]:
        """Return up to ``count`` marks, the most recently changed first."""
        return tuple(reversed(self.marks.values()))[:count]

    def merge(self, marks: Iterable[EndpointMark]) -> tuple[EndpointMark, ...]:
        """Merge marks and return those that replaced an older one or none."""
        return tuple(mark for mark in marks if self._merge_mark(mark))

    def state(self, endpoint: str) -> MarkState:
        """Return the effective state of an endpoint."""
        mark = self.marks.get(endpoint)
        return mark.state if mark else MarkState.ACTIVE

    def _merge_mark(self, mark: EndpointMark) -> bool:
        known = self.marks.get(mark.endpoint)
        if known and _precedence(known) >= _precedence(mark):
            return False
        # Reinsert the mark at the end, since ``newest`` relies on the order.
        self.marks.pop(mark.endpoint, None)
        self.marks[mark.endpoint] = mark
        self.cached_digest = ''
        return True
