"""Streams: every event once and in order, whatever breaks on the way."""

import re
import time

import eventlet
import pytest

from wigeonspoke.platform.standins import StoreFault
from wigeonspoke.platform.tests.harness import Client, ask

ALL_EVENTS = list(range(1, 21))


def _numbers(body: bytes) -> list[int]:
    return [int(found) for found in re.findall(rb'^id: (\d+)$', body, re.M)]


def _draft(world, request_id: str = 'id1', **given: str):
    return ask(
        world,
        'POST',
        '/draft/x',
        request_id,
        body=b'prompt',
        Model='m',
        Token_Usage='100,100',
        **given,
    )


def _head(world, zone: str):
    return next(
        engine
        for engine in world.engines
        if engine.zone == zone and engine.layers[0] == 0
    )


def _inner(world, zone: str):
    return next(
        engine
        for engine in world.engines
        if engine.zone == zone and engine.layers[0] > 0
    )


def test_a_stream_goes_through_the_own_domains_chain(placed):
    status, headers, body = _draft(placed)
    assert status == 200
    assert _numbers(body) == ALL_EVENTS
    assert len(_head(placed, 'one').runs) == 1
    hops = _head(placed, 'one').runs[0].headers['hop-count'].split(',')
    covered = 0
    for hop in hops:
        first, _, end = hop.partition('=')[2].partition('-')
        assert int(first) == covered
        covered = int(end)
    assert covered == 40
    assert headers['response-signature'].startswith('s.e-one')


def test_events_are_passed_on_as_they_come(placed):
    client = Client(placed)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.head()
    came_at = [time.monotonic() for _ in client.chunks()]
    assert len(came_at) == 20
    assert (came_at[-1] - came_at[0]) * 10 > 1
    client.close()


def test_a_client_may_resume(placed):
    body = _draft(placed, Last_Event_Id='15')[2]
    assert _numbers(body) == [16, 17, 18, 19, 20]


@pytest.mark.parametrize('fault', ['breaks', 'dead head', 'dead stage'])
def test_a_broken_stream_goes_on_elsewhere_in_the_same_answer(placed, fault):
    head = _head(placed, 'one')
    if fault == 'breaks':
        head.break_after = 8
    client = Client(placed)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.head()
    came: list[bytes] = []
    for chunk in client.chunks():
        came.append(chunk)
        if len(came) == 5 and fault == 'dead stage':
            _inner(placed, 'one').is_dead = True
        if len(came) == 5 and fault == 'dead head':
            head.is_dead = True
            head.server.close()
    assert _numbers(b''.join(came)) == ALL_EVENTS
    assert len(_head(placed, 'two').runs) == 1
    resumed = _head(placed, 'two').runs[0]
    assert int(resumed.headers['last-event-id']) >= 5
    client.close()


def test_a_stream_that_no_chain_can_finish_does_not_look_complete(placed):
    for zone in ('one', 'two'):
        _head(placed, zone).break_after = 8
    client = Client(placed)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.head()
    with pytest.raises(AssertionError, match='cut off'):
        list(client.chunks())
    client.close()


def test_a_dead_stage_is_taken_out_and_its_layers_placed_anew(placed):
    inner = _inner(placed, 'one')
    inner.is_dead = True
    body = _draft(placed, 'id1')[2]
    assert _numbers(body) == ALL_EVENTS
    placed.wait(
        lambda: inner.endpoint_id in placed.node.state.suspects.suspicions
    )
    placed.wait(lambda: len(placed.chains()) == 2)
    assert all(
        inner.endpoint_id not in chain.endpoint_ids for chain in placed.chains()
    )
    assert _numbers(_draft(placed, 'id2')[2]) == ALL_EVENTS


def test_a_stage_that_lost_its_layers_is_asked_and_placed_again(placed):
    inner = _inner(placed, 'one')
    inner.layers = None
    assert _numbers(_draft(placed, 'id1')[2]) == ALL_EVENTS
    placed.wait(lambda: len(placed.chains()) == 2)
    assert _numbers(_draft(placed, 'id2')[2]) == ALL_EVENTS


def test_the_engines_stop_when_the_client_has_left(placed):
    head = _head(placed, 'one')
    head.events = 500
    client = Client(placed)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.head()
    next(client.chunks())
    client.close()
    placed.wait(lambda: head.runs[0].was_cancelled)
    eventlet.sleep(0.2)
    assert len(_head(placed, 'two').received) == 0


def test_without_any_chain_a_request_is_refused_as_not_run(world):
    for engine in world.engines:
        engine.ignores_orders = True
    status, headers, _ = _draft(world)
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert not any(engine.runs for engine in world.engines)


def test_orders_that_go_unanswered_are_given_again(world):
    for engine in world.engines:
        engine.ignores_orders = True
    world.wait(lambda: world.node.steward.stewards)
    eventlet.sleep(2.0)
    for engine in world.engines:
        engine.ignores_orders = False
    world.place()
    assert _numbers(_draft(world)[2]) == ALL_EVENTS


def test_an_engine_that_drains_unseen_is_taken_out(placed):
    placed.store.fault = StoreFault.UNAVAILABLE
    inner = _inner(placed, 'one')
    inner.is_draining = True
    assert _numbers(_draft(placed, 'id1')[2]) == ALL_EVENTS
    suspicions = placed.node.state.suspects.suspicions
    placed.wait(lambda: inner.endpoint_id in suspicions, seconds=3)
    placed.wait(lambda: len(placed.chains()) == 2)
    # It still answers, and stays out as long as it is not healthy.
    eventlet.sleep(2.5)
    assert inner.endpoint_id in suspicions
    received = len(inner.others[_head(placed, 'one').address].received)
    assert _numbers(_draft(placed, 'id2')[2]) == ALL_EVENTS
    assert len(_head(placed, 'one').received) == received + 1
    inner.is_draining = False
    placed.wait(lambda: inner.endpoint_id not in suspicions, seconds=5)
