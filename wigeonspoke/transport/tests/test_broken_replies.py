"""The HTTP client takes no reply that was broken off as complete."""

import gzip

import pytest
from returns.result import Success

from wigeonspoke.core.outcomes import Reason
from wigeonspoke.platform.standins.raw_server import RawServer
from wigeonspoke.transport import HttpClient

HEAD = b'HTTP/1.1 200 OK\r\n'
UNFRAMED = HEAD + b'Connection: close\r\n\r\n'
LENGTH = HEAD + b'Content-Length: 10\r\n\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


@pytest.fixture
def server(request):
    """Yield a server that sends bytes and ends the connection."""
    payload, must_reset = request.param

    def respond(_request, connection):
        connection.write(payload)
        if must_reset:
            connection.reset()
        else:
            connection.sock.close()

    started = RawServer(respond)
    yield started
    started.close()


# The green socket reported a reset as a regular end, so that a reply without a
# length counted as complete.
@pytest.mark.parametrize(
    ('server', 'is_complete'),
    [
        ((UNFRAMED + b'{}', False), True),
        ((UNFRAMED + b'{}', True), False),
        ((LENGTH + b'{}', False), False),
        ((LENGTH + b'{}', True), False),
        ((CHUNKED + b'2\r\n{}\r\n', False), False),
        ((CHUNKED + b'2\r\n{}\r\n', True), False),
        ((CHUNKED + b'2\r\n{}\r\n0\r\n\r\n', False), True),
    ],
    indirect=['server'],
)
def test_only_a_complete_reply_counts(server, is_complete):
    result = HttpClient().get(server.address, '/')
    assert isinstance(result, Success) is is_complete
    if not is_complete:
        assert result.failure().reason is Reason.RESET


WHOLE_HEAD = (
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nInstance-Id: r-one\r\n'
    b'Content-Type: application/json\r\nContent-Length: 0\r\n\r\n'
)


# The HTTP library takes the end of the connection for the end of the head, so
# that a reply without its last headers had an empty body, and was complete.
@pytest.mark.parametrize('server', [(b'', False)], indirect=True)
def test_a_reply_whose_head_ends_early_is_not_complete(server):
    client = HttpClient()
    for size in range(len(WHOLE_HEAD) + 1):

        def respond(_request, connection, size=size):
            connection.write(WHOLE_HEAD[:size])
            connection.sock.close()

        server.handle = respond
        is_whole = size == len(WHOLE_HEAD)
        result = client.get(server.address, '/')
        assert isinstance(result, Success) is is_whole, WHOLE_HEAD[:size]


@pytest.mark.parametrize(
    ('server', 'is_complete'),
    [
        ((UNFRAMED + b'one\ntwo\n', False), True),
        ((UNFRAMED + b'one\ntwo', False), False),
        ((UNFRAMED + b'one\ntwo\n', True), False),
        ((CHUNKED + b'7\r\none\ntwo\r\n0\r\n\r\n', False), False),
    ],
    indirect=['server'],
)
def test_lines_that_end_inside_a_line_are_broken_off(server, is_complete):
    result = HttpClient().post_and_stream_lines(
        server.address, '/', b'', 2.0, lambda line: None
    )
    assert isinstance(result, Success) is is_complete


PACKED = gzip.compress(bytes(100000))
PACKED_HEAD = b'Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n'


# A small packed body would take any amount of memory.
@pytest.mark.parametrize(
    'server',
    [(HEAD + PACKED_HEAD % len(PACKED) + PACKED, False)],
    indirect=True,
)
def test_a_packed_body_is_not_unpacked(server):
    assert HttpClient().get(server.address, '/').unwrap().body == PACKED
