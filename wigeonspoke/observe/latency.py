"""Latencies, collected in histograms of a fixed relative precision."""

import msgspec
from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LONGEST_SECONDS = 3600
LONGEST_MICROSECONDS = LONGEST_SECONDS * MICROSECONDS
DIGITS = 3
RANKS = (50, 95, 99)


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles of a latency in seconds, 0 if there is none."""

    p50: float
    p95: float
    p99: float


class LatencyRecorder:
    """Collects latencies and gives their percentiles.

    >>> recorder = LatencyRecorder()
    >>> recorder.add(0.25)
    >>> round(recorder.percentiles().p50, 3)
    0.25
    """

    __slots__ = ('histogram',)

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, LONGEST_MICROSECONDS, DIGITS)

    def add(self, seconds: float) -> None:
        """Take in one latency."""
        microseconds = max(1, int(seconds * MICROSECONDS))
        self.histogram.record_value(min(LONGEST_MICROSECONDS, microseconds))

    def percentiles(self) -> Percentiles:
        """Give the percentiles of all latencies so far."""
        return Percentiles(
            *(
                self.histogram.get_value_at_percentile(rank) / MICROSECONDS
                for rank in RANKS
            ),
        )
