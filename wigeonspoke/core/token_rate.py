"""Measurement of the rate at which a node generates tokens."""

WINDOW_SECONDS = 2.0
# A window with fewer tokens gives no rate.
MIN_TOKENS = 64


class TokenRate:
    """Counts generated tokens in consecutive time windows.

    The rate of the last complete window is the current estimate.  A window
    with fewer than ``MIN_TOKENS`` tokens leaves the rate unknown, stored as
    0; the expected wait is then 0.
    """

    __slots__ = ('count', 'tokens_per_second', 'window_start')

    def __init__(self) -> None:
        self.window_start = 0
        self.count = 0
        self.tokens_per_second = 0

    def record_token(self, now: float) -> None:
        """Count one generated token."""
        self._rotate_window(now)
        self.count += 1

    def expected_wait(self, work: int, now: float) -> float:
        """Return the estimated seconds to generate ``work`` queued tokens."""
        self._rotate_window(now)
        if not self.tokens_per_second:
            return 0
        return work / self.tokens_per_second

    def _rotate_window(self, now: float) -> None:
        elapsed = now - self.window_start
        if elapsed < WINDOW_SECONDS:
            return
        enough = self.count >= MIN_TOKENS
        self.tokens_per_second = self.count / elapsed if enough else 0
        self.window_start = now
        self.count = 0
