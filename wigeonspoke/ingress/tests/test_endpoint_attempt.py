"""Attempts whose response is broken off."""

import time

import eventlet
import pytest

from wigeonspoke.ingress.requests.response_reading import read_body
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.platform.standins.raw_server import RawConnection

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
