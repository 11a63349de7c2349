"""A stream fails at another chain, and the silent one goes on."""

import http
import math

import pytest

from wigeonspoke.platform.standins import EngineStandin
from wigeonspoke.platform.tests.harness import Client
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    head_engine,
    silence_engines,
)


def _answer_with_failure(monkeypatch, engine):
    handle = EngineStandin._handle_stream

    def fail(self, request, connection):
        if self is not engine:
            handle(self, request, connection)
            return
        headers = {
            'Request-Id': request.headers['request-id'],
            'Response-Signature': f's.{engine.endpoint_id}',
        }
        connection.respond(
            http.HTTPStatus.INTERNAL_SERVER_ERROR, headers, b'failed'
        )

    monkeypatch.setattr(EngineStandin, '_handle_stream', fail)


# The engines left can hold all layers, so that the domain has a chain.
def test_the_head_is_found_beside_an_engine_without_layers(harness):
    idle = harness.engines[0]
    state = harness.node.state
    suspected = state.fleet.endpoints[idle.endpoint_id]
    state.suspects.suspect(suspected, 'test', math.inf)
    harness.place_layers()
    assert idle.layers is None
    assert head_engine(harness, idle.zone) is not idle


@pytest.mark.parametrize('seconds', [1.2, 30])
def test_a_failure_of_the_other_chain_is_not_followed_by_a_second_answer(
    placed_harness, monkeypatch, seconds
):
    silent = head_engine(placed_harness, 'one')
    silence_engines(monkeypatch, {silent: seconds}, event=1)
    _answer_with_failure(monkeypatch, head_engine(placed_harness, 'two'))
    client = Client(placed_harness)
    client.send(
        'POST', '/draft/x', 'id1', body=b'p', Model='m', Connection='close'
    )
    status, _, body = client.read_response()
    rest = client.reader.read()
    assert rest == b''
    if seconds < 2:
        assert status == 200
        assert event_ids(body) == ALL_EVENTS
