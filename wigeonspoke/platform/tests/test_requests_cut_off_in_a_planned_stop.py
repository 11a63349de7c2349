"""Requests that came late in a planned stop ran, and got no answer.

Calls run for seconds at the replicas.  They are sent on connections that are
kept, new, or have sent the beginning of a request, until the node has ended.
"""

import socket
import time

import eventlet
import pytest
from eventlet.greenio import shutdown_safe

from wigeonspoke.ingress import IngressNode
from wigeonspoke.ingress.relay.relay_head import (
    OUTCOME_HEADER,
    RELAY_HEADER,
    RELAY_PATH,
    RelayHead,
    encode_head,
)
from wigeonspoke.platform.tests.harness import (
    HOST,
    Client,
    make_configuration,
    start_node,
    stop_node,
)
from wigeonspoke.platform.tests.stream_requests import silence_engines

# The limit of the settings, after which the process is killed.
GRACE_SECONDS = 8.0
SEND_INTERVAL_SECONDS = 0.4
TIMEOUT_MILLISECONDS = 15000
DEADLINE = '14000'
LONG_SECONDS = 30.0
NO_ANSWER = 'no answer'
KEPT, NEW, HALF_SENT = 'kept', 'new', 'half-sent'
CALLS = (('GET', '/read/x'), ('POST', '/write/x'))


@pytest.fixture
def stopping_node(harness):
    """Yield a second node, whose routes have a long timeout."""
    configuration = make_configuration(version=5)
    for route in configuration['routes']:
        route['timeout-ms'] = TIMEOUT_MILLISECONDS
    harness.store.put('op', 'config', configuration)
    node = start_node(harness, 'node-2')
    harness.wait_until(lambda: node.is_ready)
    harness.wait_until(lambda: node.state.routing_table.version == 5)
    yield node
    stop_node(node)


