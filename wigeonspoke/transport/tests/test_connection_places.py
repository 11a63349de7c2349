"""Which connections give way when a listener has no place for another one."""

from itertools import pairwise

import eventlet
import pytest

from wigeonspoke.transport import (
    CLIENT_SOCKET_FRACTION,
    ClientConnection,
    EndCause,
    HostLimits,
    HttpListener,
    ListenerLimits,
    Phase,
)
from wigeonspoke.transport.connection_places import choose_to_end
from wigeonspoke.transport.tests.raw_client import open_client, read_status

PLACES = 8
REQUEST = b'GET /%s HTTP/1.1\r\nHost: x\r\n\r\n'
LONG_BODY = b'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx'


def _client(phase, progress_at, answered=0, is_closing=False):
    client = ClientConnection(ListenerLimits())
    client.enter(phase)
    client.progress_at = progress_at
    client.answered = answered
    client.is_closing = is_closing
    return client


# Rows: the clients, and the order in which they give way.
@pytest.mark.parametrize(
    ('clients', 'order'),
    [
        ([_client(Phase.IDLE, 2), _client(Phase.IDLE, 1)], [1, 0]),
        ([_client(Phase.BODY, 2), _client(Phase.HEAD, 1)], [1, 0]),
        ([_client(Phase.IDLE, 1, answered=3), _client(Phase.IDLE, 9)], [1, 0]),
        (
            [_client(Phase.IDLE, 1), _client(Phase.WRITING, 9, 1, True)],
            [1, 0],
        ),
        ([_client(Phase.WAITING, 1), _client(Phase.WRITING, 2)], []),
        ([_client(Phase.WAITING, 1), _client(Phase.BODY, 5)], [1]),
    ],
)
def test_who_gives_way(clients, order):
    ended = choose_to_end(clients, connections=1000)
    assert [clients.index(client) for client in ended] == order


# Rows: descriptors, memory in MB, places for clients.
@pytest.mark.parametrize(
    ('descriptors', 'memory_mb', 'places'),
    [(4200, 300, 1500), (4100, 200, 1000), (8192, 552, 1500), (400, 300, 75)],
)
def test_places_are_within_the_host(descriptors, memory_mb, places):
    host = HostLimits(descriptors, memory_mb)
    assert host.connections(CLIENT_SOCKET_FRACTION, 1500) == places


def _application(environ, start_response):
    if environ['PATH_INFO'] == '/slow':
        eventlet.sleep(1.0)
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


@pytest.fixture
def ends():
    return []


@pytest.fixture
def listener(ends):
    limits = ListenerLimits(connections=PLACES)
    server = HttpListener(_application, limits=limits, on_end=ends.append)
    yield server
    server.abort()


def _open(listener, payload=b''):
    client = open_client(listener, payload)
    eventlet.sleep(0.01)
    return client


# Clients that only held their connections kept all others out.
@pytest.mark.parametrize('payload', [b'', b'GET / HTTP/1.1\r\n', LONG_BODY])
def test_a_newcomer_is_served_beside_clients_that_hold_all_places(
    listener, ends, payload
):
    crowd = [_open(listener, payload) for _ in range(4 * PLACES)]
    newcomer = _open(listener, REQUEST % b'x')
    assert read_status(newcomer) == b'200'
    assert len(listener.open_connections) <= PLACES + 1
    causes = [end.cause for end in ends]
    assert causes.count(EndCause.PLACE) >= 3 * PLACES
    assert set(causes) <= {EndCause.PLACE, EndCause.COMPLETE}
    for client in crowd:
        client.close()


# Requests that run, and connections in use, are not ended for a newcomer that
# never sends anything.
def test_running_requests_are_not_ended(listener):
    running = [_open(listener, REQUEST % b'slow') for _ in range(PLACES - 2)]
    silent = [_open(listener) for _ in range(3 * PLACES)]
    assert [read_status(client) for client in running] == [b'200'] * len(
        running
    )
    for client in silent:
        client.close()


# Clients that always have a next request held their places without end.
def test_busy_clients_leave_their_places_while_all_are_taken(listener):
    crowd = [_open(listener, REQUEST % b'x' * 200) for _ in range(3 * PLACES)]
    newcomer = _open(listener, REQUEST % b'x')
    assert read_status(newcomer) == b'200'
    for client in crowd:
        client.close()


# A client with many requests at once let no other task run between them.
def test_others_run_between_requests_that_came_together(listener, monkeypatch):
    served = []
    runs = []

    def record_served(environ, start_response):
        served.append(environ['PATH_INFO'])
        return _application(environ, start_response)

    def record_runs():
        while True:
            runs.append(len(served))
            eventlet.sleep(0)

    monkeypatch.setattr(listener, 'application', record_served)
    recorder = eventlet.spawn(record_runs)
    client = _open(listener, REQUEST % b'x' * 50)
    received = b''
    while received.count(b'200 OK') < 50:
        received += client.recv(65536)
    recorder.kill()
    # The first two requests may run at once.
    assert max(after - before for before, after in pairwise(runs)) <= 2


# Clients that came while a crowd was being accepted were dropped.
@pytest.mark.parametrize('connections', [1, 1500])
def test_more_clients_may_wait_than_there_are_places(connections):
    limits = ListenerLimits(connections=connections)
    server = HttpListener(_application, limits=limits)
    assert server.backlog >= 1024
    server.abort()
