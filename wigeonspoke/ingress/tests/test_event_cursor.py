"""Tests of which events are dropped, forwarded or show a missing event."""

import pytest

from wigeonspoke.ingress.streams.event_cursor import (
    MAX_COMMENTS,
    MAX_REPEATED_BYTES,
    EventCursor,
)
from wigeonspoke.ingress.streams.event_splitter import (
    EventSplitter,
    StreamEvent,
)
from wigeonspoke.transport import BodyEnd


@pytest.mark.parametrize(
    ('resumed_after', 'numbers', 'passed'),
    [
        ('', [1, 2, 3], [1, 2, 3]),
        ('', [7, 8], [7, 8]),
        ('2', [1, 2, 3], [3]),
        ('2', [3, 4], [3, 4]),
        ('2', [4], None),
        ('', [1, 3], None),
        ('', [0, 1], [0, 1]),
        ('', [None, 1, None, 2], [None, 1, None, 2]),
        ('', [1, 1, 2], [1, 2]),
        ('soon', [5], [5]),
    ],
)
def test_events_pass_once_and_in_order(resumed_after, numbers, passed):
    cursor = EventCursor(resumed_after)
    events = [StreamEvent(str(number).encode(), number) for number in numbers]
    taken = cursor.take_new(events)
    expected = None
    if passed is not None:
        expected = [str(number).encode() for number in passed]
    assert taken == expected


@pytest.mark.parametrize(
    ('resumed_after', 'numbers', 'last_event_id'),
    [('', [], ''), ('4', [], '4'), ('', [None], ''), ('', [3, None], '3')],
)
def test_where_a_stream_goes_on(resumed_after, numbers, last_event_id):
    cursor = EventCursor(resumed_after)
    cursor.take_new([StreamEvent(b'', number) for number in numbers])
    assert cursor.last_event_id == last_event_id
    assert cursor.is_numbered == bool(last_event_id)


@pytest.mark.parametrize(
    ('resumed_after', 'numbers', 'has_begun_event', 'body_end', 'may_end'),
    [
        ('', [1, 2], False, BodyEnd.CLOSE, True),
        ('', [None], False, BodyEnd.CLOSE, True),
        ('', [], False, BodyEnd.CLOSE, False),
        ('', [], False, BodyEnd.LAST_CHUNK, True),
        ('', [], False, BodyEnd.LENGTH, True),
        ('2', [], False, BodyEnd.CLOSE, True),
        ('2', [], True, BodyEnd.LAST_CHUNK, False),
        ('', [1], True, BodyEnd.LAST_CHUNK, True),
        ('', [], True, BodyEnd.LENGTH, False),
    ],
)
def test_where_a_stream_may_end(
    resumed_after, numbers, has_begun_event, body_end, may_end
):
    cursor = EventCursor(resumed_after)
    cursor.has_begun_event = has_begun_event
    cursor.take_new([StreamEvent(b'', number) for number in numbers])
    assert cursor.may_end(body_end) is may_end


@pytest.mark.parametrize(
    ('received', 'is_inside_event'),
    [
        (b'', False),
        (b'data: a\n\n', False),
        (b'data: a\r\n\r\n', False),
        (b'data: a\n\n\n', False),
        (b'data: a\n\ni', True),
        (b'data: a\n', True),
        (b'data: a\r\n', True),
    ],
)
def test_whether_a_stream_is_inside_an_event(received, is_inside_event):
    splitter = EventSplitter()
    splitter.feed(received)
    assert splitter.is_inside_event is is_inside_event


@pytest.mark.parametrize(
    ('raw', 'needs_numbers', 'is_taken'),
    [
        (b'data: error\n\n', True, False),
        (b'data: error\n\n', False, True),
        (b': still here\n\n', True, True),
        (b'id: 5\ndata: a\n\n', True, True),
    ],
)
def test_an_event_without_a_number_has_no_place_between_numbered_ones(
    raw, needs_numbers, is_taken
):
    """Guards against the text of an error in the middle of a stream."""
    cursor = EventCursor('4', needs_numbers=needs_numbers)
    taken = cursor.take_new(EventSplitter().feed(raw))
    expected = [raw] if is_taken else None
    assert taken == expected


def _comments(count: int) -> list[StreamEvent]:
    return EventSplitter().feed(b':\n\n' * count)


# A stream of comments kept a silent chain alive, and moved the position.
def test_comments_are_no_events():
    cursor = EventCursor('')
    assert cursor.take_new(_comments(3)) == [b':\n\n'] * 3
    assert not cursor.has_position
    assert not cursor.new_count
    assert not cursor.may_end(BodyEnd.CLOSE)


@pytest.mark.parametrize('count', [MAX_COMMENTS, MAX_COMMENTS + 1])
def test_a_chain_that_only_comments_is_at_fault(count):
    cursor = EventCursor('')
    cursor.take_new([StreamEvent(b'id: 1\ndata: x\n\n', 1)])
    is_at_fault = cursor.take_new(_comments(count)) is None
    assert is_at_fault is (count > MAX_COMMENTS)


def test_an_event_between_comments_shows_progress():
    cursor = EventCursor('')
    for number in range(4):
        assert cursor.take_new(_comments(MAX_COMMENTS)) is not None
        event = StreamEvent(b'id: %d\ndata: x\n\n' % number, number)
        assert cursor.take_new([event]) == [event.raw]


def test_a_chain_that_only_repeats_is_at_fault():
    cursor = EventCursor('')
    event = StreamEvent(b'id: 1\ndata: %b\n\n' % (b'x' * 1000), 1)
    cursor.take_new([event])
    repeats = MAX_REPEATED_BYTES // len(event.raw)
    assert cursor.take_new([event] * repeats) == []
    assert cursor.take_new([event]) is None
