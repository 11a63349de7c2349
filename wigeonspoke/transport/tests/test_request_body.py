"""Bodies of requests, whose readers share the memory and the time of a node."""

import socket
import time
from collections import Counter

import eventlet
import pytest

from wigeonspoke.core.body_memory import CHECK_SECONDS, SMALL_REQUEST_BYTES
from wigeonspoke.transport import (
    RECEIVE_BUFFER_BYTES,
    HttpListener,
    ListenerLimits,
    RequestError,
    RequestMemory,
    request_body,
)
from wigeonspoke.transport.chunked_decoder import ChunkedDecoder
from wigeonspoke.transport.tests.raw_client import open_client, read_status

MAX_BYTES = 1048576
CAPACITY = 262144
CHUNKED = b'POST /%s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
LENGTH = b'POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
TINY_CHUNKS = b'1\r\na\r\n'
LAST_CHUNK = b'0\r\n\r\n'
WAIT_SECONDS = 10.0


class _Application:
    """Reads bodies, and holds each until its path is let go."""

    def __init__(self) -> None:
        self.sizes = Counter()
        self.held = set()
        self.seconds = WAIT_SECONDS

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO'][1:]
        body = environ['wigeonspoke.body']
        if path == 'refused':
            start_response('404 Not Found', [('Content-Length', '2')])
            return [b'no']
        body.deadline = time.monotonic() + self.seconds
        try:
            self.sizes[path] += len(body.read_whole(MAX_BYTES))
        except RequestError as error:
            environ['wigeonspoke.end_connection']()
            start_response(f'{error.status.value} {error.problem}', [])
            return [b'']
        except OSError:
            environ['wigeonspoke.end_connection']()
            start_response('408 late', [])
            return [b'']
        while path in self.held:
            eventlet.sleep(0.01)
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']


@pytest.fixture
def application():
    return _Application()


@pytest.fixture
def listener(application):
    server = HttpListener(
        application,
        limits=ListenerLimits(body_seconds=WAIT_SECONDS),
        memory=RequestMemory(CAPACITY),
    )
    yield server
    server.abort()


def _wait_until(condition) -> None:
    with eventlet.Timeout(WAIT_SECONDS):
        while not condition():
            eventlet.sleep(0.01)


# A reader of small chunks went on until its body ended, and all others waited.
@pytest.mark.parametrize('clients', [1, 5])
def test_others_run_between_turns_of_small_chunks(
    listener, monkeypatch, clients
):
    elements = Counter()
    turns = []
    decode = ChunkedDecoder.feed

    def feed(decoder, received):
        known = decoder.element_count
        try:
            return decode(decoder, received)
        finally:
            elements['parsed'] += decoder.element_count - known

    def record_turns():
        while True:
            turns.append(elements['parsed'])
            elements['parsed'] = 0
            eventlet.sleep(0)

    monkeypatch.setattr(ChunkedDecoder, 'feed', feed)
    payload = CHUNKED % b'tiny' + TINY_CHUNKS * 10000 + LAST_CHUNK
    crowd = [open_client(listener) for _ in range(clients)]
    recorder = eventlet.spawn(record_turns)
    senders = [eventlet.spawn(client.sendall, payload) for client in crowd]
    for client, sender in zip(crowd, senders, strict=True):
        sender.wait()
        assert read_status(client) == b'200'
        client.close()
    recorder.kill()
    assert sum(turns) + elements['parsed'] >= clients * 30000
    # The first turn of each client is its own.
    largest = 2 * request_body.TURN_ELEMENTS
    assert max(turns) <= largest * clients
    assert sum(turn > largest for turn in turns) <= clients


# Chunks of clients that had left were parsed to their end.
def test_chunks_of_clients_that_have_left_are_not_parsed(listener, monkeypatch):
    elements = Counter()
    decode = ChunkedDecoder.feed

    def feed(decoder, received):
        part = decode(decoder, received)
        elements['parsed'] += len(part)
        return part

    monkeypatch.setattr(ChunkedDecoder, 'feed', feed)
    crowd = [
        open_client(listener, CHUNKED % b'tiny' + TINY_CHUNKS * 3000)
        for _ in range(10)
    ]
    for client in crowd:
        client.close()
    _wait_until(lambda: not listener.open_connections)
    # At most the first turn of each, and one more.
    assert elements['parsed'] <= 10 * request_body.TURN_ELEMENTS


