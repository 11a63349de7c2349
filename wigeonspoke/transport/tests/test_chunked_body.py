"""Bodies in chunks, however their bytes come."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonspoke.transport import ChunkedBody, ChunkError

WHOLE = b'5\r\nhello\r\n00a;name=text\r\n0123456789\r\n0\r\nOne: x\r\n\r\n'


def _pieces(payload: bytes, cuts: list[int]):
    edges = sorted({0, len(payload), *(cut % len(payload) for cut in cuts)})
    return [
        payload[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


@given(st.lists(st.integers(0, 200)))
def test_the_bytes_may_come_in_any_pieces(cuts):
    body = ChunkedBody()
    parts = [body.feed(piece) for piece in _pieces(WHOLE, cuts)]
    assert b''.join(parts) == b'hello0123456789'
    assert body.is_whole
    assert not body.rest


@given(st.lists(st.binary(min_size=1, max_size=40)), st.lists(st.integers(0)))
def test_what_was_put_in_chunks_comes_out(chunks, cuts):
    payload = b''.join(
        b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks
    )
    body = ChunkedBody()
    parts = [
        body.feed(piece) for piece in _pieces(payload + b'0\r\n\r\n', cuts)
    ]
    assert b''.join(parts) == b''.join(chunks)
    assert body.is_whole


def test_an_event_is_given_as_soon_as_it_is_there():
    body = ChunkedBody()
    assert body.feed(b'5\r\nhel') == b'hel'
    assert body.feed(b'lo') == b'lo'
    assert not body.feed(b'\r\n')
    assert not body.is_whole


def test_what_follows_a_whole_body_is_left():
    body = ChunkedBody()
    assert not body.feed(b'0\r\n\r\nHTTP/1.1 200 OK')
    assert body.is_whole
    assert body.rest == b'HTTP/1.1 200 OK'


@pytest.mark.parametrize(
    'payload',
    [
        b'x\r\n',
        b'\r\n',
        b'-1\r\n',
        b'0x5\r\nhello\r\n',
        b' 5\r\nhello\r\n',
        b'5\nhello\r\n',
        b'123456789\r\n',
        b'5\r\nhelloworld',
        b'5\r\nhello\rx',
        b'5;' + b'a' * 2000,
        b'0\r\n' + b'a: b\r\n' * 20,
    ],
)
def test_bytes_that_break_the_format(payload):
    body = ChunkedBody()
    with pytest.raises(ChunkError):
        body.feed(payload)
        body.feed(b'\r\n')
