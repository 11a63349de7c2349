"""A replica writes an earlier refusal once more, in place of an answer."""

import pytest

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.placement import Placement
from wigeonspoke.core.relay import PeerAnswer, RunCounts
from wigeonspoke.ingress.relay.relay_head import outcome_headers, read_outcome
from wigeonspoke.platform.engine_control import PlatformEngineControl
from wigeonspoke.platform.standins import EngineStandin, ReplicaStandin
from wigeonspoke.platform.standins.raw_server import RawServer
from wigeonspoke.platform.tests.harness import Client, send_request
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    head_engine,
    request_stream,
)
from wigeonspoke.transport import HttpClient

# Bytes of a refusal; ``%b`` are further headers.
REFUSALS = {
    'unnamed': b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n%b\r\n',
    'named': b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n'
    b'Request-Id: earlier\r\n%b\r\n',
    'other run': b'HTTP/1.1 421 Misdirected\r\n%b\r\n',
    'unnamed with a time': b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n'
    b'Retry-After: 20\r\n%b\r\n',
}
EMPTY = b'Content-Length: 0\r\n'


def _write_before_answers(monkeypatch, owner, handler, refusal, servers):
    """Write a refusal before each answer but the first of a connection."""
    original = getattr(owner, handler)
    used = set()

    def handle(endpoint, request, connection):
        if endpoint in servers and connection.sock in used:
            connection.write(refusal % EMPTY)
        used.add(connection.sock)
        original(endpoint, request, connection)

    monkeypatch.setattr(owner, handler, handle)


def _runs(endpoints, request_id: str) -> list:
    return [
        run
        for endpoint in endpoints
        for run in endpoint.runs
        if run.request_id == request_id
    ]


# Clients were told that a call had not run while its replica ran it.
@pytest.mark.parametrize('refusal', REFUSALS)
def test_an_earlier_refusal_is_none_of_a_call(harness, monkeypatch, refusal):
    servers = set(harness.replicas)
    _write_before_answers(
        monkeypatch, ReplicaStandin, '_admit', REFUSALS[refusal], servers
    )
    for number in range(6):
        status = send_request(harness, 'GET', '/read/x', f'id{number}')[0]
        runs = _runs(harness.replicas, f'id{number}')
        assert status != 503 or not runs
        assert status in {200, 502}
    availability = harness.node.state.availability
    assert not availability.backoffs.backoffs


def test_an_earlier_refusal_leaves_a_call_to_another_replica(
    harness, monkeypatch
):
    first = harness.replicas[0]
    _write_before_answers(
        monkeypatch,
        ReplicaStandin,
        '_admit',
        REFUSALS['unnamed'],
        {first},
    )
    for number in range(6):
        status = send_request(harness, 'GET', '/read/x', f'id{number}')[0]
        assert status == 200


@pytest.mark.parametrize('refusal', REFUSALS)
def test_an_earlier_refusal_is_none_of_a_stream(
    placed_harness, monkeypatch, refusal
):
    heads = {head_engine(placed_harness, zone) for zone in ('one', 'two')}
    original = EngineStandin._handle_stream
    used = set()

    def handle(engine, request, connection):
        if engine in heads and connection.sock in used:
            connection.write(REFUSALS[refusal] % EMPTY)
        used.add(connection.sock)
        original(engine, request, connection)

    monkeypatch.setattr(EngineStandin, '_handle_stream', handle)
    for number in range(6):
        request_id = f'id{number}'
        status, _, body = request_stream(placed_harness, request_id)
        runs = _runs(heads, request_id)
        assert status != 503 or not runs
        if status == 200:
            assert event_ids(body) == ALL_EVENTS


# A client may send no id, and the answer then names none.
def test_an_answer_without_a_name_is_that_of_a_request_without_one(harness):
    client = Client(harness)
    client.send_raw(
        b'GET /read/x HTTP/1.1\r\nHost: shop.example\r\n'
        b'Credential: key-of-acme\r\n\r\n'
    )
    assert client.read_response()[0] == 200
    client.close()


# Another request's refusal on a new connection is not believed either.
def test_a_refusal_that_names_another_request_is_no_promise(harness):
    def handle(request, connection):
        connection.write(REFUSALS['named'] % EMPTY)

    server = RawServer(handle)
    endpoints = harness.node.state.fleet.endpoints
    for endpoint in harness.replicas:
        entry = {**endpoint.registry_entry(), 'address': server.address}
        harness.store.put('servers', endpoint.endpoint_id, entry)
    ids = {each.endpoint_id for each in harness.replicas}
    harness.wait_until(
        lambda: {endpoints[one].address for one in ids} == {server.address}
    )
    status = send_request(harness, 'POST', '/write/x', 'id1', body=b'b')[0]
    server.close()
    assert status == 502


# A peer's answer about one request must not count for another.
@pytest.mark.parametrize('told', ['earlier', ''])
def test_an_outcome_of_another_request_is_none(told):
    answer = PeerAnswer(Outcome.NOT_RUN, RunCounts())
    headers = outcome_headers(answer, 'isolated', told)
    assert read_outcome(headers, 'id1')[0] is None
    headers = outcome_headers(answer, 'isolated', 'id1')
    assert read_outcome(headers, 'id1')[0] == answer


# An earlier answer to an order would be taken for that to the next one.
def test_each_order_has_a_connection_of_its_own(harness):
    engine = harness.engines[0]
    control = PlatformEngineControl(HttpClient())
    endpoint = harness.node.state.fleet.endpoints[engine.endpoint_id]
    before = engine.server.accepted
    placement = Placement(endpoint, LayerRange(0, 2))
    for _ in range(2):
        control.send_order(placement, 10**6, 10**6, 1.0)
    assert engine.server.accepted == before + 2
