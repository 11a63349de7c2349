"""A reply to a request that its peer does not read to the end."""

import eventlet
import pytest
from eventlet.greenio import GreenSocket
from returns.result import Success

from wigeonspoke.core.outcomes import Reason
from wigeonspoke.platform.standins.raw_server import RawConnection
from wigeonspoke.transport import HttpClient, HttpError, HttpReply

RECEIVE_BYTES = 1000
# More than the buffers of both sockets hold.
BODY = b'x' * 33554432
TIMEOUT_SECONDS = 5.0
RESET_SECONDS = 0.05
PARTS = {
    'body': b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart',
    'lines': b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\none\ntwo\n',
}


@pytest.fixture
def address(request):
    """Yield the address of a peer that resets before it has read a request."""
    server = eventlet.listen(('127.0.0.1', 0))
    greenlet = eventlet.spawn(_serve, server, PARTS[request.param])
    host, port = server.getsockname()
    yield f'{host}:{port}'
    greenlet.kill()
    server.close()


def _serve(server: GreenSocket, part: bytes) -> None:
    sock, _ = server.accept()
    sock.recv(RECEIVE_BYTES)
    sock.sendall(part)
    eventlet.sleep(RESET_SECONDS)
    RawConnection(sock).reset()


def _problem(error: HttpError) -> Reason:
    return error.reason


# The library reads on after a send that met a reset, and the end of the reply
# looked regular: a part of it was complete.
@pytest.mark.parametrize('address', ['body'], indirect=True)
def test_a_reset_met_by_the_send_does_not_complete_a_reply(address):
    reply = HttpClient().post(address, '/x', BODY, TIMEOUT_SECONDS)
    assert not isinstance(reply, Success), reply.map(HttpReply.__repr__)
    assert _problem(reply.failure()) is Reason.RESET


@pytest.mark.parametrize('address', ['lines'], indirect=True)
def test_a_reset_met_by_the_send_does_not_complete_lines(address):
    lines = []
    reply = HttpClient().post_and_stream_lines(
        address, '/x', BODY, TIMEOUT_SECONDS, lines.append
    )
    assert not isinstance(reply, Success), lines
    assert _problem(reply.failure()) is Reason.RESET
