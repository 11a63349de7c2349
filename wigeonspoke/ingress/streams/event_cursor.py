"""Position of a client in an event stream."""

from wigeonspoke.ingress.streams.event_splitter import (
    StreamEvent,
    parse_event_number,
)
from wigeonspoke.transport import BodyEnd


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
    )

    def __init__(
        self, resumed_after: str, *, needs_numbers: bool = False
    ) -> None:
        self.needs_numbers = needs_numbers
        self.last_number = parse_event_number(resumed_after)
        # Whether the client has any event, from this request or before it.
        self.has_position = bool(resumed_after)
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
        """Return the events new to the client.

        It is None if one is missing, or has no place in the stream.
        """
        new_events: list[bytes] = []
        for event in events:
            if self._has_no_place(event):
                return None
            distance = self._distance(event)
            if distance > 1:
                return None
            if distance > 0:
                self._advance(event)
                new_events.append(event.raw)
        return new_events

    def may_end(self, body_end: BodyEnd) -> bool:
        """Return whether the stream may be complete after the last event.

        It is not if a further event has begun in any attempt.  A body that
        ends with its connection before any event proves nothing, while one
        that ends so after a complete event may be complete.
        """
        if self.has_begun_event:
            return False
        return self.has_position or body_end is not BodyEnd.CLOSE

    def _has_no_place(self, event: StreamEvent) -> bool:
        if not self.needs_numbers or not self.is_numbered:
            return False
        return event.number is None and not event.is_comment

    def _distance(self, event: StreamEvent) -> int:
        """Return the distance from the last event, 1 if unknown."""
        if event.number is None or self.last_number is None:
            return 1
        return event.number - self.last_number

    def _advance(self, event: StreamEvent) -> None:
        self.has_position = True
        self.has_begun_event = False
        if event.number is not None:
            self.last_number = event.number
