"""When a chain last showed that it works.

The fault it answers: a stream is silent either because an engine of its
chain is gone, and then all streams of the chain are, or because it waits its
turn, and then the others go on.  Only the first is a reason to leave at
once.
"""

# A chain without an event from any stream for this long is silent.
SILENT_SECONDS = 0.1


class ChainActivity:
    """The last event, and the streams in flight, of each chain's head."""

    __slots__ = ('last_event',)

    def __init__(self) -> None:
        self.last_event: dict[str, float] = {}

    def note_event(self, head_id: str, now: float) -> None:
        """Take in an event that came through a chain."""
        self.last_event[head_id] = now

    def is_silent(self, head_id: str, now: float) -> bool:
        """Tell whether nothing has come through a chain lately."""
        return now - self.last_event.get(head_id, 0) >= SILENT_SECONDS
