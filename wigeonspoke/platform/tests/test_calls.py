"""Calls: whose answer it is, what may run twice, and what a refusal says."""

import time

import eventlet
import pytest

from wigeonspoke.platform.standins import ReplicaFault
from wigeonspoke.platform.tests.harness import Client, ask, configuration


def _runs(world) -> list[str]:
    return [
        run.request_id for replica in world.replicas for run in replica.runs
    ]


def _set_fault(world, fault: ReplicaFault, everywhere: bool) -> None:
    world.replicas[0].fault = fault
    if everywhere:
        world.replicas[1].fault = fault


def test_a_call_passes_unchanged(world):
    status, headers, body = ask(
        world,
        'POST',
        '/write/a%20b/?q=1&r=%2F',
        'id1',
        body=b'payload',
        Tenant='forged',
        X_Other='kept',
        Hop_Count='forged',
    )
    assert (status, body) == (200, b'answer to id1')
    assert headers['response-signature'] == 'stamp.r-one'
    assert len(world.replicas[0].runs) == 1
    run = world.replicas[0].runs[0]
    assert run.target == '/write/a%20b/?q=1&r=%2F'
    assert run.body == b'payload'
    assert run.headers['tenant'] == 'acme'
    assert run.headers['x-other'] == 'kept'
    assert run.headers['expect-instance'] == 'r-one'
    assert 'credential' not in run.headers
    assert 'hop-count' not in run.headers
    assert 0 < int(run.headers['deadline-ms']) <= 1500


@pytest.mark.parametrize('everywhere', [False, True])
@pytest.mark.parametrize('fault', list(ReplicaFault))
def test_unsafe_calls_run_once_and_refusals_are_true(world, fault, everywhere):
    _set_fault(world, fault, everywhere)
    status, headers, body = ask(world, 'POST', '/write/x', 'id1', body=b'b')
    runs = _runs(world)
    assert len(runs) <= 1
    if status in {408, 421, 429, 503}:
        assert not runs
        assert float(headers['retry-after']) > 0
    if status == 200:
        assert body == b'answer to id1'
        assert runs
    else:
        assert 'response-signature' not in headers or status == 500


@pytest.mark.parametrize('fault', list(ReplicaFault))
def test_safe_calls_are_served_by_the_other_replica(world, fault):
    _set_fault(world, fault, everywhere=False)
    status, _, body = ask(world, 'GET', '/read/x', 'id1')
    assert (status, body) == (200, b'answer to id1')
    assert len(_runs(world)) <= 2


def test_an_error_of_the_application_is_passed_on_with_its_signature(world):
    _set_fault(world, ReplicaFault.ERROR, everywhere=True)
    status, headers, body = ask(world, 'GET', '/read/x', 'id1')
    assert (status, body) == (500, b'application error')
    assert headers['response-signature'].startswith('stamp.')


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/none/x', 'key-of-acme', 404),
        ('/read', 'key-of-acme', 404),
        ('/read/x', 'unknown', 401),
        ('/read/x', '', 401),
    ],
)
def test_requests_that_are_not_allowed(world, path, key, status):
    assert ask(world, 'GET', path, 'id1', Credential=key)[0] == status
    assert not _runs(world)


def test_a_node_without_a_configuration_refuses_what_it_cannot_know(world):
    world.node.state.routing_table.configuration = None
    status, headers, _ = ask(world, 'GET', '/none/x', 'id1')
    assert status == 503
    assert 'retry-after' in headers


def test_a_call_is_given_up_at_its_routes_time_out(world):
    _set_fault(world, ReplicaFault.SILENT, everywhere=True)
    began_at = time.monotonic()
    status, _, _ = ask(world, 'POST', '/write/x', 'id1', body=b'b')
    assert status == 504
    took = time.monotonic() - began_at
    assert 1 < took < 3
    assert len(world.replicas[0].runs) == 1
    run = world.replicas[0].runs[0]
    world.wait(lambda: run.was_cancelled)


@pytest.mark.parametrize('path', ['/write/x', '/read/x'])
def test_a_replica_stops_when_the_client_has_left(world, path):
    _set_fault(world, ReplicaFault.SILENT, everywhere=True)
    client = Client(world)
    client.send('POST', path, 'id1', body=b'b')
    world.wait(lambda: _runs(world))
    client.close()
    world.wait(lambda: world.replicas[0].runs[0].was_cancelled)
    eventlet.sleep(0.3)
    assert len(_runs(world)) == 1


