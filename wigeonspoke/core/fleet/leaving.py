"""Runs of endpoints that have said in an answer that they leave.

The registry may list such a run as ready for some time, or for good at a node
that the store does not reach.  What the run itself said goes before what the
registry lists, and holds until the run ends.

A node that has heard it from the run itself, or in an answer that a peer got
for it, never forgets it.  What a peer tells otherwise is a hint, which ends
unless the run goes on saying so to some node.
"""

import math
from collections.abc import Collection

import msgspec

# How long after the run's answer a hint of a peer holds.
HINT_SECONDS = 30.0
MAX_REPORTS = 16
MAX_RUNS = 4096


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """A run that said it leaves, at the latest ``age`` seconds ago."""

    start_id: str
    age: float


class LeavingRuns:
    """The runs that leave, by start id, with when they last said so.

    Times are on the monotonic clock.  ``told_at`` holds the time of the newest
    answer that any node has read, and ``own`` the runs that told this node.
    """

    __slots__ = ('own', 'told_at')

    def __init__(self) -> None:
        self.told_at: dict[str, float] = {}
        self.own: set[str] = set()

    def record_answer(self, start_id: str, now: float) -> bool:
        """Record that a run told this node; return whether it is news."""
        is_new = start_id not in self.told_at
        self.own.add(start_id)
        self._record(start_id, now)
        return is_new

    def merge(self, report: LeavingReport, now: float) -> bool:
        """Merge what a peer tells; return whether it is news."""
        if report.age > HINT_SECONDS:
            return False
        is_new = report.start_id not in self.told_at
        self._record(report.start_id, now - report.age)
        return is_new

    def is_leaving(self, start_id: str) -> bool:
        """Return whether a run is known to leave."""
        return start_id in self.told_at

    def newest_told(self, start_ids: Collection[str]) -> tuple[str, ...]:
        """Return those of some runs that told this node, the newest of them."""
        told = sorted(
            self.own.intersection(start_ids), key=self.told_at.__getitem__
        )
        return tuple(told[-MAX_REPORTS:])

    def expire(self, now: float) -> tuple[str, ...]:
        """Forget old hints; return their runs."""
        oldest = now - HINT_SECONDS
        expired = tuple(
            start_id
            for start_id, told_at in self.told_at.items()
            if told_at < oldest and start_id not in self.own
        )
        for start_id in expired:
            self.told_at.pop(start_id)
        return expired

    def reports(self, now: float) -> tuple[LeavingReport, ...]:
        """Return the newest of them to tell peers."""
        recent = sorted(
            (told_at, start_id)
            for start_id, told_at in self.told_at.items()
            if now - told_at <= HINT_SECONDS
        )
        return tuple(
            LeavingReport(start_id, round(now - told_at, 2))
            for told_at, start_id in recent[-MAX_REPORTS:]
        )

    def _record(self, start_id: str, told_at: float) -> None:
        known = self.told_at.get(start_id, -math.inf)
        self.told_at[start_id] = max(known, told_at)
        if len(self.told_at) > MAX_RUNS:
            first = next(iter(self.told_at))
            self.told_at.pop(first)
            self.own.discard(first)
