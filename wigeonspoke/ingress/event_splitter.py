"""Splitting of an event stream into whole events."""

import re

import msgspec

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_EVENT_ID = re.compile(rb'(?:^|[\r\n])id:[ ]?(\d+)')


class StreamEvent(msgspec.Struct, frozen=True):
    """A whole event as it came; ``number`` is its id, if it is a number."""

    raw: bytes
    number: int | None


class EventSplitter:
    r"""Gives the whole events of a stream that comes in parts.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 4\ndata: a\n\nid: 5')
    [StreamEvent(raw=b'id: 4\ndata: a\n\n', number=4)]
    """

    __slots__ = ('incomplete',)

    def __init__(self) -> None:
        self.incomplete = b''

    def feed(self, part: bytes) -> list[StreamEvent]:
        """Take in a part; give the events that it completes."""
        self.incomplete += part
        events: list[StreamEvent] = []
        start = 0
        for matched in _EVENT_END.finditer(self.incomplete):
            raw = self.incomplete[start : matched.end()]
            events.append(StreamEvent(raw, _number(raw)))
            start = matched.end()
        self.incomplete = self.incomplete[start:]
        return events


def _number(raw: bytes) -> int | None:
    matched = _EVENT_ID.search(raw)
    return int(matched[1]) if matched else None
