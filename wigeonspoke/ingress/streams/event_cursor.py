"""Position of a client in an event stream."""

from wigeonspoke.ingress.streams.event_splitter import (
    StreamEvent,
    parse_event_number,
)
from wigeonspoke.transport import BodyEnd

# A chain that resumes a stream may repeat events, and comments keep a
# connection open.  One that sends nothing else is at fault.
MAX_REPEATED_BYTES = 1048576
MAX_COMMENTS = 1000


class EventCursor:
    """Tracks the last event sent to the client, over all attempts.

    ``last_number`` is None as long as no event had a numeric id; the stream
    cannot be resumed at another chain then.

    ``needs_numbers`` is whether each event must have a number once one had it.
    In a stream that may be resumed, one without a number has no place: it is
    an error of the chain, or stands between the parts of two runs.
    """

    __slots__ = (
        'has_begun_event',
        'has_position',
        'last_number',
        'needs_numbers',
        'new_count',
        'repeated_bytes',
        'comment_count',
    )

    def __init__(
        self, resumed_after: str, *, needs_numbers: bool = False
    ) -> None:
        self.needs_numbers = needs_numbers
        self.last_number = parse_event_number(resumed_after)
        # Whether the client has any event, from this request or before it.
        self.has_position = bool(resumed_after)
        # Events so far that were new to the client.
        self.new_count = 0
        # Comments, and bytes of repeated events, since the last new one.
        self.comment_count = 0
        self.repeated_bytes = 0
        # Whether an attempt broke off inside the event after the last one.
        self.has_begun_event = False

    @property
    def is_numbered(self) -> bool:
        """Whether the position is known, so that the stream can be resumed."""
        return self.last_number is not None

    @property
    def last_event_id(self) -> str:
        """Id of the event after which to resume, empty if unknown."""
        return '' if self.last_number is None else str(self.last_number)

    def take_new(self, events: list[StreamEvent]) -> list[bytes] | None:
        """Return the events new to the client, and comments.

        It is None if one is missing, or has no place in the stream, or if
        nothing new comes for long.
        """
        new_events: list[bytes] = []
        for event in events:
            distance = self._distance(event)
            if distance > 1 or self._has_no_place(event):
                return None
            if distance > 0:
                new_events.append(event.raw)
            self._count(event, distance)
        return None if self._is_at_fault else new_events

    def may_end(self, body_end: BodyEnd) -> bool:
        """Return whether the stream may be complete after the last event.

        It is not if a further event has begun in any attempt.  A body that
        ends with its connection before any event proves nothing, while one
        that ends so after a complete event may be complete.
        """
        if self.has_begun_event:
            return False
        return self.has_position or body_end is not BodyEnd.CLOSE

    @property
    def _is_at_fault(self) -> bool:
        is_repeating = self.repeated_bytes > MAX_REPEATED_BYTES
        return is_repeating or self.comment_count > MAX_COMMENTS

    def _has_no_place(self, event: StreamEvent) -> bool:
        if not self.needs_numbers or not self.is_numbered:
            return False
        return event.number is None and not event.is_comment

    def _distance(self, event: StreamEvent) -> int:
        """Return the distance from the last event, 1 if unknown."""
        if event.number is None or self.last_number is None:
            return 1
        return event.number - self.last_number

    def _count(self, event: StreamEvent, distance: int) -> None:
        """Advance by a new event, or count one that is not."""
        if event.is_comment:
            self.comment_count += 1
        elif distance > 0:
            self._advance(event)
        else:
            self.repeated_bytes += len(event.raw)

    def _advance(self, event: StreamEvent) -> None:
        self.has_position = True
        self.has_begun_event = False
        self.new_count += 1
        self.comment_count = 0
        self.repeated_bytes = 0
        if event.number is not None:
            self.last_number = event.number
