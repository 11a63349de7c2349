"""Streams deliver every event once and in order despite failures."""

import time

import eventlet
import pytest

from wigeonspoke.platform.standins import StoreFault
from wigeonspoke.platform.tests.harness import Client
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    expect_truncated_stream,
    head_engine,
    request_stream,
)


def _inner_engine(harness, zone: str):
    return next(
        engine
        for engine in harness.engines
        if engine.zone == zone and engine.layers[0] > 0
    )


def test_a_stream_uses_the_chain_of_the_nodes_own_domain(placed_harness):
    status, headers, body = request_stream(placed_harness)
    assert status == 200
    assert event_ids(body) == ALL_EVENTS
    assert len(head_engine(placed_harness, 'one').runs) == 1
    hops = (
        head_engine(placed_harness, 'one')
        .runs[0]
        .headers['hop-count']
        .split(',')
    )
    covered = 0
    for hop in hops:
        first, _, end = hop.partition('=')[2].partition('-')
        assert int(first) == covered
        covered = int(end)
    assert covered == 40
    assert headers['response-signature'].startswith('s.e-one')


def test_events_are_forwarded_as_they_arrive(placed_harness):
    client = Client(placed_harness)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.read_head()
    received_at = [time.monotonic() for _ in client.read_chunks()]
    assert len(received_at) == 20
    assert (received_at[-1] - received_at[0]) * 10 > 1
    client.close()


def test_a_client_can_resume_a_stream(placed_harness):
    body = request_stream(placed_harness, Last_Event_Id='15')[2]
    assert event_ids(body) == [16, 17, 18, 19, 20]


@pytest.mark.parametrize('failure', ['reset', 'dead head', 'dead stage'])
def test_a_broken_stream_resumes_on_another_chain_in_the_same_response(
    placed_harness, failure
):
    head = head_engine(placed_harness, 'one')
    if failure == 'reset':
        head.reset_at_event = 8
    client = Client(placed_harness)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.read_head()
    chunks: list[bytes] = []
    for chunk in client.read_chunks():
        chunks.append(chunk)
        if len(chunks) == 5 and failure == 'dead stage':
            _inner_engine(placed_harness, 'one').is_dead = True
        if len(chunks) == 5 and failure == 'dead head':
            head.is_dead = True
            head.server.close()
    assert event_ids(b''.join(chunks)) == ALL_EVENTS
    assert len(head_engine(placed_harness, 'two').runs) == 1
    resumed = head_engine(placed_harness, 'two').runs[0]
    assert int(resumed.headers['last-event-id']) >= 5
    client.close()


def test_a_stream_that_no_chain_can_finish_ends_as_truncated(placed_harness):
    for zone in ('one', 'two'):
        head_engine(placed_harness, zone).reset_at_event = 8
    expect_truncated_stream(placed_harness)


def test_the_layers_of_a_dead_stage_are_placed_on_another_engine(
    placed_harness,
):
    inner_engine = _inner_engine(placed_harness, 'one')
    inner_engine.is_dead = True
    body = request_stream(placed_harness, 'id1')[2]
    assert event_ids(body) == ALL_EVENTS
    placed_harness.wait_until(
        lambda: (
            inner_engine.endpoint_id
            in placed_harness.node.state.suspects.suspicions
        )
    )
    placed_harness.wait_until(lambda: len(placed_harness.chains()) == 2)
    assert all(
        inner_engine.endpoint_id not in chain.endpoint_ids
        for chain in placed_harness.chains()
    )
    assert event_ids(request_stream(placed_harness, 'id2')[2]) == ALL_EVENTS


def test_a_stage_that_lost_its_layers_is_placed_again(placed_harness):
    inner_engine = _inner_engine(placed_harness, 'one')
    inner_engine.layers = None
    assert event_ids(request_stream(placed_harness, 'id1')[2]) == ALL_EVENTS
    placed_harness.wait_until(lambda: len(placed_harness.chains()) == 2)
    assert event_ids(request_stream(placed_harness, 'id2')[2]) == ALL_EVENTS


# Multiplied health checks by nodes and engines: a head without a free slot was
# treated as a faulty chain.
def test_a_full_head_causes_no_probes_of_other_engines(placed_harness):
    head = head_engine(placed_harness, 'one')
    head.is_full = True
    others = [
        engine
        for engine in placed_harness.engines
        if engine.zone == 'one' and engine is not head
    ]
    reports_before = sum(engine.reports for engine in others)
    assert event_ids(request_stream(placed_harness)[2]) == ALL_EVENTS
    assert len(head_engine(placed_harness, 'two').runs) == 1
    eventlet.sleep(0.3)
    assert sum(engine.reports for engine in others) == reports_before


def test_a_stream_is_cancelled_when_the_client_disconnects(placed_harness):
    head = head_engine(placed_harness, 'one')
    head.events = 500
    client = Client(placed_harness)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.read_head()
    next(client.read_chunks())
    client.close()
    placed_harness.wait_until(lambda: head.runs[0].was_cancelled)
    eventlet.sleep(0.2)
    assert len(head_engine(placed_harness, 'two').received) == 0


def test_a_request_without_any_chain_is_refused(harness):
    for engine in harness.engines:
        engine.ignores_orders = True
    status, headers, _ = request_stream(harness)
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert not any(engine.runs for engine in harness.engines)


def test_unanswered_placement_orders_are_sent_again(harness):
    for engine in harness.engines:
        engine.ignores_orders = True
    harness.wait_until(lambda: harness.node.placement_loop.controllers)
    eventlet.sleep(2.0)
    for engine in harness.engines:
        engine.ignores_orders = False
    harness.place_layers()
    assert event_ids(request_stream(harness)[2]) == ALL_EVENTS


def test_an_engine_that_drains_during_a_store_outage_is_removed(placed_harness):
    placed_harness.store.fault = StoreFault.UNAVAILABLE
    inner_engine = _inner_engine(placed_harness, 'one')
    inner_engine.is_draining = True
    assert event_ids(request_stream(placed_harness, 'id1')[2]) == ALL_EVENTS
    suspicions = placed_harness.node.state.suspects.suspicions
    placed_harness.wait_until(
        lambda: inner_engine.endpoint_id in suspicions, seconds=3
    )
    placed_harness.wait_until(lambda: len(placed_harness.chains()) == 2)
    # The engine still responds, but stays excluded while it is unhealthy.
    eventlet.sleep(2.5)
    assert inner_engine.endpoint_id in suspicions
    received_before = len(
        inner_engine.engines[
            head_engine(placed_harness, 'one').address
        ].received
    )
    assert event_ids(request_stream(placed_harness, 'id2')[2]) == ALL_EVENTS
    assert (
        len(head_engine(placed_harness, 'one').received) == received_before + 1
    )
    inner_engine.is_draining = False
    placed_harness.wait_until(
        lambda: inner_engine.endpoint_id not in suspicions, seconds=5
    )
