"""Detection of chains that have stopped producing events.

A stream without events either runs on a chain that lost an engine, in which
case all streams of the chain stop, or waits for its turn while the other
streams continue.  Only a lost engine justifies switching to another chain at
once.  With several streams in flight it is detected within a few mean event
gaps.
"""

import msgspec

# The silence timeout is this multiple of the mean gap between the events of
# one stream, within the bounds below.
SILENCE_GAP_FACTOR = 3.0
MIN_SILENCE_TIMEOUT_SECONDS = 0.06
MAX_SILENCE_TIMEOUT_SECONDS = 0.5
# With fewer streams than this, the timeout is multiplied by
# FEW_STREAMS_FACTOR, since one late event would look like silence.
FEW_STREAMS = 3
FEW_STREAMS_FACTOR = 2.0
INITIAL_GAP_SECONDS = 0.03
# Weight of a new gap in the moving average.
GAP_SMOOTHING = 0.05


class _EventTiming(msgspec.Struct):
    """Time of the last event of a chain and mean gap within its streams."""

    last_event_at: float
    mean_gap: float = INITIAL_GAP_SECONDS


class ChainActivity:
    """Tracks event times per chain, keyed by the endpoint id of its head.

    The head is the first engine of a chain.
    """

    __slots__ = ('timings',)

    def __init__(self) -> None:
        self.timings: dict[str, _EventTiming] = {}

    def record_event(self, head_id: str, gap: float, now: float) -> None:
        """Record an event of a chain.

        ``gap`` is the time in seconds since the previous event of the same
        stream.
        """
        timing = self.timings.setdefault(head_id, _EventTiming(now))
        timing.last_event_at = now
        timing.mean_gap += GAP_SMOOTHING * (gap - timing.mean_gap)

    def silence_timeout_seconds(self, head_id: str, streams: int) -> float:
        """Return the time without events after which a chain is silent."""
        timing = self.timings.get(head_id)
        gap = timing.mean_gap if timing else INITIAL_GAP_SECONDS
        seconds = max(MIN_SILENCE_TIMEOUT_SECONDS, SILENCE_GAP_FACTOR * gap)
        if streams < FEW_STREAMS:
            seconds *= FEW_STREAMS_FACTOR
        return min(MAX_SILENCE_TIMEOUT_SECONDS, seconds)

    def is_silent(self, head_id: str, streams: int, now: float) -> bool:
        """Return whether a chain has exceeded its silence timeout.

        A chain without any recorded event is silent.
        """
        timing = self.timings.get(head_id)
        if timing is None:
            return True
        timeout = self.silence_timeout_seconds(head_id, streams)
        return now - timing.last_event_at >= timeout
