"""When a chain last showed that it works.

The fault it answers: a stream is silent either because an engine of its
chain is gone, and then all streams of the chain are, or because it waits its
turn, and then the others go on.  Only the first is a reason to leave at
once, and with several streams in flight it shows after a few of their usual
gaps.
"""

import msgspec

# A chain is silent after this many times the usual gap between the events
# of one stream, within bounds.
SILENCE_GAP_FACTOR = 3.0
MIN_SILENCE_TIMEOUT_SECONDS = 0.06
MAX_SILENCE_TIMEOUT_SECONDS = 0.5
# With fewer streams a single late event would look like silence.
FEW_STREAMS = 3
FEW_STREAMS_FACTOR = 2.0
INITIAL_GAP_SECONDS = 0.03
GAP_SMOOTHING = 0.05


class _EventTiming(msgspec.Struct):
    """The last event of a chain, and the usual gap within a stream."""

    last_event_at: float
    mean_gap: float = INITIAL_GAP_SECONDS


class ChainActivity:
    """The rhythm of events by the id of a chain's head."""

    __slots__ = ('timings',)

    def __init__(self) -> None:
        self.timings: dict[str, _EventTiming] = {}

    def note_event(self, head_id: str, gap: float, now: float) -> None:
        """Take in an event that came ``gap`` seconds after the one before."""
        timing = self.timings.setdefault(head_id, _EventTiming(now))
        timing.last_event_at = now
        timing.mean_gap += GAP_SMOOTHING * (gap - timing.mean_gap)

    def silence_timeout_seconds(self, head_id: str, streams: int) -> float:
        """Give after how long without an event a chain counts as silent."""
        timing = self.timings.get(head_id)
        gap = timing.mean_gap if timing else INITIAL_GAP_SECONDS
        seconds = max(MIN_SILENCE_TIMEOUT_SECONDS, SILENCE_GAP_FACTOR * gap)
        if streams < FEW_STREAMS:
            seconds *= FEW_STREAMS_FACTOR
        return min(MAX_SILENCE_TIMEOUT_SECONDS, seconds)

    def is_silent(self, head_id: str, streams: int, now: float) -> bool:
        """Tell whether nothing has come through a chain for too long."""
        timing = self.timings.get(head_id)
        if timing is None:
            return True
        timeout = self.silence_timeout_seconds(head_id, streams)
        return now - timing.last_event_at >= timeout
