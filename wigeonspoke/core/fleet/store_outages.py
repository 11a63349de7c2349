"""When the store was away, by what its calls have met.

Entries of the registry may lapse while the store is away.  One refused call
among others that are answered is no outage: the entries do not lapse then.
"""

import math

# Failures in a row, with no answer between them, that make an outage.
MIN_FAILURES = 2
# An answer that is overdue by this much makes one by itself.
MIN_SILENT_SECONDS = 0.5
# Live endpoints have registered again this long after an outage.
RETENTION_SECONDS = 2.5


class StoreOutages:
    """The last outage of the store; times are on the monotonic clock.

    ``is_away`` is whether it has been away since its last answer.
    """

    __slots__ = ('failed_at', 'failures', 'is_away', 'returned_at')

    def __init__(self) -> None:
        # Failures since the last answer.
        self.failures = 0
        self.is_away = False
        self.failed_at = -math.inf
        self.returned_at = -math.inf

    def record_failure(self, now: float, silent_seconds: float = 0) -> None:
        """Record a call that was refused or not answered.

        ``silent_seconds`` is how long ago its answer was due.
        """
        self.failures += 1
        self.failed_at = max(self.failed_at, now)
        is_silent = silent_seconds >= MIN_SILENT_SECONDS
        if is_silent or self.failures >= MIN_FAILURES:
            self.is_away = True

    def record_answer(self, now: float) -> None:
        """Record that the store has answered a call."""
        if self.is_away:
            self.returned_at = now
        self.failures = 0
        self.is_away = False

    def record_return(self, at: float) -> None:
        """Record the end of an outage of which a peer has told."""
        self.returned_at = max(self.returned_at, at)

    def seconds_since(self, now: float) -> float:
        """Return how long ago the store was away, infinite if it never was."""
        return 0 if self.is_away else now - self.returned_at

    def retention_seconds(self, now: float) -> float:
        """Return for how long entries that are missing now may be back."""
        return max(0, RETENTION_SECONDS - self.seconds_since(now))
