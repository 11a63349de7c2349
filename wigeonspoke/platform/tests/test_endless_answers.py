"""Endpoints that send without end, to many requests at once.

The node is a process of its own, so that its memory can be measured.
"""

import pathlib
import signal
from collections import Counter
from collections.abc import Callable

import eventlet
import pytest
from returns.result import Success

from wigeonspoke.core.outcomes import Reason
from wigeonspoke.platform.tests.harness import (
    API_KEY,
    HOST,
    make_configuration,
    make_route,
)
from wigeonspoke.platform.tests.node_process import MEMORY_MB, NodeProcess
from wigeonspoke.transport import HttpClient

REQUESTS = 60
SOUND_REQUESTS = 20
# The longest route has 5 s; a final answer comes at the deadline.
TIMEOUT_SECONDS = 7.0
# The time that a stop may take.
GRACE_SECONDS = 8.0
LARGE_ANSWERS = 28
LARGE_BYTES = 4194304

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s1.2\r\n'
EVENTS = HEAD + b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
BLOCK = b'x' * 65536
CALLS = {
    'length': (HEAD + b'Content-Length: 999999999999\r\n\r\n', BLOCK),
    'close': (HEAD + b'\r\n', BLOCK),
    'chunks': (HEAD + CHUNKED, b'10000\r\n' + BLOCK + b'\r\n'),
    'error': (b'HTTP/1.1 500 No\r\nRequest-Id: %s\r\n\r\n', BLOCK),
    'chunks of a byte': (HEAD + CHUNKED, b'1\r\nx\r\n' * 10000),
    'head': (HEAD, b'X-A: b\r\n' * 8192),
}
STREAMS = {
    'event': (EVENTS + b'\r\nid: 1\ndata: ', BLOCK),
    'comments': (EVENTS + b'\r\n', b':\n\n' * 20000),
    'the same event': (EVENTS + b'\r\n', b'id: 1\ndata: x\n\n' * 5000),
    'chunks of a byte': (EVENTS + CHUNKED, b'1\r\n:\r\n' * 10000),
    'no stream': (HEAD + b'\r\n', BLOCK),
}


class NodeUnderTest:
    """A node process, its clients, and what they were answered."""

    def __init__(self, harness, folder: pathlib.Path) -> None:
        self.harness = harness
        self.node = NodeProcess(folder, 'n', 'one', harness.store.address)
        self.client = HttpClient()
        self.statuses = Counter()
        self.sound_statuses = Counter()
        harness.wait_until(self.node.is_ready, 20.0)

    def send(self, method: str, path: str, number: int) -> None:
        """Send a request that a faulty endpoint gets."""
        self.statuses[self._status(method, path, f'id{number}')] += 1

    def send_sound(self, method: str, path: str, number: int) -> None:
        """Send a request of another service."""
        status = self._status(method, path, f'sound{number}')
        self.sound_statuses[status] += 1

    def close(self) -> None:
        """End the process."""
        self.node.process.kill()
        self.node.process.wait()

    def _status(self, method: str, path: str, request_id: str) -> int | Reason:
        headers = {
            'Host': HOST,
            'Credential': API_KEY,
            'Model': 'm',
            'Token-Usage': '100,100',
            'Request-Id': request_id,
        }
        body = b'prompt' if method == 'POST' else None
        reply = self.client.send(
            self.node.front,
            method,
            path,
            body,
            timeout=TIMEOUT_SECONDS,
            headers=headers,
            fresh_connection=True,
        )
        if isinstance(reply, Success):
            return reply.unwrap().status
        return reply.failure().reason


def _send_endlessly(first: bytes, repeated: bytes) -> Callable:
    def respond(request, connection):
        request_id = request.headers.get('request-id', '').encode()
        connection.write(first % request_id)
        while True:
            connection.write(repeated)
            eventlet.sleep(0)

    return respond


def _replace_answers(standin, prefix: str, respond: Callable) -> None:
    """Answer the requests for a path in another way."""
    sound = standin.server.handle

    def handle(request, connection):
        is_replaced = request.target.startswith(prefix)
        (respond if is_replaced else sound)(request, connection)

    standin.server.handle = handle


