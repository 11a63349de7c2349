"""Requests beside a change of the limits on clients."""

import socket

import eventlet
import pytest

from wigeonspoke.platform.standins import EngineStandin
from wigeonspoke.platform.tests.harness import (
    API_KEY,
    HOST,
    Client,
    make_configuration,
)

# Idle timeouts of configurations, and a pause between the shorter two of them
# that is far shorter than the header timeout.
SHORT_IDLE_MS = 500
FIRST_IDLE_MS = 3000
LONG_IDLE_MS = 60000
HEADER_MS = 10000
ROUTE_MS = 8000
PAUSE_SECONDS = 1.0
# Longer than the node takes to apply the limits of a configuration.
APPLY_SECONDS = 0.7
EVENT_BYTES = 400000
RECEIVE_BUFFER_BYTES = 65536


def _change_idle_timeout(harness, idle_ms):
    state = harness.node.state
    version = state.routing_table.version + 1
    limits = {
        'max-header-bytes': 16384,
        'max-body-bytes': 100000,
        'header-timeout-ms': HEADER_MS,
        'idle-timeout-ms': idle_ms,
    }
    configuration = make_configuration(version=version, limits=limits)
    for route in configuration['routes']:
        route['timeout-ms'] = ROUTE_MS
    harness.store.put('op', 'config', configuration)
    harness.wait_until(lambda: state.routing_table.version == version)
    eventlet.sleep(APPLY_SECONDS)


def _head(method, path, body_bytes=0):
    lines = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        'Request-Id: id1',
        'Deadline-Ms: 8000',
        f'Credential: {API_KEY}',
        f'Content-Length: {body_bytes}',
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def _pause_in_head(client, pause):
    payload = _head('GET', '/read/x')
    client.send_raw(payload[:40])
    pause()
    client.send_raw(payload[40:])


def _pause_in_body(client, pause):
    client.send_raw(_head('POST', '/write/x', body_bytes=8) + b'body')
    pause()
    client.send_raw(b'body')


def _pause_before_reading(client, pause):
    client.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    client.send('POST', '/draft/x', 'id1', body=b'b', Deadline_Ms='8000')
    pause()


def _pause_while_waiting(client, pause):
    client.send('POST', '/write/slow', 'id1', body=b'b', Deadline_Ms='8000')
    pause()


@pytest.fixture
def wide_harness(placed_harness, monkeypatch):
    """Return a harness whose engines write large events."""
    monkeypatch.setattr(
        EngineStandin, '_format_token', lambda *_: 'x' * EVENT_BYTES
    )
    _change_idle_timeout(placed_harness, FIRST_IDLE_MS)
    return placed_harness


@pytest.mark.parametrize('is_under_way', [True, False])
@pytest.mark.parametrize(
    ('send_with_pause', 'run_seconds'),
    [
        (_pause_in_head, 0),
        (_pause_in_body, 0),
        (_pause_before_reading, 0),
        (_pause_while_waiting, 3 * PAUSE_SECONDS),
    ],
)
def test_a_shorter_idle_timeout_ends_no_request(
    wide_harness, send_with_pause, run_seconds, is_under_way
):
    for replica in wide_harness.replicas:
        replica.run_seconds = run_seconds

    def change_and_pause():
        _change_idle_timeout(wide_harness, SHORT_IDLE_MS)
        Client(wide_harness).close()
        eventlet.sleep(PAUSE_SECONDS)

    def pause():
        eventlet.sleep(PAUSE_SECONDS)

    if not is_under_way:
        change_and_pause()
    client = Client(wide_harness)
    send_with_pause(client, change_and_pause if is_under_way else pause)
    status, _, body = client.read_response()
    assert (status, bool(body)) == (200, True)


def test_a_longer_idle_timeout_holds_on_open_connections(wide_harness):
    client = Client(wide_harness)
    client.send('GET', '/read/x', 'id0')
    assert client.read_response()[0] == 200
    _change_idle_timeout(wide_harness, LONG_IDLE_MS)
    eventlet.sleep(FIRST_IDLE_MS / 1000)
    client.send('GET', '/read/x', 'id1')
    assert client.read_response()[0] == 200


def test_a_shorter_idle_timeout_holds_on_open_connections(wide_harness):
    _change_idle_timeout(wide_harness, LONG_IDLE_MS)
    client = Client(wide_harness)
    client.send('GET', '/read/x', 'id0')
    assert client.read_response()[0] == 200
    _change_idle_timeout(wide_harness, SHORT_IDLE_MS)
    assert client.is_closed()


def test_a_head_that_is_never_complete_gets_a_refusal(wide_harness):
    client = Client(wide_harness)
    client.send_raw(b'GET /read/x HTTP/1.1\r\n')
    client.sock.settimeout(3 * HEADER_MS / 1000)
    status, headers = client.read_head()
    assert (status, headers['connection']) == (408, 'close')
