"""A silence of 2 s must not break a connection."""

import socket

import eventlet
import pytest

from wigeonspoke.ingress.requests.endpoint_attempt import EndpointAttempt
from wigeonspoke.transport.http_client import SOCKET_OPTIONS

TOLERATED_SECONDS = 2.0


@pytest.fixture
def address():
    """Yield the address of a peer that never answers."""
    server = eventlet.listen(('127.0.0.1', 0))
    host, port = server.getsockname()
    yield host, port
    server.close()


def _open_by_client(host, port):
    sock = socket.create_connection((host, port))
    for option in SOCKET_OPTIONS:
        sock.setsockopt(*option)
    return sock


def _open_by_attempt(host, port):
    attempt = EndpointAttempt(f'{host}:{port}')
    attempt.connect(1)
    return attempt.sock


def _tolerated_seconds(sock):
    """Return the silence that breaks no connection whenever it begins.

    The worst begins just before the first probe.  The connection breaks at
    the first probe due after the time-out, and goes on if the one before it
    is answered.  Without probes, only data that is sent can break it.
    """
    level = socket.IPPROTO_TCP
    timeout = sock.getsockopt(level, socket.TCP_USER_TIMEOUT) / 1000
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return timeout
    idle = sock.getsockopt(level, socket.TCP_KEEPIDLE)
    due = idle
    interval = sock.getsockopt(level, socket.TCP_KEEPINTVL)
    while due < timeout:
        due += interval
    return due - interval - idle


@pytest.mark.parametrize('open_socket', [_open_by_client, _open_by_attempt])
def test_silence_breaks_no_connection(address, open_socket):
    sock = open_socket(*address)
    assert _tolerated_seconds(sock) >= TOLERATED_SECONDS
    eventlet.sleep(TOLERATED_SECONDS + 0.2)
    sock.setblocking(False)
    with pytest.raises(BlockingIOError):
        sock.recv(1)
    sock.close()
