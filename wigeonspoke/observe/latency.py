"""Latency histograms with a fixed relative precision."""

import msgspec
from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000
MAX_SECONDS = 3600
MAX_MICROSECONDS = MAX_SECONDS * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3
PERCENTILE_RANKS = (50, 95, 99)


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles of a latency in seconds, 0 if none was recorded."""

    p50: float
    p95: float
    p99: float


class LatencyRecorder:
    """Records latencies and computes their percentiles.

    >>> recorder = LatencyRecorder()
    >>> recorder.add(0.25)
    >>> round(recorder.percentiles().p50, 3)
    0.25
    """

    __slots__ = ('histogram',)

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def add(self, seconds: float) -> None:
        """Record one latency, limited to ``MAX_SECONDS``."""
        microseconds = max(1, int(seconds * MICROSECONDS_PER_SECOND))
        self.histogram.record_value(min(MAX_MICROSECONDS, microseconds))

    def percentiles(self) -> Percentiles:
        """Return the percentiles of all latencies recorded so far."""
        return Percentiles(
            *(
                self.histogram.get_value_at_percentile(rank)
                / MICROSECONDS_PER_SECOND
                for rank in PERCENTILE_RANKS
            ),
        )
