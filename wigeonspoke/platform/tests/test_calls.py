"""Forwarding of requests other than streams: routing, retries, refusals."""

import time

import eventlet
import pytest

from wigeonspoke.platform.standins import ReplicaFault
from wigeonspoke.platform.tests.harness import (
    Client,
    make_configuration,
    send_request,
)


def _executed_ids(harness) -> list[str]:
    return [
        run.request_id for replica in harness.replicas for run in replica.runs
    ]


def _set_fault(harness, fault: ReplicaFault, on_all_replicas: bool) -> None:
    harness.replicas[0].fault = fault
    if on_all_replicas:
        harness.replicas[1].fault = fault


def test_a_request_is_forwarded_unchanged(harness):
    status, headers, body = send_request(
        harness,
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
    assert len(harness.replicas[0].runs) == 1
    run = harness.replicas[0].runs[0]
    assert run.target == '/write/a%20b/?q=1&r=%2F'
    assert run.body == b'payload'
    assert run.headers['tenant'] == 'acme'
    assert run.headers['x-other'] == 'kept'
    assert run.headers['expect-instance'] == 'r-one'
    assert 'credential' not in run.headers
    assert 'hop-count' not in run.headers
    assert 0 < int(run.headers['deadline-ms']) <= 1500


@pytest.mark.parametrize('on_all_replicas', [False, True])
@pytest.mark.parametrize('fault', list(ReplicaFault))
def test_unsafe_requests_run_once_and_a_refused_one_not_at_all(
    harness, fault, on_all_replicas
):
    _set_fault(harness, fault, on_all_replicas)
    status, headers, body = send_request(
        harness, 'POST', '/write/x', 'id1', body=b'b'
    )
    executed_ids = _executed_ids(harness)
    assert len(executed_ids) <= 1
    if status in {408, 421, 429, 503}:
        assert not executed_ids
        assert float(headers['retry-after']) > 0
    if status == 200:
        assert body == b'answer to id1'
        assert executed_ids
    else:
        assert 'response-signature' not in headers or status == 500


@pytest.mark.parametrize('fault', list(ReplicaFault))
def test_a_safe_request_is_retried_on_the_other_replica(harness, fault):
    _set_fault(harness, fault, on_all_replicas=False)
    status, _, body = send_request(harness, 'GET', '/read/x', 'id1')
    assert (status, body) == (200, b'answer to id1')
    assert len(_executed_ids(harness)) <= 2


def test_an_application_error_is_forwarded_with_its_signature(harness):
    _set_fault(harness, ReplicaFault.ERROR, on_all_replicas=True)
    status, headers, body = send_request(harness, 'GET', '/read/x', 'id1')
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
def test_requests_without_a_route_or_a_valid_key_are_rejected(
    harness, path, key, status
):
    assert (
        send_request(harness, 'GET', path, 'id1', Credential=key)[0] == status
    )
    assert not _executed_ids(harness)


def test_a_node_without_a_configuration_responds_unavailable(harness):
    harness.node.state.routing_table.configuration = None
    status, headers, _ = send_request(harness, 'GET', '/none/x', 'id1')
    assert status == 503
    assert 'retry-after' in headers


def test_a_request_is_cancelled_at_the_timeout_of_its_route(harness):
    _set_fault(harness, ReplicaFault.HANG, on_all_replicas=True)
    started_at = time.monotonic()
    status, _, _ = send_request(harness, 'POST', '/write/x', 'id1', body=b'b')
    assert status == 504
    elapsed = time.monotonic() - started_at
    assert 1 < elapsed < 3
    assert len(harness.replicas[0].runs) == 1
    run = harness.replicas[0].runs[0]
    harness.wait_until(lambda: run.was_cancelled)


@pytest.mark.parametrize('path', ['/write/x', '/read/x'])
def test_a_request_is_cancelled_when_the_client_disconnects(harness, path):
    _set_fault(harness, ReplicaFault.HANG, on_all_replicas=True)
    client = Client(harness)
    client.send('POST', path, 'id1', body=b'b')
    harness.wait_until(lambda: _executed_ids(harness))
    client.close()
    harness.wait_until(lambda: harness.replicas[0].runs[0].was_cancelled)
    eventlet.sleep(0.3)
    assert len(_executed_ids(harness)) == 1


def test_another_replica_at_a_reused_address_does_not_run_the_request(harness):
    harness.replicas[0].endpoint_id = 'r-other'
    status, _, body = send_request(
        harness, 'POST', '/write/x', 'id1', body=b'b'
    )
    assert (status, body) == (200, b'answer to id1')
    assert _executed_ids(harness) == ['id1']
    assert not harness.replicas[0].runs


def test_a_draining_replica_gets_no_new_requests(harness):
    replica = harness.replicas[0]
    harness.store.put(
        'servers', replica.endpoint_id, replica.registry_entry('draining')
    )
    fleet = harness.node.state.fleet
    harness.wait_until(lambda: fleet.endpoints['r-one'].is_leaving)
    assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 200
    assert not replica.received


def test_pipelined_responses_keep_their_order(harness):
    client = Client(harness)
    for index in range(4):
        client.send('GET', '/read/x', f'id{index}')
    bodies = [client.read_response()[2] for _ in range(4)]
    assert bodies == [f'answer to id{index}'.encode() for index in range(4)]
    client.close()


def test_a_chunked_request_body(harness):
    client = Client(harness)
    client.send_raw(
        b'POST /write/x HTTP/1.1\r\nHost: shop.example\r\n'
        b'Request-Id: id1\r\nCredential: key-of-acme\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n',
    )
    assert client.read_response()[0] == 200
    assert harness.replicas[0].runs[0].body == b'abcde'
    client.close()


SMUGGLED_REQUEST = b'GET /read/smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n'
REQUEST_HEAD = (
    b'POST /write/x HTTP/1.1\r\nHost: shop.example\r\n'
    b'Request-Id: id1\r\nCredential: key-of-acme\r\n'
)


@pytest.mark.parametrize(
    'payload',
    [
        REQUEST_HEAD
        + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\n' + SMUGGLED_REQUEST,
        REQUEST_HEAD
        + b'Content-Length: 3\r\nContent-Length: 70\r\n\r\nabc'
        + SMUGGLED_REQUEST,
        REQUEST_HEAD + b'Content-Length : 3\r\n\r\nabc' + SMUGGLED_REQUEST,
        REQUEST_HEAD
        + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n'
        + SMUGGLED_REQUEST,
        REQUEST_HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n',
        REQUEST_HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n'
        + SMUGGLED_REQUEST,
        REQUEST_HEAD + b'X: a\rContent-Length: 3\r\n\r\nabc' + SMUGGLED_REQUEST,
        REQUEST_HEAD + b' folded: 1\r\n\r\n' + SMUGGLED_REQUEST,
        REQUEST_HEAD + b'Content-Length: +3\r\n\r\nabc' + SMUGGLED_REQUEST,
    ],
)
def test_smuggled_requests_never_run(harness, payload):
    client = Client(harness)
    client.send_raw(payload)
    assert client.read_response()[0] in {400, 501}
    assert client.is_closed()
    assert not harness.replicas[0].received
    assert not harness.replicas[1].received
    client.close()


def test_a_new_configuration_moves_a_route_and_revokes_a_key(harness):
    changed = make_configuration(version=9)
    changed['routes'][0]['path-prefix'] = '/moved/'
    changed['tenants'][1]['api-keys'] = []
    harness.store.put('op', 'config', changed)
    harness.wait_until(lambda: harness.node.state.routing_table.version == 9)
    assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 404
    assert send_request(harness, 'GET', '/moved/x', 'id2')[0] == 200
    refused = send_request(
        harness, 'GET', '/moved/x', 'id3', Credential='key-of-bond'
    )
    assert refused[0] == 401


@pytest.mark.parametrize('active', ['idle', 'busy'])
def test_a_graceful_shutdown_interrupts_no_request(harness, active):
    harness.replicas[0].run_seconds = 0.5
    idle_client = Client(harness)
    idle_client.send('GET', '/read/x', 'id1')
    idle_client.read_response()
    busy_client = Client(harness)
    stop_greenlet = eventlet.spawn(harness.node.stop)
    eventlet.sleep(0.05)
    assert not harness.node.is_ready
    busy_client.send('GET', '/read/x', 'id2')
    status, headers, _ = busy_client.read_response()
    assert (status, headers['connection']) == (200, 'close')
    if active == 'busy':
        idle_client.send('GET', '/read/x', 'id3')
        assert idle_client.read_response()[0] == 200
    stop_greenlet.wait()
    assert idle_client.is_closed()
    idle_client.close()
    busy_client.close()
