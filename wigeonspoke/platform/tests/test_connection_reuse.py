"""Reuse of connections to endpoints for consecutive requests."""

import eventlet
import pytest

from wigeonspoke.platform.standins import ReplicaFault
from wigeonspoke.platform.standins.raw_server import RawServer
from wigeonspoke.platform.tests.harness import send_request

RESPONSE = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n'
    b'Content-Length: 2\r\n%b\r\nok'
)


@pytest.mark.parametrize(
    ('method', 'path', 'connections'),
    [('GET', '/read/x', 1), ('POST', '/write/x', 4)],
)
def test_only_repeatable_requests_reuse_a_connection(
    harness,
    method,
    path,
    connections,
):
    server = harness.replicas[0].server
    for number in range(4):
        assert send_request(harness, method, path, f'id{number}')[0] == 200
    assert server.accepted == connections


def test_consecutive_streams_reuse_a_connection(placed_harness):
    head = placed_harness.chains()[0].head
    server = placed_harness.engines_by_address[head.address].server
    before = server.accepted
    for number in range(3):
        assert send_request(
            placed_harness, 'POST', '/draft/x', f'id{number}', body=b'b'
        )[0]
    assert server.accepted == before + 1


@pytest.mark.parametrize(
    'fault',
    [
        ReplicaFault.EXTRA_RESPONSE,
        ReplicaFault.WRONG_REQUEST_ID,
        ReplicaFault.RESET_AFTER_RUN,
        ReplicaFault.TRUNCATED,
        ReplicaFault.UNFRAMED,
    ],
)
def test_a_connection_is_not_reused_after_a_faulty_response(harness, fault):
    _set_fault(harness, fault)
    send_request(harness, 'GET', '/read/x', 'id1')
    _set_fault(harness, ReplicaFault.NONE)
    before = _count_accepted(harness)
    status, headers, _ = send_request(harness, 'GET', '/read/x', 'id2')
    assert (status, headers['request-id']) == (200, 'id2')
    assert _count_accepted(harness) == before + 1


def _set_fault(harness, fault) -> None:
    for replica in harness.replicas:
        replica.fault = fault


def _count_accepted(harness) -> int:
    return sum(replica.server.accepted for replica in harness.replicas)


def _replace_replicas(
    harness, extra_headers: bytes, trailing: bytes = b''
) -> RawServer:
    """Register one server with a fixed response as all replicas.

    The server sends ``trailing`` a moment after each response.
    """

    def handle(_request, connection):
        connection.write(RESPONSE % extra_headers)
        eventlet.sleep(0.05)
        if trailing:
            connection.write(trailing)

    server = RawServer(handle)
    for replica in harness.replicas:
        entry = {**replica.registry_entry(), 'address': server.address}
        harness.store.put('servers', replica.endpoint_id, entry)
    fleet = harness.node.state.fleet
    harness.wait_until(
        lambda: all(
            fleet.endpoints[endpoint.endpoint_id].address == server.address
            for endpoint in harness.replicas
        ),
    )
    return server


@pytest.mark.parametrize(
    ('extra_headers', 'trailing', 'connections'),
    [
        (b'', b'', 1),
        (b'Keep-Alive: timeout=60\r\n', b'', 1),
        (b'Connection: close\r\n', b'', 2),
        (b'Keep-Alive: timeout=0\r\n', b'', 2),
        # Bytes after a response must not be read as the next response.
        (b'', RESPONSE % b'', 2),
    ],
)
def test_connection_headers_and_trailing_bytes_are_honored(
    harness,
    extra_headers,
    trailing,
    connections,
):
    server = _replace_replicas(harness, extra_headers, trailing)
    for _ in range(2):
        status, _, body = send_request(harness, 'GET', '/read/x', 'id1')
        assert (status, body) == (200, b'ok')
        eventlet.sleep(0.2)
    assert server.accepted == connections
    server.close()


def test_a_connection_closed_while_idle_is_not_reused(harness):
    server = _replace_replicas(harness, b'')
    assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 200
    eventlet.sleep(0.1)
    for connection in tuple(server.open_connections):
        connection.shutdown(2)
    eventlet.sleep(0.1)
    assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 200
    assert server.accepted == 2
    server.close()


def test_idle_connections_are_closed(harness):
    assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 200
    connection_pool = harness.node.state.connection_pool
    assert connection_pool.by_peer
    harness.wait_until(lambda: not connection_pool.by_peer, seconds=5)
    harness.wait_until(
        lambda: not harness.replicas[0].server.open_connections, seconds=2
    )
