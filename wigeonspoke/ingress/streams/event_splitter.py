"""Splitting of an event stream into complete events."""

import re

import msgspec

from wigeonspoke.serialization import MAX_COUNT, parse_count

# Largest event, and so the most that is held of an incomplete one.
MAX_EVENT_BYTES = 1048576
# Bytes of an event's end that may have come with an earlier part.
END_OVERLAP_BYTES = 3

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_EVENT_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?(\d+)')


class StreamEvent(msgspec.Struct, frozen=True):
    """A complete event as received; ``number`` is its id if numeric."""

    raw: bytes
    number: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has only comments, which keep a connection open."""
        if self.number is not None or not self.raw:
            return False
        return all(
            line.startswith(b':') for line in self.raw.splitlines() if line
        )


class EventTooLarge(Exception):
    """An event is larger than ``MAX_EVENT_BYTES``."""


class EventSplitter:
    r"""Splits a stream received in parts into complete events.

    ``incomplete`` holds the bytes after the last complete event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 4\ndata: a\n\nid: 5')
    [StreamEvent(raw=b'id: 4\ndata: a\n\n', number=4)]
    """

    __slots__ = ('incomplete',)

    def __init__(self) -> None:
        self.incomplete = b''

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and its end has not been received."""
        return bool(self.incomplete.strip(b'\r\n'))

    def feed(self, part: bytes) -> list[StreamEvent]:
        """Add received bytes; return the events that they complete.

        Raises
        ------
        EventTooLarge
            The incomplete event is too large.
        """
        search_from = max(0, len(self.incomplete) - END_OVERLAP_BYTES)
        self.incomplete += part
        events: list[StreamEvent] = []
        start = 0
        for matched in _EVENT_END.finditer(self.incomplete, search_from):
            raw = self.incomplete[start : matched.end()]
            events.append(StreamEvent(raw, _number(raw)))
            start = matched.end()
        self.incomplete = self.incomplete[start:]
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise EventTooLarge
        return events


def _number(raw: bytes) -> int | None:
    matched = _EVENT_ID.search(raw)
    return parse_event_number(matched[1].decode()) if matched else None


def parse_event_number(text: str) -> int | None:
    """Return the id of an event if it is a number, else None.

    One that is too long counts as a text: its neighbours cannot be told apart.

    >>> parse_event_number('12'), parse_event_number('9' * 5000)
    (12, None)
    """
    number = parse_count(text)
    return None if number == MAX_COUNT else number
