"""Tests of what a listener tells about the end of a connection."""

import socket

import eventlet
import pytest

from wigeonspoke.transport import (
    HttpListener,
    ListenerLimits,
    ResponseAborted,
    read_request_body,
)

SHORT_SECONDS = 0.2
PART_BYTES = 1000000
HEAD = b'GET /%s HTTP/1.1\r\nHost: x\r\n'


def _parts(path):
    yield b'x' * 10
    if path == '/abort':
        raise ResponseAborted('the endpoint is gone')
    if path == '/fail':
        raise ValueError('an error in the body')
    while path == '/endless':
        yield b'x' * PART_BYTES


def _application(environ, start_response):
    path = environ['PATH_INFO']
    environ['wigeonspoke.connection'].request_id = path[1:]
    read_request_body(environ, 100)
    if path == '/broken':
        raise ValueError('an error before the response')
    if path == '/late':
        raise eventlet.Timeout(0)
    if path == '/slow':
        eventlet.sleep(3 * SHORT_SECONDS)
    start_response('200 OK', [])
    return _parts(path)


@pytest.fixture
def ends():
    return []


@pytest.fixture
def listener(ends):
    limits = ListenerLimits(
        idle_seconds=SHORT_SECONDS,
        head_seconds=SHORT_SECONDS,
        write_seconds=SHORT_SECONDS,
    )
    server = HttpListener(_application, limits=limits, on_end=ends.append)
    yield server
    server.abort()


def _open(listener, payload):
    host, port = listener.address.split(':')
    client = socket.create_connection((host, int(port)))
    client.sendall(payload)
    return client


def _wait_for_end(ends):
    with eventlet.Timeout(10):
        while not ends:
            eventlet.sleep(0.01)
    return ends[0]


def _read_all(client):
    with client:
        client.settimeout(10)
        while client.recv(65536):
            """Read on."""


@pytest.mark.parametrize(
    ('payload', 'phase', 'cause'),
    [
        (b'', 'idle', 'limit'),
        (HEAD % b'part', 'head', 'limit'),
        (b'no request\r\n\r\n', 'head', 'rejected'),
        (HEAD % b'broken' + b'\r\n', 'waiting', 'error'),
        (HEAD % b'late' + b'\r\n', 'waiting', 'error'),
        (HEAD % b'abort' + b'\r\n', 'writing', 'aborted'),
        (HEAD % b'fail' + b'\r\n', 'writing', 'error'),
        (HEAD % b'end' + b'Connection: close\r\n\r\n', 'writing', 'complete'),
    ],
)
def test_tells_why_the_server_ended_a_connection(
    listener, ends, payload, phase, cause
):
    client = _open(listener, payload)
    end = _wait_for_end(ends)
    client.close()
    assert (end.phase, end.cause) == (phase, cause)
    assert end.is_regular == (cause == 'complete')
    if cause == 'limit':
        assert end.quiet_seconds >= SHORT_SECONDS


@pytest.mark.parametrize(
    ('payload', 'phase', 'is_regular'),
    [
        (b'', 'idle', True),
        (HEAD % b'part', 'head', False),
        (HEAD % b'slow' + b'\r\n', 'writing', False),
    ],
)
def test_tells_that_the_client_ended_a_connection(
    listener, ends, payload, phase, is_regular
):
    client = _open(listener, payload)
    eventlet.sleep(SHORT_SECONDS / 4)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\x01' + b'\0' * 7)
    client.close()
    end = _wait_for_end(ends)
    assert (end.phase, end.cause) == (phase, 'client')
    assert end.is_regular == is_regular


def test_tells_the_request_whose_client_does_not_read(listener, ends):
    client = _open(listener, HEAD % b'endless' + b'\r\n')
    end = _wait_for_end(ends)
    client.close()
    assert (end.phase, end.cause) == ('writing', 'limit')
    assert end.request_id == 'endless'
    assert end.limit_seconds == pytest.approx(SHORT_SECONDS)
    assert end.quiet_seconds >= SHORT_SECONDS


def test_a_stop_ends_idle_connections_only(listener, ends):
    busy = _open(listener, HEAD % b'slow' + b'Connection: close\r\n\r\n')
    idle = _open(listener, b'')
    eventlet.sleep(SHORT_SECONDS / 4)
    listener.close_idle()
    assert _wait_for_end(ends).cause == 'stop'
    _read_all(busy)
    _wait_for_end(ends[1:] or ends)
    idle.close()
    assert [end.phase for end in ends] == ['idle', 'writing']


def _exchange(client):
    client.settimeout(10)
    return client.recv(65536)


def test_a_request_that_came_in_a_pause_of_the_process_is_served():
    def pause():
        """Let no other greenlet run, as if the process were suspended."""
        eventlet.patcher.original('time').sleep(2 * SHORT_SECONDS)
        idle.sendall(HEAD % b'next' + b'\r\n')

    def application(environ, start_response):
        if environ['PATH_INFO'] == '/pause':
            pause()
        start_response('200 OK', [])
        return [b'']

    limits = ListenerLimits(idle_seconds=SHORT_SECONDS)
    listener = HttpListener(application, limits=limits)
    idle = _open(listener, b'')
    pausing = _open(listener, b'')
    # The pause begins in a greenlet that a socket woke, after which timers
    # are served before sockets.
    eventlet.sleep(SHORT_SECONDS / 4)
    pausing.sendall(HEAD % b'pause' + b'Connection: close\r\n\r\n')
    _read_all(pausing)
    with idle:
        assert _exchange(idle).startswith(b'HTTP/1.1 200')
    listener.abort()


def test_a_stop_serves_a_request_that_was_not_read_yet(listener):
    client = _open(listener, b'')
    eventlet.sleep(SHORT_SECONDS / 4)
    client.sendall(HEAD % b'next' + b'\r\n')
    listener.is_stopping = True
    listener.close_idle()
    with client:
        assert _exchange(client).startswith(b'HTTP/1.1 200')
