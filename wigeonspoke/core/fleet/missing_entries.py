"""Endpoints that are kept although their registry entries are missing."""

import math


class MissingEntries:
    """The endpoints that are kept, by id, and until when.

    Each has a time of its own, which later news can only shorten: evidence
    about another entry says nothing about this one.
    """

    __slots__ = ('kept_until',)

    def __init__(self) -> None:
        self.kept_until: dict[str, float] = {}

    def keep(self, endpoint_id: str, until: float) -> None:
        """Keep an endpoint until a time, or until an earlier known one."""
        known = self.kept_until.get(endpoint_id, math.inf)
        self.kept_until[endpoint_id] = min(known, until)

    def discard(self, endpoint_id: str) -> None:
        """Forget an endpoint whose entry is back, or that is dropped."""
        self.kept_until.pop(endpoint_id, None)

    def take_due(self, now: float) -> tuple[str, ...]:
        """Remove and return the endpoints whose time is over."""
        due = tuple(
            endpoint_id
            for endpoint_id, until in self.kept_until.items()
            if until <= now
        )
        for endpoint_id in due:
            self.discard(endpoint_id)
        return due

    @property
    def next_due_at(self) -> float:
        """When the next endpoint is due, infinite if none is kept."""
        return min(self.kept_until.values(), default=math.inf)

    def remaining(self, now: float) -> dict[str, float]:
        """Return for how long each of the endpoints is still kept."""
        return {
            endpoint_id: max(0, round(until - now, 3))
            for endpoint_id, until in self.kept_until.items()
        }
