"""Connections to endpoints that serve one request after the other."""

import eventlet
import pytest

from wigeonspoke.platform.standins import ReplicaFault
from wigeonspoke.platform.standins.raw_server import RawServer
from wigeonspoke.platform.tests.harness import ask

ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n'
    b'Content-Length: 2\r\n%b\r\nok'
)


@pytest.mark.parametrize(
    ('method', 'path', 'connections'),
    [('GET', '/read/x', 1), ('POST', '/write/x', 4)],
)
def test_only_what_may_be_repeated_goes_over_a_kept_one(
    world,
    method,
    path,
    connections,
):
    server = world.replicas[0].server
    for number in range(4):
        assert ask(world, method, path, f'id{number}')[0] == 200
    assert server.accepted == connections


def test_streams_follow_each_other_on_one_connection(placed):
    head = placed.chains()[0].head
    server = placed.by_address[head.address].server
    before = server.accepted
    for number in range(3):
        assert ask(placed, 'POST', '/draft/x', f'id{number}', body=b'b')[0]
    assert server.accepted == before + 1


@pytest.mark.parametrize(
    'fault',
    [
        ReplicaFault.EXTRA_ANSWER,
        ReplicaFault.OTHER_ID,
        ReplicaFault.RESET_AFTER_RUN,
        ReplicaFault.CUT_SHORT,
        ReplicaFault.UNFRAMED,
    ],
)
def test_a_connection_that_was_not_left_clean_is_not_kept(world, fault):
    _set_fault(world, fault)
    ask(world, 'GET', '/read/x', 'id1')
    _set_fault(world, ReplicaFault.NONE)
    before = _accepted(world)
    status, headers, _ = ask(world, 'GET', '/read/x', 'id2')
    assert (status, headers['request-id']) == (200, 'id2')
    assert _accepted(world) == before + 1


def _set_fault(world, fault) -> None:
    for replica in world.replicas:
        replica.fault = fault


def _accepted(world) -> int:
    return sum(replica.server.accepted for replica in world.replicas)


def _serve(world, extra: bytes, end: bytes = b'') -> RawServer:
    """Put a server in the place of all replicas."""

    def handle(_request, wire):
        wire.write(ANSWER % extra)
        eventlet.sleep(0.05)
        if end:
            wire.write(end)

    server = RawServer(handle)
    for replica in world.replicas:
        entry = {**replica.entry(), 'address': server.address}
        world.store.put('servers', replica.endpoint_id, entry)
    fleet = world.node.state.fleet
    world.wait(
        lambda: all(
            fleet.endpoints[each.endpoint_id].address == server.address
            for each in world.replicas
        ),
    )
    return server


@pytest.mark.parametrize(
    ('extra', 'end', 'connections'),
    [
        (b'', b'', 1),
        (b'Keep-Alive: timeout=60\r\n', b'', 1),
        (b'Connection: close\r\n', b'', 2),
        (b'Keep-Alive: timeout=0\r\n', b'', 2),
        # Bytes that come after an answer belong to no other request.
        (b'', ANSWER % b'', 2),
    ],
)
def test_what_an_endpoint_says_of_its_connection_holds(
    world,
    extra,
    end,
    connections,
):
    server = _serve(world, extra, end)
    for _ in range(2):
        status, _, body = ask(world, 'GET', '/read/x', 'id1')
        assert (status, body) == (200, b'ok')
        eventlet.sleep(0.2)
    assert server.accepted == connections
    server.close()


def test_a_connection_that_broke_meanwhile_is_not_used(world):
    server = _serve(world, b'')
    assert ask(world, 'GET', '/read/x', 'id1')[0] == 200
    eventlet.sleep(0.1)
    for connection in tuple(server.open):
        connection.shutdown(2)
    eventlet.sleep(0.1)
    assert ask(world, 'GET', '/read/x', 'id1')[0] == 200
    assert server.accepted == 2
    server.close()


def test_idle_connections_are_closed_after_a_moment(world):
    assert ask(world, 'GET', '/read/x', 'id1')[0] == 200
    kept = world.node.state.connection_pool
    assert kept.by_peer
    world.wait(lambda: not kept.by_peer, seconds=5)
    world.wait(lambda: not world.replicas[0].server.open, seconds=2)
