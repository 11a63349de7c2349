"""A stream has begun and breaks off, and the next chain answers an error."""

import time

import eventlet
import pytest

from wigeonspoke.platform.standins import EngineStandin
from wigeonspoke.platform.tests.deployment import Deployment
from wigeonspoke.platform.tests.harness import Client
from wigeonspoke.platform.tests.isolation import Cut, Isolation
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    head_engine,
    request_stream,
)

ERROR = b'overloaded, see the log'
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n'
    b'Content-Type: text/event-stream\r\n'
)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CLOSE = b'Connection: close\r\n\r\n'


def _head(status: int, *lines: bytes) -> bytes:
    signed = (b'Request-Id: id1', b'Response-Signature: s', *lines)
    return b'HTTP/1.1 %d Status\r\n%s\r\n\r\n' % (status, b'\r\n'.join(signed))


def _chunk(body: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(body), body)


def _framed(status: int) -> bytes:
    return _head(status, b'Content-Length: %d' % len(ERROR)) + ERROR


SECOND_HEAD = _framed(503)
ERROR_EVENT = b'event: error\ndata: %s\n\n' % ERROR
# What the next chain writes, in packets; its connection ends after them.
ANSWERS = {
    '400': [_framed(400)],
    '500': [_framed(500)],
    '503 with a body': [_framed(503)],
    '500 in chunks': [
        _head(500, b'Transfer-Encoding: chunked'),
        _chunk(ERROR) + b'0\r\n\r\n',
    ],
    '500 without a length': [_head(500, b'Connection: close') + ERROR],
    '500 as a stream': [
        _head(
            500,
            b'Content-Type: text/event-stream',
            b'Content-Length: %d' % len(ERROR_EVENT),
        )
        + ERROR_EVENT
    ],
    'head in two packets': [SECOND_HEAD[:30], SECOND_HEAD[30:]],
    'error event in chunks': [
        STREAM_HEAD + CHUNKED + _chunk(ERROR_EVENT) + b'0\r\n\r\n'
    ],
    'error event until the end': [STREAM_HEAD + CLOSE + ERROR_EVENT],
    'second head until the end': [STREAM_HEAD + CLOSE, SECOND_HEAD],
    'second head in lines': [
        STREAM_HEAD + CLOSE,
        SECOND_HEAD.replace(b'\r\n', b'\n') + b'\n\n',
    ],
    'second head for a chunk': [STREAM_HEAD + CHUNKED, SECOND_HEAD],
    'second head in a chunk': [
        STREAM_HEAD + CHUNKED + _chunk(SECOND_HEAD + b'\r\n\r\n'),
        b'0\r\n\r\n',
    ],
    'text in chunks': [
        STREAM_HEAD + CHUNKED + _chunk(ERROR) + b'0\r\n\r\n',
    ],
    'text until the end': [STREAM_HEAD + CLOSE + ERROR],
}


def _answer_with(monkeypatch, engine, packets) -> None:
    """Let an engine write these packets in answer to each stream."""
    original = EngineStandin._handle_stream

    def handle(self, request, connection):
        if self is not engine:
            original(self, request, connection)
            return
        for packet in packets:
            connection.write(packet)
            eventlet.sleep(0.02)
        connection.sock.close()

    monkeypatch.setattr(EngineStandin, '_handle_stream', handle)


def _expect_no_error(body: bytes) -> None:
    assert ERROR not in body
    assert b'HTTP/1' not in body
    assert b'error' not in body
    assert event_ids(body) == ALL_EVENTS[:7]


# Clients found the text of an error, or its head, in the middle of a stream.
@pytest.mark.parametrize('answer', ANSWERS)
def test_an_error_of_the_next_chain_is_no_part_of_a_stream(
    placed_harness, monkeypatch, answer
):
    head_engine(placed_harness, 'one').reset_at_event = 8
    second = head_engine(placed_harness, 'two')
    _answer_with(monkeypatch, second, ANSWERS[answer])
    body = b''.join(_collect_broken(placed_harness))
    _expect_no_error(body)


def _collect_broken(harness, node=None):
    client = Client(harness, node)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    assert client.read_head()[0] == 200
    with pytest.raises(AssertionError, match='truncated response'):
        yield from client.read_chunks()
    client.close()


@pytest.mark.parametrize('answer', ANSWERS)
def test_an_error_of_a_peers_chain_is_no_part_of_a_stream(
    placed_harness, monkeypatch, answer
):
    isolation = Isolation(monkeypatch, placed_harness)
    deployment = Deployment(placed_harness, 2)
    deployment.wait_until_served()
    node, peer = deployment.nodes
    for number in range(10):
        request_stream(placed_harness, f'before-{number}', node=peer)
    reachability = node.state.reachability
    placed_harness.wait_until(
        lambda: reachability.count_peers('drafting', time.monotonic())
    )
    isolation.cut = Cut.RESET
    isolation.names = {'node-1'}
    head_engine(placed_harness, 'two').reset_at_event = 8
    first = head_engine(placed_harness, 'one')
    _answer_with(monkeypatch, first, ANSWERS[answer])
    try:
        body = b''.join(_collect_broken(placed_harness, node))
    finally:
        deployment.close()
    _expect_no_error(body)


# The client has events of an earlier response, and this one begins with an
# error.
@pytest.mark.parametrize('answer', ANSWERS)
def test_an_error_is_no_part_of_a_stream_that_its_client_resumes(
    placed_harness, monkeypatch, answer
):
    first = head_engine(placed_harness, 'one')
    _answer_with(monkeypatch, first, ANSWERS[answer])
    status, _, body = request_stream(placed_harness, Last_Event_Id='7')
    assert status == 200
    assert ERROR not in body
    assert event_ids(body) == ALL_EVENTS[7:]
