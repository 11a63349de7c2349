"""Attempts whose response is broken off."""

import socket
import time

import eventlet
import pytest
from eventlet.hubs import trampoline

from wigeonspoke.ingress.tests.whole_bodies import read_body
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.platform.standins.raw_server import RawConnection, RawServer

RECEIVE_BYTES = 1000
# More than the buffers of both sockets hold.
BODY = b'x' * 33554432
RESPONSE = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart'
DEADLINE_SECONDS = 5.0


@pytest.fixture
def address():
    """Yield the address of a peer that resets before it has read a request."""
    server = eventlet.listen(('127.0.0.1', 0))
    greenlet = eventlet.spawn(_serve, server)
    host, port = server.getsockname()
    yield f'{host}:{port}'
    greenlet.kill()
    server.close()


def _serve(server) -> None:
    sock, _ = server.accept()
    sock.recv(RECEIVE_BYTES)
    sock.sendall(RESPONSE)
    eventlet.sleep(0.05)
    RawConnection(sock).reset()


def _begin(address: str) -> tuple[EndpointAttempt, float]:
    attempt = EndpointAttempt(address)
    attempt.connect(DEADLINE_SECONDS)
    attempt.send('POST', '/x', (('Host', 'x'),), BODY)
    return attempt, time.monotonic() + DEADLINE_SECONDS


# The sender of the request receives the reset, and the reader an ordinary end.
def test_a_reset_that_another_task_receives_does_not_complete_a_body(address):
    attempt, deadline = _begin(address)
    attempt.read_head(deadline)
    with pytest.raises(AttemptError, match='connection-lost'):
        read_body(attempt, deadline)
    attempt.close()


def test_an_aborted_attempt_does_not_complete_a_body(address):
    attempt, deadline = _begin(address)
    attempt.read_head(deadline)
    attempt.abort()
    with pytest.raises(AttemptError, match='connection-lost'):
        read_body(attempt, deadline)
    attempt.close()


WHOLE_RESPONSE = (
    b'HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nX-First: one\r\nX-Second: two\r\n'
    b'Content-Length: 4\r\n\r\nbody'
)


def _close(connection: RawConnection) -> None:
    connection.sock.close()


def _close_sending_side(connection: RawConnection) -> None:
    connection.sock.shutdown(socket.SHUT_WR)


# A response that stopped in the middle of its head reached a caller as whole.
@pytest.mark.parametrize(
    'end', [_close, _close_sending_side, RawConnection.reset]
)
def test_a_response_that_ends_early_is_not_complete(end):
    server = RawServer(lambda _request, _connection: None)
    whole_size = len(WHOLE_RESPONSE)
    for size in range(whole_size):

        def respond(_request, connection, size=size):
            connection.write(WHOLE_RESPONSE[:size])
            end(connection)

        server.handle = respond
        attempt = EndpointAttempt(server.address)
        attempt.connect(DEADLINE_SECONDS)
        attempt.send('GET', '/x', (('Host', 'x'),), b'')
        deadline = time.monotonic() + DEADLINE_SECONDS
        with pytest.raises(AttemptError):
            attempt.read_head(deadline)
            read_body(attempt, deadline)
        attempt.close()
    server.close()


# The kernel went on sending the request of an attempt that was given up, which
# reached its endpoint seconds later.
@pytest.mark.parametrize(
    'give_up', [EndpointAttempt.abort, EndpointAttempt.expire]
)
def test_a_request_given_up_does_not_arrive_later(give_up):
    server = eventlet.listen(('127.0.0.1', 0))
    host, port = server.getsockname()
    attempt = EndpointAttempt(f'{host}:{port}')
    attempt.connect(DEADLINE_SECONDS)
    attempt.send('POST', '/x', (('Host', 'x'),), BODY)
    sock, _ = server.accept()
    eventlet.sleep(0.1)
    give_up(attempt)
    attempt.close()
    eventlet.sleep(0.1)
    with pytest.raises(ConnectionResetError):
        _read_all(sock)
    server.close()


def _read_all(sock) -> None:
    """Read until the connection ends, or is silent for a time."""
    # The green socket would report a reset as an ordinary end.
    received = b'-'
    while received:
        trampoline(sock.fd, read=True, timeout=DEADLINE_SECONDS)
        received = sock.fd.recv(RECEIVE_BYTES)
