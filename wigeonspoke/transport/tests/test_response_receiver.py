"""Limits of what is received of a response."""

import socket
import time

import eventlet
import pytest

from wigeonspoke.transport import (
    ReadTimeout,
    ResponseReceiver,
    ResponseTooLarge,
)
from wigeonspoke.transport.response_receiver import (
    GATE,
    MAX_LATE_BYTES,
    MAX_LATE_SECONDS,
    MAX_RESPONSE_BYTES,
    RECEIVE_BYTES,
)

SENT = bytes(range(256)) * 12288
DEADLINE_SECONDS = 5.0


@pytest.fixture
def receiver(request):
    """Yield the receiver of a connection whose peer sends bytes."""
    sender, sock = socket.socketpair()
    greenlet = eventlet.spawn(sender.sendall, request.param)
    eventlet.sleep(0)
    yield ResponseReceiver(sock.fd)
    greenlet.kill()
    sender.close()
    sock.close()


def _sent(payload: bytes):
    return pytest.mark.parametrize('receiver', [payload], indirect=True)


def _read_late(receiver: ResponseReceiver) -> bytes:
    """Read after the deadline until nothing more may be read."""
    received: list[bytes] = []
    passed = time.monotonic() - 1
    while True:
        try:
            received.append(receiver.receive(passed))
        except ReadTimeout:
            return b''.join(received)


@_sent(b'in time')
def test_bytes_that_are_there_are_read_after_the_deadline(receiver):
    assert _read_late(receiver) == b'in time'


@_sent(SENT)
def test_reading_goes_on_after_a_timeout_without_loss(receiver):
    received = _read_late(receiver)
    deadline = time.monotonic() + DEADLINE_SECONDS
    while len(received) < len(SENT):
        received += receiver.receive(deadline)
    assert received == SENT


@_sent(SENT)
def test_a_sender_that_goes_on_after_the_deadline_is_left(receiver):
    late = 0
    while receiver.late_bytes < MAX_LATE_BYTES:
        eventlet.sleep(0)
        late += len(_read_late(receiver))
    assert MAX_LATE_BYTES <= late < MAX_LATE_BYTES + RECEIVE_BYTES
    with pytest.raises(ReadTimeout):
        receiver.receive(time.monotonic() - 1)


@_sent(b'x')
def test_a_response_has_a_largest_size(receiver):
    receiver.received_bytes = MAX_RESPONSE_BYTES
    with pytest.raises(ResponseTooLarge):
        receiver.receive(time.monotonic() + DEADLINE_SECONDS)


@_sent(b'x')
def test_each_response_on_a_connection_is_counted_anew(receiver):
    receiver.received_bytes = MAX_RESPONSE_BYTES
    receiver.begin_response()
    deadline = time.monotonic() + DEADLINE_SECONDS
    assert receiver.receive(deadline) == b'x'


# A peer that goes on sending small pieces after the deadline held its reader
# for as long as a mebibyte of them takes to parse.
@_sent(SENT)
def test_reading_after_the_deadline_ends_by_time(receiver):
    receiver.receive(time.monotonic() - 1)
    receiver.late_since = time.monotonic() - MAX_LATE_SECONDS
    with pytest.raises(ReadTimeout):
        receiver.receive(time.monotonic() - 1)
    in_time = time.monotonic() + DEADLINE_SECONDS
    assert receiver.receive(in_time)
    assert receiver.receive(time.monotonic() - 1)


# Many readers that never wait left no time for anything else.
def test_readers_of_small_elements_run_one_after_the_other():
    running = []

    def read(number):
        GATE.wait()
        running.append(number)

    readers = [eventlet.spawn(read, number) for number in range(4)]
    eventlet.sleep(0)
    assert not running
    for reader in readers:
        reader.wait()
    assert running == [0, 1, 2, 3]
