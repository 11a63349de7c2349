"""Where in a stream its client is."""

from wigeonspoke.ingress.event_splitter import StreamEvent


class EventCursor:
    """The last event that the client got, over all tries of a stream.

    ``last_number`` is none while no event had a number, and the stream
    cannot go on elsewhere then.
    """

    __slots__ = ('last_number',)

    def __init__(self, resumed_after: str) -> None:
        self.last_number: int | None = None
        if resumed_after.isdecimal():
            self.last_number = int(resumed_after)

    @property
    def is_numbered(self) -> bool:
        """Tell whether it is known where the stream could go on."""
        return self.last_number is not None

    @property
    def last_event_id(self) -> str:
        """Give the event after which a try is to go on, empty at a start."""
        return '' if self.last_number is None else str(self.last_number)

    def take_new(self, events: list[StreamEvent]) -> list[bytes] | None:
        """Give the events that the client has not, none if one is missing."""
        new_events: list[bytes] = []
        for event in events:
            distance = self._distance(event)
            if distance > 1:
                return None
            if distance > 0:
                self._advance(event)
                new_events.append(event.raw)
        return new_events

    def _distance(self, event: StreamEvent) -> int:
        """Give how many events it is after the last one, 1 if unknown."""
        if event.number is None or self.last_number is None:
            return 1
        return event.number - self.last_number

    def _advance(self, event: StreamEvent) -> None:
        if event.number is not None:
            self.last_number = event.number
