"""How long complete responses take, by rule.

A node that stops takes a request only if its response can be complete in the
time that is left.
"""

from collections import deque

# Responses of a rule that are remembered.
MAX_RESPONSES = 64
MAX_RULES = 1024
# Of the remembered responses, this share was complete in the expected time.
EXPECTED_SHARE = 0.95


class ResponseTimes:
    """The last times to complete responses, in seconds, by rule name."""

    __slots__ = ('by_rule',)

    def __init__(self) -> None:
        self.by_rule: dict[str, deque[float]] = {}

    def record(self, rule: str, seconds: float) -> None:
        """Record the time from a request to its complete response."""
        times = self.by_rule.get(rule)
        if times is None:
            times = deque(maxlen=MAX_RESPONSES)
            self.by_rule[rule] = times
        times.append(seconds)
        if len(self.by_rule) > MAX_RULES:
            self.by_rule.pop(next(iter(self.by_rule)))

    def expected(self, rule: str, otherwise: float) -> float:
        """Return the time in which a response will most likely be complete.

        It is ``otherwise`` if no response of the rule is known.
        """
        times = self.by_rule.get(rule)
        if not times:
            return otherwise
        index = int(EXPECTED_SHARE * len(times))
        return sorted(times)[min(index, len(times) - 1)]
