"""Requests and connections that the limit of a phase ends or keeps."""

import gc
import os
import socket
from contextlib import suppress

import eventlet
import pytest

from wigeonspoke.transport import (
    HttpListener,
    ListenerLimits,
    read_request_body,
)

SHORT_SECONDS = 0.3
HEAD = b'GET /%s HTTP/1.1\r\nHost: x\r\n'
LAST_HEAD = HEAD + b'Connection: close\r\n\r\n'
# More than the buffers of both sockets hold.
LARGE_BYTES = 12000000
LINGER_ZERO = b'\x01' + b'\0' * 7
suspend = eventlet.patcher.original('time').sleep


def _open(listener, payload):
    host, port = listener.address.split(':')
    client = socket.create_connection((host, int(port)))
    client.settimeout(10)
    client.sendall(payload)
    return client


def _answer(environ, start_response, size=1):
    status = '200 OK'
    try:
        read_request_body(environ, LARGE_BYTES)
    except TimeoutError:
        environ['wigeonspoke.end_connection']()
        status = '408 Request Timeout'
    start_response(status, [('Content-Length', str(size))])
    return iter((b'x' * size,))


def test_a_body_that_came_in_a_pause_of_the_process_is_read():
    clients = []

    def application(environ, start_response):
        if environ['PATH_INFO'] == '/pause':
            suspend(2 * SHORT_SECONDS)
            clients[0].sendall(b'body')
        return _answer(environ, start_response)

    limits = ListenerLimits(body_seconds=SHORT_SECONDS)
    listener = HttpListener(application, limits=limits)
    head = b'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n'
    clients.append(_open(listener, head + b'body'))
    pausing = _open(listener, b'')
    # As in test_connection_ends: a greenlet that a socket woke pauses.
    eventlet.sleep(SHORT_SECONDS / 4)
    pausing.sendall(LAST_HEAD % b'pause')
    pausing.recv(1000)
    response = clients[0].recv(1000)
    listener.abort()
    assert response.startswith(b'HTTP/1.1 200')


def _reset(client):
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    client.close()


def _wait_for_refusal(client):
    client.recv(1000)
    client.close()


@pytest.fixture
def no_collection():
    """Let no garbage collection close what was left open."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def _open_sockets():
    """Return the sockets of this process, each with an identity of its own."""
    opened = set()
    for descriptor in os.listdir('/proc/self/fd'):
        with suppress(OSError):
            opened.add(os.readlink(f'/proc/self/fd/{descriptor}'))
    return {name for name in opened if name.startswith('socket:')}


@pytest.mark.usefixtures('no_collection')
@pytest.mark.parametrize('leave', [_reset, _wait_for_refusal])
def test_a_head_that_is_never_complete_leaves_no_descriptor(leave):
    limits = ListenerLimits(head_seconds=SHORT_SECONDS)
    listener = HttpListener(_answer, limits=limits)
    # Connections of other tests may end at any time.
    before = _open_sockets()
    clients = [_open(listener, HEAD % b'part') for _ in range(20)]
    eventlet.sleep(SHORT_SECONDS / 2)
    for client in clients:
        leave(client)
    eventlet.sleep(SHORT_SECONDS)
    after = _open_sockets()
    listener.abort()
    assert not after - before


def test_a_client_that_reads_slowly_but_steadily_gets_the_whole_response():
    """It reads 20 kB in each 50 ms, and may pause for twenty times that."""

    def application(environ, start_response):
        return _answer(environ, start_response, LARGE_BYTES)

    ends = []
    limits = ListenerLimits(write_seconds=1.0)
    listener = HttpListener(application, limits=limits, on_end=ends.append)
    client = _open(listener, LAST_HEAD % b'large')
    for _ in range(60):
        eventlet.sleep(0.05)
        client.recv(20000)
    problems = [end.cause for end in ends]
    client.close()
    listener.abort()
    assert not problems


def test_a_chunked_body_that_waits_for_leave_to_come_is_read():
    limits = ListenerLimits(body_seconds=SHORT_SECONDS)
    listener = HttpListener(_answer, limits=limits)
    head = (
        b'POST /x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    client = _open(listener, head)
    response = client.recv(1000)
    client.close()
    listener.abort()
    assert response.startswith(b'HTTP/1.1 100')
