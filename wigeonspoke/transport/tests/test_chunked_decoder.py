"""Tests of the chunked decoder with input split at any point."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonspoke.transport import ChunkedDecoder, ChunkError

COMPLETE_BODY = (
    b'5\r\nhello\r\n00a;name=text\r\n0123456789\r\n0\r\nOne: x\r\n\r\n'
)


def _split_at(payload: bytes, cuts: list[int]):
    edges = sorted({0, len(payload), *(cut % len(payload) for cut in cuts)})
    return [
        payload[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


@given(st.lists(st.integers(0, 200)))
def test_decodes_input_split_at_any_point(cuts):
    decoder = ChunkedDecoder()
    parts = [decoder.feed(piece) for piece in _split_at(COMPLETE_BODY, cuts)]
    assert b''.join(parts) == b'hello0123456789'
    assert decoder.is_complete
    assert not decoder.buffer


@given(st.lists(st.binary(min_size=1, max_size=40)), st.lists(st.integers(0)))
def test_decodes_what_was_encoded(chunks, cuts):
    payload = b''.join(
        b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks
    )
    decoder = ChunkedDecoder()
    parts = [
        decoder.feed(piece) for piece in _split_at(payload + b'0\r\n\r\n', cuts)
    ]
    assert b''.join(parts) == b''.join(chunks)
    assert decoder.is_complete


def test_returns_partial_chunk_data_immediately():
    decoder = ChunkedDecoder()
    assert decoder.feed(b'5\r\nhel') == b'hel'
    assert decoder.feed(b'lo') == b'lo'
    assert not decoder.feed(b'\r\n')
    assert not decoder.is_complete


def test_keeps_bytes_after_the_body_in_the_buffer():
    decoder = ChunkedDecoder()
    assert not decoder.feed(b'0\r\n\r\nHTTP/1.1 200 OK')
    assert decoder.is_complete
    assert decoder.buffer == b'HTTP/1.1 200 OK'


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
def test_rejects_malformed_input(payload):
    decoder = ChunkedDecoder()
    with pytest.raises(ChunkError):
        decoder.feed(payload)
        decoder.feed(b'\r\n')


# Each element copied the rest of the input, and chunks of a byte took a whole
# process at a few megabytes a second.
@pytest.mark.parametrize(('size', 'is_at_fault'), [(1, True), (70, False)])
def test_chunks_that_are_mostly_framing_are_malformed(size, is_at_fault):
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    decoder = ChunkedDecoder()

    def feed_all():
        for _ in range(100):
            decoder.feed(chunk * 1000)

    if is_at_fault:
        with pytest.raises(ChunkError, match='size of the chunks'):
            feed_all()
    else:
        feed_all()
    assert decoder.element_count >= 3000


def test_a_few_small_chunks_are_sound():
    decoder = ChunkedDecoder()
    body = decoder.feed(b'1\r\nx\r\n' * 10000 + b'0\r\n\r\n')
    assert body == b'x' * 10000
    assert decoder.is_complete
