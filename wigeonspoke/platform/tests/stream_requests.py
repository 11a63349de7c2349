"""Requests for streams, shared by the tests of streams."""

import re
from typing import Any

import eventlet
import pytest

from wigeonspoke.platform.standins import EngineStandin
from wigeonspoke.platform.tests.harness import Client, Harness, send_request

ALL_EVENTS = list(range(1, 21))


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the events in the body of a stream."""
    return [int(found) for found in re.findall(rb'^id: (\d+)$', body, re.M)]


def request_stream(
    harness: Harness,
    request_id: str = 'id1',
    path: str = '/draft/x',
    **headers: Any,
):
    """Request a stream on a new connection and return the response."""
    return send_request(
        harness,
        'POST',
        path,
        request_id,
        body=b'prompt',
        Model='m',
        Token_Usage='100,100',
        **headers,
    )


def head_engine(harness: Harness, zone: str) -> EngineStandin:
    """Return the head of the chain of a domain."""
    return next(
        engine
        for engine in harness.engines
        if engine.zone == zone and engine.layers and engine.layers[0] == 0
    )


def expect_truncated_stream(harness: Harness) -> None:
    """Request a stream; its response must begin and not look complete."""
    client = Client(harness)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.read_head()
    with pytest.raises(AssertionError, match='truncated response'):
        list(client.read_chunks())
    client.close()


def silence_engines(
    monkeypatch: pytest.MonkeyPatch,
    silences: dict[EngineStandin, float],
    event: int,
) -> None:
    """Make engines silent before an event of each answer, for some seconds."""
    format_token = EngineStandin._format_token

    def format_late(engine: EngineStandin, number: int) -> str:
        if number == event:
            eventlet.sleep(silences.get(engine, 0))
        return format_token(engine, number)

    monkeypatch.setattr(EngineStandin, '_format_token', format_late)
