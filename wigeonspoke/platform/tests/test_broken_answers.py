"""An answer that is broken off does not reach its client as complete."""

import pytest
from eventlet.hubs import trampoline

from wigeonspoke.ingress.streams.event_splitter import MAX_EVENT_BYTES
from wigeonspoke.platform.tests.harness import (
    TIMEOUT_SECONDS,
    Client,
    send_request,
)
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    expect_truncated_stream,
    head_engine,
    request_stream,
)
from wigeonspoke.transport import BodyEnd
from wigeonspoke.transport.tests.endless_sender import EndlessSender

# Bytes of an event that are sent before its body ends; -1 for all but one.
INSIDE_ID = 3
INSIDE_DATA = 14
BEFORE_EMPTY_LINE = -1
RECEIVE_BYTES = 65536
ENDS = (BodyEnd.CLOSE, BodyEnd.LAST_CHUNK)


def _read_to_end(sock) -> None:
    """Read until the connection ends; a reset raises."""
    # The green socket would report a reset as an ordinary end.
    received = b'-'
    while received:
        trampoline(sock.fd, read=True, timeout=TIMEOUT_SECONDS)
        received = sock.fd.recv(RECEIVE_BYTES)


def _break_off(engine, end: BodyEnd, event: int, sent_bytes: int) -> None:
    engine.body_end = end
    engine.breaks_off_at_event = event
    engine.broken_event_bytes = sent_bytes


def test_a_stream_may_end_with_its_connection(placed_harness):
    head_engine(placed_harness, 'one').body_end = BodyEnd.CLOSE
    body = request_stream(placed_harness)[2]
    assert event_ids(body) == ALL_EVENTS
    assert not head_engine(placed_harness, 'two').received


# An answer broken off reached its caller as complete.
@pytest.mark.parametrize('end', ENDS)
@pytest.mark.parametrize('event', [1, 10, 20])
@pytest.mark.parametrize(
    'sent_bytes', [INSIDE_ID, INSIDE_DATA, BEFORE_EMPTY_LINE]
)
def test_a_stream_that_ends_inside_an_event_is_resumed(
    placed_harness, end, event, sent_bytes
):
    _break_off(head_engine(placed_harness, 'one'), end, event, sent_bytes)
    body = request_stream(placed_harness)[2]
    assert event_ids(body) == ALL_EVENTS
    assert body.count(b'\n\n') == len(ALL_EVENTS)
    resumed = head_engine(placed_harness, 'two').runs[0]
    last_event = '' if event == 1 else str(event - 1)
    assert resumed.headers.get('last-event-id', '') == last_event


@pytest.mark.parametrize('end', ENDS)
def test_a_stream_that_no_chain_completes_does_not_look_complete(
    placed_harness, end
):
    for zone in ('one', 'two'):
        _break_off(head_engine(placed_harness, zone), end, 8, INSIDE_DATA)
    expect_truncated_stream(placed_harness)


def test_a_stream_that_ends_with_its_connection_before_any_event(
    placed_harness,
):
    _break_off(head_engine(placed_harness, 'one'), BodyEnd.CLOSE, 1, 0)
    body = request_stream(placed_harness)[2]
    assert event_ids(body) == ALL_EVENTS


# The second engine has nothing to add, although the first one had begun
# event 8.
@pytest.mark.parametrize('end', ENDS)
def test_an_empty_rest_does_not_complete_a_stream_with_a_begun_event(
    placed_harness, end
):
    _break_off(head_engine(placed_harness, 'one'), end, 8, INSIDE_DATA)
    _break_off(head_engine(placed_harness, 'two'), end, 8, 0)
    expect_truncated_stream(placed_harness)


# HTTP/1.0 has no chunks: only a reset shows that the response is broken off.
def test_a_client_without_chunks_sees_a_reset(placed_harness):
    for zone in ('one', 'two'):
        head_engine(placed_harness, zone).reset_at_event = 8
    client = Client(placed_harness)
    client.send_raw(
        b'POST /draft/x HTTP/1.0\r\nHost: shop.example\r\nRequest-Id: id1\r\n'
        b'Credential: key-of-acme\r\nDeadline-Ms: 3000\r\n'
        b'Content-Length: 1\r\n\r\np'
    )
    with pytest.raises(ConnectionResetError):
        _read_to_end(client.sock)
    client.close()


@pytest.mark.parametrize(('must_reset', 'status'), [(False, 200), (True, 502)])
def test_a_call_that_ends_with_a_reset_is_not_complete(
    harness, must_reset, status
):
    def respond(request, connection):
        connection.write(
            b'HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n'
            b'Response-Signature: s\r\nConnection: close\r\n\r\nbody'
        )
        if must_reset:
            connection.reset()
        else:
            connection.sock.close()

    for replica in harness.replicas:
        replica.server.handle = respond
    assert send_request(harness, 'POST', '/write/x', 'id1', body=b'b')[0] == (
        status
    )


def _redirect(harness, endpoint, address: str) -> None:
    """Register an endpoint at another address; wait until the node knows."""
    entry = {**endpoint.registry_entry(), 'address': address}
    harness.store.put('servers', endpoint.endpoint_id, entry)
    endpoints = harness.node.state.fleet.endpoints
    harness.wait_until(
        lambda: endpoints[endpoint.endpoint_id].address == address
    )


@pytest.fixture
def sender():
    """Yield an endpoint that sends an answer without end."""
    head = b'\r\n'.join(
        (
            b'HTTP/1.1 200 OK',
            b'Request-Id: id1',
            b'Response-Signature: s',
            b'Content-Type: text/event-stream',
            b'\r\n',
        )
    )
    started = EndlessSender(head, b'x', MAX_EVENT_BYTES)
    yield started
    started.close()


def test_a_call_leaves_a_replica_that_sends_without_end(harness, sender):
    _redirect(harness, harness.replicas[0], sender.address)
    status, headers, _ = send_request(harness, 'GET', '/read/x', 'id1')
    assert (status, headers['response-signature']) == (200, 'stamp.r-two')
    assert sender.read_result()[0]


def test_a_stream_leaves_an_engine_that_sends_without_end(
    placed_harness, sender
):
    head = head_engine(placed_harness, 'one')
    _redirect(placed_harness, head, sender.address)
    placed_harness.wait_until(lambda: len(placed_harness.chains()) == 2)
    body = request_stream(placed_harness)[2]
    assert event_ids(body) == ALL_EVENTS
    assert sender.read_result()[0]
