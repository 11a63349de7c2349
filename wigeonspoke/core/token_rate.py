"""How fast a node has been generating tokens lately."""

WINDOW_SECONDS = 2.0
MIN_TOKENS = 64


class TokenRate:
    """Tokens a second, counted over two windows that take turns.

    The pace of the last whole window stands for the present; without one
    the pace is unknown and no wait is foretold.
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
        """Give the seconds until ``work`` queued tokens are through."""
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
