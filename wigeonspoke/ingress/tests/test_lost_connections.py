"""A reset that one user of a connection is told of must reach its reader.

The kernel reports a reset once.  Whoever comes first consumes it, and the next
read returns a regular end, which completes a body without a length.
"""

import time
from collections.abc import Callable

import eventlet
import pytest

from wigeonspoke.ingress.requests.connection_pool import ConnectionPool
from wigeonspoke.ingress.tests.whole_bodies import read_body
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.platform.standins.raw_server import RawServer
from wigeonspoke.transport import BodyEnd, ReadTimeout

DEADLINE_SECONDS = 5.0
# Until a reset by the loopback interface has arrived.
ARRIVAL_SECONDS = 0.05
HEAD = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
PART = b'part'
REQUEST = (('Host', 'x'),)


def _look(attempt: EndpointAttempt) -> None:
    attempt.has_input()


def _look_twice(attempt: EndpointAttempt) -> None:
    _look(attempt)
    _look(attempt)


def _send_more(attempt: EndpointAttempt) -> None:
    # What the task does that sends the body of a large request.
    attempt._send_all(b'x')


def _send_twice(attempt: EndpointAttempt) -> None:
    _send_more(attempt)
    _send_more(attempt)


def _look_and_send(attempt: EndpointAttempt) -> None:
    _look(attempt)
    _send_more(attempt)


def _pause(_attempt: EndpointAttempt) -> None:
    # A suspended process finds the bytes and the reset when it wakes.
    time.sleep(ARRIVAL_SECONDS)


def _wait_in_vain(attempt: EndpointAttempt) -> None:
    try:
        attempt.read_body_part(time.monotonic())
    except (AttemptError, ReadTimeout):
        return


USERS = (
    _look,
    _look_twice,
    _send_more,
    _send_twice,
    _look_and_send,
    _pause,
    _wait_in_vain,
    EndpointAttempt.abort,
)


@pytest.fixture
def server():
    """Yield a server that resets after a part of a body without a length."""

    def respond(_request, connection):
        connection.write(HEAD + PART)
        eventlet.sleep(ARRIVAL_SECONDS)
        connection.reset()

    started = RawServer(respond)
    yield started
    started.close()


def _begin(
    address: str, pool: ConnectionPool | None = None
) -> tuple[EndpointAttempt, float]:
    attempt = EndpointAttempt(address, pool)
    attempt.connect(DEADLINE_SECONDS)
    attempt.send('GET', '/x', REQUEST, b'')
    deadline = time.monotonic() + DEADLINE_SECONDS
    attempt.read_head(deadline)
    return attempt, deadline


# A part of an answer was passed on as the whole, since the reset was met by a
# look at the silent attempt while another replica was tried.
@pytest.mark.parametrize('use', USERS)
def test_a_reset_that_another_user_meets_does_not_complete_a_body(server, use):
    attempt, deadline = _begin(server.address)
    assert attempt.read_body_part(deadline) == PART
    eventlet.sleep(2 * ARRIVAL_SECONDS)
    use(attempt)
    assert not attempt.has_input()
    with pytest.raises(AttemptError, match='connection-lost'):
        read_body(attempt, deadline)
    # The end is remembered, so that it does not matter who asks again.
    with pytest.raises(AttemptError, match='connection-lost'):
        attempt.read_body_part(deadline)
    attempt.close()


# The same with bytes before the reset: they are read, and the body is cut.
@pytest.mark.parametrize('use', [_send_more, _send_twice, _pause])
def test_bytes_before_a_reset_do_not_complete_a_body(server, use):
    attempt, deadline = _begin(server.address)
    eventlet.sleep(2 * ARRIVAL_SECONDS)
    use(attempt)
    parts = []
    with pytest.raises(AttemptError, match='connection-lost'):
        while BodyEnd.CLOSE not in parts:
            parts.append(attempt.read_body_part(deadline))
    assert b''.join(parts) in {PART, b''}
    attempt.close()


# The time for a request is cut short at the end of a process, while another
# task reads: neither the answer is whole then, nor has the endpoint broken off.
def test_a_request_whose_time_was_cut_short_has_timed_out(server):
    attempt, deadline = _begin(server.address)
    assert attempt.read_body_part(deadline) == PART
    attempt.expire()
    with pytest.raises(ReadTimeout):
        read_body(attempt, deadline)
    assert not attempt.is_ended_by_peer
    attempt.close()


# A body that ends with a regular end of its connection is whole.
@pytest.mark.parametrize('use', [_look, _look_twice, _pause])
def test_a_regular_end_completes_a_body(use):
    def respond(_request, connection):
        connection.write(HEAD + PART)
        connection.sock.close()

    server = RawServer(respond)
    attempt, deadline = _begin(server.address)
    assert attempt.read_body_part(deadline) == PART
    eventlet.sleep(ARRIVAL_SECONDS)
    use(attempt)
    assert attempt.has_input()
    assert read_body(attempt, deadline) == b''
    attempt.close()
    server.close()


# A connection that was reset while it was idle serves no other request.
@pytest.mark.parametrize('use', [_look, _send_more])
def test_a_lost_connection_is_not_used_again(use: Callable):
    def respond(_request, connection):
        connection.write(b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n' + PART)
        eventlet.sleep(ARRIVAL_SECONDS)
        connection.reset()

    server = RawServer(respond)
    pool = ConnectionPool()
    attempt, deadline = _begin(server.address, pool)
    assert read_body(attempt, deadline) == PART
    eventlet.sleep(2 * ARRIVAL_SECONDS)
    use(attempt)
    attempt.close()
    assert pool.take(server.address) is None
    server.close()
