"""The rate at which waiting requests start, for the time a new one waits."""

from wigeonspoke.core.admission.recent_counts import RecentCount

# Seconds within the counting period in which requests must have waited before
# the rate is used: a rate from less time would rest on very few starts.
MIN_BUSY_SECONDS = 0.25


class StartRate:
    """Starts per second, in all and by rank, while requests waited.

    A rate over all time would be low at a node with few requests, which would
    then refuse the second of two although there is capacity soon.
    """

    __slots__ = ('busy', 'busy_since', 'starts', 'starts_by_rank')

    def __init__(self) -> None:
        self.busy = RecentCount()
        self.busy_since: float | None = None
        self.starts = RecentCount()
        self.starts_by_rank: dict[int, RecentCount] = {}

    def record_length(self, length: int, now: float) -> None:
        """Record how many requests wait from now on."""
        if self.busy_since is not None:
            self.busy.add(now, max(0, now - self.busy_since))
        self.busy_since = now if length else None

    def record_start(self, rank: int, now: float) -> None:
        """Count a waiting request that starts."""
        self.starts.add(now)
        self.starts_by_rank.setdefault(rank, RecentCount()).add(now)

    def expected_wait(
        self, ahead: tuple[int, int], rank: int, now: float
    ) -> float | None:
        """Return how long a request waits behind others, None if unknown.

        ``ahead`` are the requests of more urgent ranks and of the same rank
        before it.  Those of the same rank start at the rate of that rank,
        since more urgent requests keep arriving.
        """
        busy = self.busy.count(now)
        starts = self.starts.count(now)
        if busy < MIN_BUSY_SECONDS or not starts:
            return None
        same_rank = self.starts_by_rank.get(rank)
        same_starts = same_rank.count(now) if same_rank else 0
        urgent, same = ahead
        return busy * (urgent / starts + same / (same_starts or starts))