def _play(node: NodeUnderTest, faulty: tuple, sound: tuple) -> None:
    """Send requests to faulty endpoints, and others beside them."""
    tasks = [
        eventlet.spawn(node.send, *faulty, number) for number in range(REQUESTS)
    ]
    for number in range(SOUND_REQUESTS):
        eventlet.sleep(0.05)
        tasks.append(eventlet.spawn(node.send_sound, *sound, number))
    for task in tasks:
        task.wait()
    assert not node.node.has_ended()
    assert node.node.peak_mb < MEMORY_MB
    assert not node.statuses[Reason.TIMEOUT], 'clients without an answer'
    assert node.sound_statuses == {200: SOUND_REQUESTS}


@pytest.fixture
def node(placed_harness, tmp_path):
    """Yield a node process before placed engines and two replicas."""
    started = NodeUnderTest(placed_harness, tmp_path)
    yield started
    started.close()


# A replica that sent without end took the memory of its node, or all of its
# time: the requests of all clients of the node ended with it.
@pytest.mark.parametrize('shape', CALLS)
def test_endless_answers_of_calls(node, shape):
    for replica in node.harness.replicas:
        _replace_answers(replica, '/read', _send_endlessly(*CALLS[shape]))
    _play(node, ('GET', '/read/x'), ('POST', '/draft/x'))


@pytest.mark.parametrize('shape', STREAMS)
def test_endless_answers_of_streams(node, shape):
    for engine in node.harness.engines:
        _replace_answers(engine, '/draft', _send_endlessly(*STREAMS[shape]))
    _play(node, ('POST', '/draft/x'), ('GET', '/read/x'))


# Large answers are no fault: they wait for memory and are served whole.
def test_honest_large_answers_are_served(node):
    harness = node.harness
    route = make_route('/read/', 'ledger', 'safe', timeout_ms=30000)
    configuration = make_configuration(version=2, routes=[route])
    for replica in harness.replicas:
        _replace_answers(replica, '/read', _send_large)
    harness.store.put('op', 'config', configuration)
    harness.wait_until(lambda: harness.node.state.routing_table.version == 2)
    eventlet.sleep(1.0)
    tasks = [
        eventlet.spawn(node.send, 'GET', '/read/x', number)
        for number in range(LARGE_ANSWERS)
    ]
    for task in tasks:
        task.wait()
    assert node.statuses == {200: LARGE_ANSWERS}
    assert node.node.peak_mb < MEMORY_MB


def _send_large(request, connection) -> None:
    headers = {
        'Request-Id': request.headers['request-id'],
        'Response-Signature': 's1.2',
    }
    connection.respond(200, headers, b'x' * LARGE_BYTES)


# A stop must end in its time, also beside answers that do not.
@pytest.mark.parametrize('shape', ['close', 'chunks of a byte'])
def test_a_planned_stop_beside_endless_answers(node, shape):
    for replica in node.harness.replicas:
        _replace_answers(replica, '/read', _send_endlessly(*CALLS[shape]))
    tasks = [
        eventlet.spawn(node.send, 'GET', '/read/x', number)
        for number in range(REQUESTS)
    ]
    eventlet.sleep(0.5)
    node.node.send_signals(signal.SIGTERM)
    node.harness.wait_until(node.node.has_ended, GRACE_SECONDS)
    for task in tasks:
        task.wait()
    assert not node.node.process.returncode
    assert set(node.statuses) <= {502, 503, 504}


# What a request held is free once its client has left.
def test_clients_that_leave_endless_answers_free_their_memory(node):
    for replica in node.harness.replicas:
        _replace_answers(replica, '/read', _send_endlessly(*CALLS['close']))
    for _ in range(3):
        tasks = [
            eventlet.spawn(node.send, 'GET', '/read/x', number)
            for number in range(REQUESTS)
        ]
        eventlet.sleep(0.4)
        for task in tasks:
            task.kill()
    eventlet.sleep(0.2)
    for number in range(SOUND_REQUESTS):
        node.send_sound('POST', '/draft/x', number)
    assert node.sound_statuses == {200: SOUND_REQUESTS}
    assert node.node.peak_mb < MEMORY_MB
