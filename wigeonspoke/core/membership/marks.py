"""Merging of endpoint marks that arrive in any order, any number of times."""

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
    """The newest mark known of each endpoint.

    The greater version wins, and within one version the stricter state, so
    that merging is commutative, associative and idempotent.
    """

    __slots__ = ('cached_digest', 'marks')

    def __init__(self) -> None:
        self.marks: dict[str, EndpointMark] = {}
        self.cached_digest = ''

    @property
    def digest(self) -> str:
        """Give a digest that is the same for the same marks."""
        if not self.cached_digest:
            ordered = sorted(self.marks.values(), key=attrgetter('endpoint'))
            body = msgspec.json.encode(ordered)
            hashed = hashlib.sha256(body).hexdigest()
            self.cached_digest = hashed[:DIGEST_LENGTH]
        return self.cached_digest

    def newest(self, count: int) -> tuple[EndpointMark, ...]:
        """Give so many marks at the most, those that changed last first."""
        return tuple(reversed(self.marks.values()))[:count]

    def merge(self, marks: Iterable[EndpointMark]) -> tuple[EndpointMark, ...]:
        """Take in marks and return those that changed something."""
        return tuple(mark for mark in marks if self._merge_mark(mark))

    def state(self, endpoint: str) -> MarkState:
        """Give the state in force for an endpoint."""
        mark = self.marks.get(endpoint)
        return mark.state if mark else MarkState.ACTIVE

    def _merge_mark(self, mark: EndpointMark) -> bool:
        known = self.marks.get(mark.endpoint)
        if known and _precedence(known) >= _precedence(mark):
            return False
        # A mark that changes goes to the end, where the newest are.
        self.marks.pop(mark.endpoint, None)
        self.marks[mark.endpoint] = mark
        self.cached_digest = ''
        return True
