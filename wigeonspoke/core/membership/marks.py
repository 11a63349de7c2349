"""Merging of endpoint marks that arrive in any order, any number of times."""

from collections.abc import Iterable

from wigeonspoke.core.membership.records import EndpointMark, MarkState

_RANKS = {
    MarkState.ACTIVE: 0,
    MarkState.DRAIN: 1,
    MarkState.STOP: 2,
}


def _order(mark: EndpointMark) -> tuple[int, int]:
    return (mark.version, _RANKS[mark.state])


class MarkBook:
    """The newest mark known of each endpoint.

    The greater version wins, and within one version the stricter state, so
    that merging is commutative, associative and idempotent.
    """

    __slots__ = ('marks',)

    def __init__(self) -> None:
        self.marks: dict[str, EndpointMark] = {}

    def merge(self, marks: Iterable[EndpointMark]) -> tuple[EndpointMark, ...]:
        """Take in marks and return those that changed something."""
        return tuple(mark for mark in marks if self._merge_one(mark))

    def state(self, endpoint: str) -> MarkState:
        """Give the state in force for an endpoint."""
        mark = self.marks.get(endpoint)
        return mark.state if mark else MarkState.ACTIVE

    def _merge_one(self, mark: EndpointMark) -> bool:
        known = self.marks.get(mark.endpoint)
        if known and _order(known) >= _order(mark):
            return False
        self.marks[mark.endpoint] = mark
        return True
