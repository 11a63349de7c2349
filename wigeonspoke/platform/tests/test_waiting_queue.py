"""Streams that wait for a chain are served in order, or refused."""

import time

import eventlet
import pytest

from wigeonspoke.ingress.requests import waiting_queue
from wigeonspoke.platform.tests.harness import (
    Client,
    make_configuration,
    make_route,
)
from wigeonspoke.platform.tests.stream_requests import (
    head_engine,
    request_stream,
)


@pytest.fixture
def full_harness(placed_harness):
    """Return a harness with two ranks, whose chains are full."""
    routes = [
        make_route(
            f'/{name}/',
            'drafting',
            'streaming',
            priority=priority,
            target_latency_ms=2000,
        )
        for name, priority in (('bulk', 2), ('urgent', 0))
    ]
    placed_harness.store.put(
        'op', 'config', make_configuration(2, routes=routes)
    )
    state = placed_harness.node.state
    placed_harness.wait_until(lambda: state.routing_table.version == 2)
    placed_harness.wait_until(placed_harness.chains)
    _report_load(placed_harness, 0)
    return placed_harness


def _report_load(harness, free):
    """Leave some capacity free on the chain of domain one, none elsewhere."""
    state = harness.node.state
    head_id = head_engine(harness, 'one').endpoint_id
    streams = {chain.head.endpoint_id: 1000 for chain in harness.chains()}
    capacity = next(
        known.capacity
        for known in state.chains.cached_chains['drafting'].known
        if known.head_id == head_id
    )
    streams[head_id] = int(capacity) - free
    if not free:
        streams[head_id] = 1000
    state.chains.peer_load.update('peer#1', streams)
    state.queues.wake()


def _send(harness, path, request_id, **headers):
    client = Client(harness)
    client.send('POST', path, request_id, body=b'p', **headers)
    return client


def _wait_for_length(harness, length):
    harness.wait_until(lambda: len(harness.node.state.queues) == length)


def test_the_urgent_one_of_two_waiting_streams_starts_first(full_harness):
    clients = [_send(full_harness, '/bulk/x', 'bulk')]
    _wait_for_length(full_harness, 1)
    clients.append(_send(full_harness, '/urgent/x', 'urgent'))
    _wait_for_length(full_harness, 2)
    _report_load(full_harness, 1)
    assert [client.read_response()[0] for client in clients] == [200, 200]
    runs = head_engine(full_harness, 'one').runs
    assert [run.request_id for run in runs] == ['urgent', 'bulk']
    for client in clients:
        client.close()


def test_a_stream_that_waits_too_long_is_refused(full_harness):
    status, headers, _ = request_stream(full_harness, path='/bulk/x')
    assert status == 503
    assert 'retry-after' in headers
    state = full_harness.node.state
    assert state.counters['queue-refused', 'wait-over rank 2'] == 1
    assert not len(state.queues)


def test_a_client_that_leaves_gives_up_its_place(full_harness):
    client = _send(full_harness, '/bulk/x', 'bulk')
    _wait_for_length(full_harness, 1)
    client.close()
    _wait_for_length(full_harness, 0)
    state = full_harness.node.state
    assert state.counters['wait-abandoned', 'rank 2'] == 1


def test_a_full_queue_refuses_at_once(full_harness, monkeypatch):
    monkeypatch.setattr(waiting_queue, 'MAX_QUEUED', 1)
    client = _send(full_harness, '/bulk/x', 'bulk')
    _wait_for_length(full_harness, 1)
    assert request_stream(full_harness, path='/bulk/x')[0] == 503
    state = full_harness.node.state
    assert state.counters['queue-refused', 'queue-full rank 2'] == 1
    assert len(state.queues) == 1
    client.close()


def test_retry_after_is_the_wait_behind_others(full_harness):
    queue = full_harness.node.state.queues.of_service('drafting')
    client = _send(full_harness, '/bulk/x', 'bulk')
    _wait_for_length(full_harness, 1)
    for _ in range(2):
        eventlet.sleep(0.2)
        queue.rate.record_start(2, queue.rate.busy_since + 0.4)
    client.read_response()
    status, headers, _ = request_stream(
        full_harness, request_id='other', path='/bulk/x'
    )
    assert status == 503
    # It has waited 1.2 s of the 3 s that its client has.
    assert 0 < float(headers['retry-after']) * 10 <= 6
    client.close()


# Each attempt of a client has a request id of its own, so that a place kept by
# the id alone is never found again.
def test_a_client_that_returns_in_time_gets_its_place_back(full_harness):
    returning = full_harness.node.state.queues.returning
    queue = full_harness.node.state.queues.of_service('drafting')
    client = _send(full_harness, '/bulk/x', 'first')
    _wait_for_length(full_harness, 1)
    eventlet.sleep(0.3)
    queue.rate.record_start(2, queue.rate.busy_since + 0.3)
    _, headers, _ = client.read_response()
    assert len(returning.refused) == 1
    place = next(iter(returning.refused.values())).first_deadline
    eventlet.sleep(float(headers['retry-after']))
    again = _send(full_harness, '/bulk/x', 'second')
    _wait_for_length(full_harness, 1)
    waiter = next(iter(queue.waiters.values()))
    assert waiter.entry.place == (0, place)
    for each in (client, again):
        each.close()


def test_a_stream_that_others_precede_for_too_long_is_refused_at_once(
    full_harness,
):
    queue = full_harness.node.state.queues.of_service('drafting')
    client = _send(full_harness, '/bulk/x', 'bulk')
    _wait_for_length(full_harness, 1)
    # One start in 10 s.
    queue.rate.busy.add(time.monotonic(), 10)
    queue.rate.record_start(2, time.monotonic())
    status, headers, _ = request_stream(full_harness, path='/bulk/x')
    assert status == 503
    assert len(full_harness.node.state.queues) == 1
    state = full_harness.node.state
    assert state.counters['queue-refused', 'queue-too-long rank 2'] == 1
    # A third of the 3 s that the client has.
    assert float(headers['retry-after']) <= 1
    client.close()
