"""Finds ranks, accounts and size classes that are served too rarely.

Each arrival of a class gives it the share of a start that it should have at
least; each start takes one.  A class that has saved up a whole start comes
first.  Unlike a comparison of counts within a period, this also holds for
classes with few requests, and it puts none first at its first arrival.
"""

from collections import OrderedDict

from wigeonspoke.core.admission.recent_counts import RecentCount

# A rank or an account is served at least this fraction of the mean.
MIN_SHARE = 0.25
# The same for a size class, compared with the mean of its rule.
MIN_SIZE_SHARE = 0.5
# What a class earns, as a multiple of the least that it is to get.  Above 1,
# since credit that is saved up but not yet used leaves a class below the least.
EARNED_FACTOR = 1.2
# What a class can save up, so that one that was held back for long doesn't
# hold up all others later.
MAX_CREDIT = 2.0
# Classes that are remembered.  The least recent ones are dropped.
MAX_CLASSES = 1024

ClassKey = tuple[str, str]


class _Served:
    """Recent arrivals and starts."""

    __slots__ = ('arrivals', 'starts')

    def __init__(self) -> None:
        self.arrivals = RecentCount()
        self.starts = RecentCount()

    def mean(self, now: float) -> float:
        """Return the share of arrivals that was served."""
        arrivals = self.arrivals.count(now)
        return min(1, self.starts.count(now) / arrivals) if arrivals else 0


class ServedShares:
    """Credits of classes of requests, in starts."""

    __slots__ = ('credits', 'served', 'served_by_rule')

    def __init__(self) -> None:
        self.served = _Served()
        self.served_by_rule: OrderedDict[str, _Served] = OrderedDict()
        self.credits: OrderedDict[ClassKey, float] = OrderedDict()

    def record_arrival(
        self, keys: tuple[ClassKey, ...], rule: str, now: float
    ) -> None:
        """Credit the classes of a request: size, rank and account."""
        of_rule = self._of_rule(rule)
        size_credit = EARNED_FACTOR * MIN_SIZE_SHARE * of_rule.mean(now)
        credit = EARNED_FACTOR * MIN_SHARE * self.served.mean(now)
        self.served.arrivals.add(now)
        of_rule.arrivals.add(now)
        for key in keys:
            earned = size_credit if key[0] == 'size' else credit
            saved = self.credits.get(key, 0)
            self.credits[key] = min(MAX_CREDIT, saved + earned)
            self.credits.move_to_end(key)
        while len(self.credits) > MAX_CLASSES:
            self.credits.popitem(last=False)

    def record_start(
        self, keys: tuple[ClassKey, ...], rule: str, now: float
    ) -> None:
        """Take a start from the classes of a request."""
        self.served.starts.add(now)
        self._of_rule(rule).starts.add(now)
        for key in keys:
            self.credits[key] = max(0, self.credits.get(key, 0) - 1)

    def is_starved(self, key: ClassKey) -> bool:
        """Return whether requests of a class come first."""
        return self.credits.get(key, 0) >= 1

    def _of_rule(self, rule: str) -> _Served:
        found = self.served_by_rule.setdefault(rule, _Served())
        self.served_by_rule.move_to_end(rule)
        if len(self.served_by_rule) > MAX_CLASSES:
            self.served_by_rule.popitem(last=False)
        return found