def test_a_reused_address_is_another_replica(world):
    world.replicas[0].endpoint_id = 'r-other'
    status, _, body = ask(world, 'POST', '/write/x', 'id1', body=b'b')
    assert (status, body) == (200, b'answer to id1')
    assert _runs(world) == ['id1']
    assert not world.replicas[0].runs


def test_a_leaving_replica_gets_no_new_calls(world):
    replica = world.replicas[0]
    world.store.put('servers', replica.endpoint_id, replica.entry('draining'))
    fleet = world.node.state.fleet
    world.wait(lambda: fleet.endpoints['r-one'].is_leaving)
    assert ask(world, 'GET', '/read/x', 'id1')[0] == 200
    assert not replica.received


def test_answers_on_one_connection_keep_their_order(world):
    client = Client(world)
    for index in range(4):
        client.send('GET', '/read/x', f'id{index}')
    bodies = [client.answer()[2] for _ in range(4)]
    assert bodies == [f'answer to id{index}'.encode() for index in range(4)]
    client.close()


def test_a_body_in_chunks(world):
    client = Client(world)
    client.send_raw(
        b'POST /write/x HTTP/1.1\r\nHost: shop.example\r\n'
        b'Request-Id: id1\r\nCredential: key-of-acme\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n',
    )
    assert client.answer()[0] == 200
    assert world.replicas[0].runs[0].body == b'abcde'
    client.close()


SMUGGLED = b'GET /read/smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n'
HEAD = (
    b'POST /write/x HTTP/1.1\r\nHost: shop.example\r\n'
    b'Request-Id: id1\r\nCredential: key-of-acme\r\n'
)


@pytest.mark.parametrize(
    'payload',
    [
        HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\n' + SMUGGLED,
        HEAD + b'Content-Length: 3\r\nContent-Length: 70\r\n\r\nabc' + SMUGGLED,
        HEAD + b'Content-Length : 3\r\n\r\nabc' + SMUGGLED,
        HEAD + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n' + SMUGGLED,
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n' + SMUGGLED,
        HEAD + b'X: a\rContent-Length: 3\r\n\r\nabc' + SMUGGLED,
        HEAD + b' folded: 1\r\n\r\n' + SMUGGLED,
        HEAD + b'Content-Length: +3\r\n\r\nabc' + SMUGGLED,
    ],
)
def test_requests_hidden_in_others_never_run(world, payload):
    client = Client(world)
    client.send_raw(payload)
    assert client.answer()[0] in {400, 501}
    assert client.is_closed()
    assert not world.replicas[0].received
    assert not world.replicas[1].received
    client.close()


def test_a_new_version_moves_a_route_and_takes_a_key_away(world):
    moved = configuration(version=9)
    moved['routes'][0]['path-prefix'] = '/moved/'
    moved['tenants'][1]['api-keys'] = []
    world.store.put('op', 'config', moved)
    world.wait(lambda: world.node.state.routing_table.version == 9)
    assert ask(world, 'GET', '/read/x', 'id1')[0] == 404
    assert ask(world, 'GET', '/moved/x', 'id2')[0] == 200
    refused = ask(world, 'GET', '/moved/x', 'id3', Credential='key-of-bond')
    assert refused[0] == 401


@pytest.mark.parametrize('active', ['idle', 'in a call'])
def test_a_planned_stop_cuts_nothing(world, active):
    world.replicas[0].run_seconds = 0.5
    kept = Client(world)
    kept.send('GET', '/read/x', 'id1')
    kept.answer()
    busy = Client(world)
    stopper = eventlet.spawn(world.node.stop)
    eventlet.sleep(0.05)
    assert not world.node.is_ready
    busy.send('GET', '/read/x', 'id2')
    status, headers, _ = busy.answer()
    assert (status, headers['connection']) == (200, 'close')
    if active == 'in a call':
        kept.send('GET', '/read/x', 'id3')
        assert kept.answer()[0] == 200
    stopper.wait()
    assert kept.is_closed()
    kept.close()
    busy.close()