class RestOfRequest:
    """A socket on which the first byte of the request is sent already."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.sendall(b'G')

    def sendall(self, payload: bytes) -> None:
        """Send all but the first byte."""
        self.sock.sendall(payload[1:])


class StopTest:
    """A node that stops while requests come, and what became of them."""

    def __init__(self, harness, node: IngressNode) -> None:
        self.harness = harness
        self.node = node
        self.answers: dict[str, int | str] = {}
        self.tasks: list[eventlet.greenthread.GreenThread] = []
        self.kept: dict[str, Client] = {}
        self.began_at = 0

    def connect_before(self, names: list[str], *, half_sent: bool) -> None:
        """Open connections that are used later."""
        for name in names:
            client = Client(self.harness, self.node)
            if half_sent:
                client.sock = RestOfRequest(client.sock)
            self.kept[name] = client

    def begin(self) -> eventlet.greenthread.GreenThread:
        """Begin the stop."""
        self.began_at = time.monotonic()
        return eventlet.spawn(self.node.stop)

    def send_at(self, seconds: float, method: str, path: str, name: str):
        """Send a request when the stop has lasted for some seconds."""
        wait_seconds = self.began_at + seconds - time.monotonic()
        eventlet.sleep(max(0, wait_seconds))
        self.tasks.append(eventlet.spawn(self._send, method, path, name))

    def end(self) -> None:
        """End the process, and wait for the clients."""
        for listener in (self.node.front, self.node.peers):
            for connection in tuple(listener.open_connections):
                shutdown_safe(connection)
        for task in self.tasks:
            task.wait()

    def _send(self, method: str, path: str, name: str) -> None:
        self.answers[name] = NO_ANSWER
        try:
            client = self.kept.get(name) or Client(self.harness, self.node)
            client.send(method, path, name, Deadline_Ms=DEADLINE)
            self.answers[name] = client.read_response()[0]
        except (OSError, AssertionError):
            return


def _make_slow(harness, run_seconds: float) -> None:
    for replica in harness.replicas:
        replica.run_seconds = run_seconds


def _run_ids(harness) -> set[str]:
    """Return the ids of the calls that ran."""
    return {
        received.request_id
        for replica in harness.replicas
        for received in replica.runs
    }


def _times() -> list[float]:
    count = int(GRACE_SECONDS / SEND_INTERVAL_SECONDS)
    return [SEND_INTERVAL_SECONDS * step for step in range(count)]


@pytest.mark.parametrize(
    ('way', 'run_seconds'),
    [(KEPT, 3.5), (KEPT, 6.5), (NEW, 6.5), (HALF_SENT, 6.5)],
)
def test_each_request_that_ran_in_a_planned_stop_is_answered(
    harness, stopping_node, way, run_seconds
):
    _make_slow(harness, run_seconds)
    test = StopTest(harness, stopping_node)
    # The half of a request is that of a call which may be repeated.
    calls = CALLS[:1] if way == HALF_SENT else CALLS
    requests = [
        (at, method, path, f'{method}{at:.1f}')
        for at in _times()
        for method, path in calls
    ]
    if way != NEW:
        test.connect_before(
            [request[-1] for request in requests], half_sent=way == HALF_SENT
        )
        eventlet.sleep(0.2)
    stopping = test.begin()
    for request in requests:
        test.send_at(*request)
    stopping.wait()
    assert time.monotonic() - test.began_at < GRACE_SECONDS
    test.end()
    runs = _run_ids(harness)
    assert runs
    lost = [name for name in runs if test.answers[name] == NO_ANSWER]
    assert not lost
    refused = {name for name, status in test.answers.items() if status == 503}
    assert not refused & runs


# What a node has seen of a route tells whether a request can end in time.
def test_a_request_that_cannot_end_in_time_is_refused(harness, stopping_node):
    state = stopping_node.state
    state.response_times.record('read', 4.0)
    test = StopTest(harness, stopping_node)
    times = {'early': 0.5, 'late': 4.0}
    test.connect_before(['early', 'late'], half_sent=True)
    eventlet.sleep(0.2)
    stopping = test.begin()
    for name, seconds in times.items():
        test.send_at(seconds, 'GET', '/read/x', name)
    stopping.wait()
    test.end()
    assert test.answers == {'early': 200, 'late': 503}
    assert _run_ids(harness) == {'early'}


def _begin_stream(harness, node: IngressNode) -> Client:
    client = Client(harness, node)
    client.send(
        'POST',
        '/draft/x',
        'stream',
        body=b'prompt',
        Model='m',
        Token_Usage='100,100',
        Deadline_Ms=DEADLINE,
    )
    return client


@pytest.mark.parametrize('event', [1, 10])
def test_a_stream_that_is_open_at_the_end_of_a_stop_has_a_visible_end(
    placed_harness, stopping_node, monkeypatch, event
):
    harness = placed_harness
    silences = dict.fromkeys(harness.engines, LONG_SECONDS)
    harness.wait_until(lambda: stopping_node.state.fleet.endpoints)
    silence_engines(monkeypatch, silences, event)
    client = _begin_stream(harness, stopping_node)
    test = StopTest(harness, stopping_node)
    stopping = test.begin()
    eventlet.sleep(0.5)
    if event == 1:
        assert client.read_head()[0] == 504
    else:
        assert client.read_head()[0] == 200
        with pytest.raises(AssertionError, match='truncated response'):
            list(client.read_chunks())
    assert time.monotonic() - test.began_at < GRACE_SECONDS
    stopping.wait()


def test_a_relayed_request_gets_its_outcome_before_the_peer_ends(
    harness, stopping_node
):
    _make_slow(harness, LONG_SECONDS)
    head = RelayHead(
        node='node-1',
        request_id='relayed',
        method='GET',
        target='/read/x',
        host=HOST,
        path='/read/x',
        headers=(('Host', HOST), ('Request-Id', 'relayed')),
        account='acme',
        kind='safe',
        service='ledger',
        remaining_seconds=float(DEADLINE) / 1000,
        execution_limit=1,
    )
    client = Client(harness, stopping_node)
    host, _, port = stopping_node.peers.address.rpartition(':')
    client.sock = socket.create_connection((host, int(port)))
    client.reader = client.sock.makefile('rb')
    client.send_raw(
        (
            f'POST {RELAY_PATH} HTTP/1.1\r\nHost: {host}\r\n'
            f'{RELAY_HEADER}: {encode_head(head)}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
    )
    harness.wait_until(lambda: any(one.runs for one in harness.replicas))
    test = StopTest(harness, stopping_node)
    stopping = test.begin()
    status, headers = client.read_head()
    assert status == 504
    assert headers[OUTCOME_HEADER.lower()] == 'unknown'
    stopping.wait()
    assert time.monotonic() - test.began_at < GRACE_SECONDS
