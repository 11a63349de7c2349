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
GAP_FACTOR = 3.0
MIN_SILENT_SECONDS = 0.06
MAX_SILENT_SECONDS = 0.5
# With fewer streams a single late event would look like silence.
FEW_STREAMS = 3
FEW_STREAMS_FACTOR = 2.0
USUAL_GAP_SECONDS = 0.03
GAP_GAIN = 0.05


class _Rhythm(msgspec.Struct):
    """The last event of a chain, and the usual gap within a stream."""

    last_event: float
    gap: float = USUAL_GAP_SECONDS


class ChainActivity:
    """The rhythm of events by the id of a chain's head."""

    __slots__ = ('rhythms',)

    def __init__(self) -> None:
        self.rhythms: dict[str, _Rhythm] = {}

    def note_event(self, head_id: str, gap: float, now: float) -> None:
        """Take in an event that came ``gap`` seconds after the one before."""
        rhythm = self.rhythms.setdefault(head_id, _Rhythm(now))
        rhythm.last_event = now
        rhythm.gap += GAP_GAIN * (gap - rhythm.gap)

    def silent_seconds(self, head_id: str, streams: int) -> float:
        """Give after how long without an event a chain counts as silent."""
        rhythm = self.rhythms.get(head_id)
        gap = rhythm.gap if rhythm else USUAL_GAP_SECONDS
        seconds = max(MIN_SILENT_SECONDS, GAP_FACTOR * gap)
        if streams < FEW_STREAMS:
            seconds *= FEW_STREAMS_FACTOR
        return min(MAX_SILENT_SECONDS, seconds)

    def is_silent(self, head_id: str, streams: int, now: float) -> bool:
        """Tell whether nothing has come through a chain for too long."""
        rhythm = self.rhythms.get(head_id)
        if rhythm is None:
            return True
        bound = self.silent_seconds(head_id, streams)
        return now - rhythm.last_event >= bound
