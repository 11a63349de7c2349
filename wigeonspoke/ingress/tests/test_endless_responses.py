"""A response without end stops neither its reader nor the event loop."""

import time

import eventlet
import pytest
from returns.result import Success

from wigeonspoke.ingress.tests.whole_bodies import read_body
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.ingress.streams.event_splitter import (
    EventSplitter,
    EventTooLarge,
)
from wigeonspoke.platform.standins.raw_server import RawServer
from wigeonspoke.transport import HttpClient, ReadTimeout, ResponseReceiver
from wigeonspoke.transport.response_receiver import MAX_LATE_BYTES
from wigeonspoke.transport.tests.endless_sender import (
    MAX_SENT_BYTES,
    EndlessSender,
)

DEADLINE_SECONDS = 0.5
TICK_SECONDS = 0.01
# A tenth of the ticks that fit before the deadline.
MIN_TICKS = 5
# Processor time of this process for one response, whatever else runs beside.
MAX_PROCESSOR_SECONDS = 2.0
MEGABYTE = 1048576

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
RESPONSES = {
    'one event': (HEAD + b'\r\n', b'x', MEGABYTE),
    'events without number': (HEAD + b'\r\n', b'data: x\n\n', 50000),
    'the same event': (HEAD + b'\r\n', b'id: 1\ndata: x\n\n', 50000),
    'chunks': (CHUNKED_HEAD, b'4\r\ndata\r\n', 100000),
    'empty lines': (HEAD + b'\r\n', b'\n', MEGABYTE),
    'early hints': (b'', b'HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n', 20000),
    'continue': (b'', b'HTTP/1.1 100 Continue\r\n\r\n', 20000),
    'header line': (HEAD, b'x', MEGABYTE),
    'headers': (HEAD, b'a: b\r\n', 100000),
    'chunk size': (CHUNKED_HEAD, b'0', MEGABYTE),
    'trailers': (CHUNKED_HEAD + b'0\r\n', b'a: b\r\n', 100000),
}


class _Ticker:
    """Counts how often the event loop runs another task."""

    def __init__(self) -> None:
        self.ticks = 0
        self.greenlet = eventlet.spawn(self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(TICK_SECONDS)
            self.ticks += 1


class _ReceiverSpy:
    """Notes what is received after the deadline.

    The deadline is counted from the first read.  A reader has set its own
    before, and it may pass any other to the receiver.
    """

    def __init__(self) -> None:
        self.receive = ResponseReceiver.receive
        self.deadline: float | None = None
        # Sizes of the reads that began after the deadline.
        self.late_sizes: list[int] = []

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Pass each read of each receiver through this object."""

        def receive(receiver, *arguments):
            return self._receive(receiver, *arguments)

        monkeypatch.setattr(ResponseReceiver, 'receive', receive)

    def _receive(self, receiver: ResponseReceiver, *arguments) -> bytes:
        now = time.monotonic()
        if self.deadline is None:
            self.deadline = now + DEADLINE_SECONDS
        received = self.receive(receiver, *arguments)
        if now > self.deadline:
            self.late_sizes.append(len(received))
        return received


@pytest.fixture
def spy(monkeypatch):
    installed = _ReceiverSpy()
    installed.install(monkeypatch)
    return installed


@pytest.fixture
def ticker():
    started = _Ticker()
    yield started
    started.greenlet.kill()


@pytest.fixture
def sender(request):
    started = EndlessSender(*RESPONSES[request.param])
    yield started
    started.close()


def _begin(address: str) -> tuple[EndpointAttempt, float]:
    attempt = EndpointAttempt(address)
    attempt.connect(DEADLINE_SECONDS)
    attempt.send('POST', '/x', (('Host', 'x'),), b'p')
    deadline = time.monotonic() + DEADLINE_SECONDS
    return attempt, deadline


def _read_stream(address: str) -> str:
    attempt, deadline = _begin(address)
    splitter = EventSplitter()
    try:
        attempt.read_head(deadline)
        part = attempt.read_body_part(deadline)
        while isinstance(part, bytes):
            splitter.feed(part)
            part = attempt.read_body_part(deadline)
    except (AttemptError, EventTooLarge, ReadTimeout) as error:
        return type(error).__name__
    finally:
        attempt.close()
    return 'complete'


def _read_call(address: str) -> str:
    attempt, deadline = _begin(address)
    try:
        attempt.read_head(deadline)
        read_body(attempt, deadline)
    except (AttemptError, EventTooLarge, ReadTimeout) as error:
        return type(error).__name__
    finally:
        attempt.close()
    return 'complete'


def _read_reply(address: str) -> str:
    result = HttpClient().get(address, '/v1/report', DEADLINE_SECONDS)
    return 'complete' if isinstance(result, Success) else 'failed'


def _read_reply_lines(address: str) -> str:
    result = HttpClient().post_and_stream_lines(
        address, '/', b'', DEADLINE_SECONDS, lambda line: None
    )
    return 'complete' if isinstance(result, Success) else 'failed'


# A faulty endpoint stopped a whole node: reading went on past the deadline and
# let no other task run.
@pytest.mark.parametrize('sender', RESPONSES, indirect=True)
@pytest.mark.parametrize(
    'read', [_read_stream, _read_call, _read_reply, _read_reply_lines]
)
def test_an_endless_response_ends_with_an_error(sender, read, spy):
    started_at = time.process_time()
    assert read(sender.address) != 'complete'
    assert time.process_time() - started_at < MAX_PROCESSOR_SECONDS
    was_closed, sent_bytes = sender.read_result()
    assert was_closed
    assert sent_bytes < MAX_SENT_BYTES
    assert spy.deadline is not None
    # The read that reaches the limit is the last one.
    assert sum(spy.late_sizes[:-1]) < MAX_LATE_BYTES


@pytest.mark.parametrize(
    'sender', ['events without number', 'the same event'], indirect=True
)
def test_other_tasks_run_while_an_endless_response_is_read(sender, ticker):
    _read_stream(sender.address)
    assert ticker.ticks >= MIN_TICKS


@pytest.mark.parametrize(
    'informational',
    [
        b'',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n',
    ],
)
def test_an_informational_response_is_not_the_reply(informational):
    def respond(_request, connection):
        connection.write(
            informational + b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        )

    server = RawServer(respond)
    result = HttpClient().get(server.address, '/', DEADLINE_SECONDS)
    server.close()
    assert result.map(lambda reply: (reply.status, reply.body)) == Success(
        (200, b'ok')
    )
