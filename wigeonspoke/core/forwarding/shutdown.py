"""The times of a graceful shutdown.

Every request that was read gets its final answer before the process ends.
"""

import math

import msgspec

# Time at the end in which requests that are still open are answered.
ANSWER_SECONDS = 0.5
# Time left of the shutdown limit when the process ends in any case.
EXIT_MARGIN_SECONDS = 0.1


class Shutdown(msgspec.Struct, frozen=True):
    """When a node that stops answers what is open, and when it ends.

    Both times are on the monotonic clock, infinite while it does not stop.
    """

    answer_at: float = math.inf
    end_at: float = math.inf

    @classmethod
    def begin(cls, now: float, limit_seconds: float) -> 'Shutdown':
        """Return the times of a shutdown that begins now."""
        limit_at = now + limit_seconds
        return cls(limit_at - ANSWER_SECONDS, limit_at - EXIT_MARGIN_SECONDS)

    def may_take(self, now: float, expected_seconds: float) -> bool:
        """Return whether a request can be answered before the end."""
        return now + expected_seconds <= self.answer_at
