"""A silent chain is reset while its stream is tried at another one."""

import eventlet
import pytest

from wigeonspoke.platform.standins import EngineStandin
from wigeonspoke.platform.tests.harness import Client, make_configuration
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    head_engine,
)
from wigeonspoke.platform.tests.test_reset_of_a_silent_replica import (
    SILENT_SECONDS,
    refuse_at_deadline,
)

LAST_EVENT = 8
GAP_SECONDS = 0.1
TIMEOUT_MS = 2900


def _stream_head(engine, request) -> bytes:
    lines = (
        'HTTP/1.1 200 OK',
        f'Request-Id: {request.headers["request-id"]}',
        f'Response-Signature: s.{engine.endpoint_id}',
        'Content-Type: text/event-stream',
        'Connection: close',
    )
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def _break_off_once(monkeypatch, first) -> list[EngineStandin]:
    """Make an engine reset its first stream; return who was sent one.

    The others have streams in their queues until the deadline.
    """
    handled = []

    def serve(self, request, connection):
        handled.append(self)
        if self is not first or len(handled) > 1:
            refuse_at_deadline(request, connection)
            return
        connection.write(_stream_head(self, request))
        for number in range(1, LAST_EVENT + 1):
            connection.write(b'id: %d\ndata: x\n\n' % number)
            eventlet.sleep(GAP_SECONDS)
        eventlet.sleep(SILENT_SECONDS)
        connection.reset()

    monkeypatch.setattr(EngineStandin, '_handle_stream', serve)
    return handled


def _configure(harness) -> None:
    configuration = make_configuration(version=2)
    for route in configuration['routes']:
        route['timeout-ms'] = TIMEOUT_MS
    harness.configure(configuration)


# A stream without a length, reset after event 8 of 20 while the other chain had
# it in its queue, ended as complete: its client had no reason to resume it.
def test_a_reset_of_a_silent_chain_does_not_complete_its_stream(
    placed_harness, monkeypatch
):
    _configure(placed_harness)
    handled = _break_off_once(monkeypatch, head_engine(placed_harness, 'one'))
    client = Client(placed_harness)
    client.send('POST', '/draft/x', 'id1', body=b'p', Model='m')
    client.read_head()
    parts = []
    with pytest.raises(AssertionError, match='truncated response'):
        parts.extend(client.read_chunks())
    assert event_ids(b''.join(parts)) in ([], ALL_EVENTS[:LAST_EVENT])
    assert len(handled) > 1
    client.close()
