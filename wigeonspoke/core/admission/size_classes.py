"""Size classes of the requests of a rule: the largest, and those below."""

import bisect
from collections import deque

# Sizes that the classes are found from.
MAX_SIZES = 200
# With fewer sizes there are no classes.
MIN_SIZES = 20
# The largest tenth of the requests, and the fifth below it.
LARGE_QUANTILE = 0.9
MEDIUM_QUANTILE = 0.7


class SizeClasses:
    """Finds the size class of a request among the last ones of its rule."""

    __slots__ = ('in_order', 'recent')

    def __init__(self) -> None:
        self.recent: deque[int] = deque()
        self.in_order: list[int] = []

    def classify(self, tokens: int) -> str:
        """Return the size class of a request, and count it."""
        smaller = bisect.bisect_left(self.in_order, tokens)
        known = len(self.recent)
        self._add(tokens)
        if known < MIN_SIZES:
            return ''
        if smaller >= LARGE_QUANTILE * known:
            return 'large'
        return 'medium' if smaller >= MEDIUM_QUANTILE * known else 'small'

    def _add(self, tokens: int) -> None:
        self.recent.append(tokens)
        bisect.insort(self.in_order, tokens)
        if len(self.recent) > MAX_SIZES:
            oldest = self.recent.popleft()
            self.in_order.pop(bisect.bisect_left(self.in_order, oldest))