def test_bodies_share_the_memory(application, listener):
    application.held.add('held')
    size = CAPACITY // 2
    payload = LENGTH % (b'held', size) + b'x' * size
    crowd = [open_client(listener) for _ in range(8)]
    for client in crowd:
        eventlet.spawn(client.sendall, payload)
    eventlet.sleep(0.5)
    bodies = listener.memory.bodies
    # Each may exceed its share by what is received at once.
    parts = len(crowd) * request_body.PART_BYTES
    assert bodies.held_bytes <= CAPACITY + size + parts
    # A small request has room beside them.
    small = open_client(listener, LENGTH % (b'small', 4096) + b'x' * 4096)
    assert read_status(small) == b'200'
    application.held.clear()
    assert [read_status(client) for client in crowd] == [b'200'] * len(crowd)
    _wait_until(lambda: not bodies.held_bytes)
    assert not bodies.waiting


# The first in line held the memory for which all others waited.
def test_a_body_that_stalls_first_in_line_is_refused(listener):
    size = 2 * CAPACITY
    stalled = open_client(
        listener, LENGTH % (b'stalled', size) + b'x' * (size - 1)
    )
    others = [open_client(listener) for _ in range(3)]
    for client in others:
        eventlet.spawn(client.sendall, LENGTH % (b'x', size) + b'x' * size)
    assert read_status(stalled) == b'503'
    assert [read_status(client) for client in others] == [b'200'] * len(others)


# A client that sends slowly is no fault while nobody waits for its memory.
def test_a_slow_body_alone_is_served(listener):
    size = 2 * CAPACITY
    client = open_client(listener, LENGTH % (b'slow', size) + b'x' * (size - 1))
    eventlet.sleep(2.5 * CHECK_SECONDS)
    client.sendall(b'x')
    assert read_status(client) == b'200'


# A byte now and then kept a connection and its bytes for days.
def test_a_body_ends_at_the_deadline_of_its_request(application, listener):
    application.seconds = 0.3
    client = open_client(listener, CHUNKED % b'slow' + b'ffff\r\n')
    status = eventlet.spawn(read_status, client)
    while not status.dead:
        client.send(b'x')
        eventlet.sleep(0.05)
    assert status.wait() == b'408'


# A reset took the refusal away from a client that was still sending.
@pytest.mark.parametrize(
    'head', [CHUNKED % b'x', LENGTH % (b'refused', 600000)]
)
def test_a_refusal_reaches_a_client_that_is_still_sending(listener, head):
    client = open_client(listener, head + b'no chunk\r\n')
    for _ in range(8):
        eventlet.sleep(0.02)
        client.sendall(b'x' * 16384)
    assert read_status(client) in {b'400', b'404'}


# The rest of a small body is dropped, so that the connection stays in use.
@pytest.mark.parametrize(
    'request_bytes',
    [
        LENGTH % (b'refused', 2000) + b'x' * 2000,
        CHUNKED % b'refused' + TINY_CHUNKS * 20 + LAST_CHUNK,
    ],
)
def test_a_connection_is_kept_after_a_refused_small_body(
    listener, request_bytes
):
    client = open_client(listener)
    for _ in range(3):
        client.sendall(request_bytes)
        assert read_status(client) == b'404'
        while not client.recv(65536).endswith(b'no'):
            eventlet.sleep(0)


# The bytes behind a chunked body are the next request.
def test_requests_behind_a_chunked_body_are_kept(application, listener):
    body = CHUNKED % b'chunked' + b'5\r\nabcde\r\n' * 300 + LAST_CHUNK
    client = open_client(listener, body * 5)
    _wait_until(lambda: application.sizes['chunked'] == 5 * 1500)
    client.close()


def test_small_bodies_never_wait(application, listener):
    application.held.add('held')
    crowd = [
        open_client(
            listener,
            LENGTH % (b'held', SMALL_REQUEST_BYTES)
            + b'x' * SMALL_REQUEST_BYTES,
        )
        for _ in range(2 * CAPACITY // SMALL_REQUEST_BYTES)
    ]
    total = len(crowd) * SMALL_REQUEST_BYTES
    _wait_until(lambda: application.sizes['held'] == total)
    application.held.clear()
    assert {read_status(client) for client in crowd} == {b'200'}


# Without a limit the kernel keeps some megabytes of each connection.
def test_the_kernel_keeps_a_bounded_part_of_a_body(listener):
    client = open_client(listener, LENGTH % (b'x', 9) + b'x')
    _wait_until(lambda: listener.open_connections)
    connection = next(iter(listener.open_connections))
    _wait_until(lambda: listener.open_connections[connection].body)
    kept = connection.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    # The kernel doubles it for its own use.
    assert kept == 2 * RECEIVE_BUFFER_BYTES
    client.close()
