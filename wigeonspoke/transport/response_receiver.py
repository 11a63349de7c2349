"""Receiving the bytes of a response, within limits.

A faulty peer may send without end.  Every reader of responses receives its
bytes here, so that no peer can take more than a bounded amount of time and
memory, or keep the event loop from running other tasks.
"""

import math
import socket
import time
from contextlib import suppress

import eventlet
from eventlet.hubs import trampoline

from wigeonspoke.transport.connection_loss import ConnectionLoss, Operation
from wigeonspoke.transport.turn_gate import TURN_ELEMENTS, TurnGate

# Small enough that parsing what one call returns does not delay other tasks.
RECEIVE_BYTES = 16384
# How much is received at first and at least, since the bytes of some peers take
# long to parse.
FIRST_RECEIVE_BYTES = 4096
MIN_RECEIVE_BYTES = 2048
# Bytes received without a pause after which other tasks run.
TURN_BYTES = 65536
# The same for the time, which includes what the caller does with the bytes.
TURN_SECONDS = 0.002
# Bytes that were sent in time may still be read after the deadline, since this
# process may have been paused.
MAX_LATE_BYTES = 1048576
MAX_LATE_SECONDS = 0.2
MAX_RESPONSE_BYTES = 67108864
# Heads that may come before the one of the response, such as Early Hints.
MAX_INFORMATIONAL_HEADS = 16
# All readers of this process run on one event loop.
GATE = TurnGate()


class ReadTimeout(TimeoutError):
    """No data arrived before the deadline; reading may continue."""


class ResponseTooLarge(OSError):
    """The peer sent more bytes than a response may have."""


class ResponseReceiver:
    """Receives the bytes of responses on a non-blocking socket.

    Deadlines are on the monotonic clock.

    The kernel reports an error of a connection once, to whichever call comes
    first: a look at the input, a read, or a send by another task.  Later reads
    return a regular end.  All uses of the connection are therefore recorded
    here: ``loss`` is the first error that any of them has met, None if there
    was none.  Once the bytes received before it are read, each read raises it.
    """

    __slots__ = (
        'is_drained',
        'late_bytes',
        'late_since',
        'loss',
        'received_bytes',
        'receive_bytes',
        'sock',
        'turn_began_at',
        'turn_bytes',
        'turn_elements',
    )

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        # Whether the last read emptied the socket's receive buffer.
        self.is_drained = True
        # Bytes received after the current deadline.
        self.late_bytes = 0
        # Since when bytes have been read without a pause after the deadline.
        self.late_since = math.inf
        self.received_bytes = 0
        # Bytes to receive at once.
        self.receive_bytes = FIRST_RECEIVE_BYTES
        # Bytes received and elements parsed since other tasks could last run.
        self.turn_bytes = 0
        self.turn_elements = 0
        self.turn_began_at = time.monotonic()
        self.loss: ConnectionLoss | None = None

    def begin_response(self) -> None:
        """Count the bytes of another response on the same connection."""
        self.received_bytes = 0

    def record_loss(self, operation: Operation, error: OSError) -> None:
        """Record an error of the connection; only the first one counts."""
        if self.loss is None:
            self.loss = ConnectionLoss(operation, error)

    def add_elements(self, count: int) -> None:
        """Count elements that the caller has parsed, such as events.

        Many small ones take longer than the same bytes in a large one.
        """
        self.turn_elements += count

    def look(self) -> bytes | None:
        """Return the next byte without receiving it, None if there is none.

        It is ``b''`` at the end; ``loss`` tells whether that is regular.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as error:
            self.record_loss(Operation.LOOK, error)
            return b''

    def receive(self, deadline: float, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Return received bytes, or ``b''`` at the regular end.

        Raises
        ------
        ReadTimeout
            No data arrived before the deadline, or the peer goes on sending
            after it.
        ResponseTooLarge
            The response is larger than ``MAX_RESPONSE_BYTES``.
        OSError
            The connection broke.
        """
        self._let_others_run()
        max_bytes = min(max_bytes, self.receive_bytes)
        while True:
            is_late = self._wait_for_bytes(deadline)
            received = self._receive_available(max_bytes)
            if received is not None:
                self._count(received, max_bytes, is_late)
                return received
            if is_late:
                raise ReadTimeout

    def _let_others_run(self) -> None:
        """Let other tasks run after many bytes or elements, or a long time."""
        if self.is_drained:
            return
        if self.turn_elements >= TURN_ELEMENTS:
            halved = self.receive_bytes // 2
            self.receive_bytes = max(MIN_RECEIVE_BYTES, halved)
            GATE.wait()
            self._begin_turn()
            return
        self.receive_bytes = min(RECEIVE_BYTES, 2 * self.receive_bytes)
        seconds = time.monotonic() - self.turn_began_at
        if self.turn_bytes >= TURN_BYTES or seconds >= TURN_SECONDS:
            eventlet.sleep(0)
            self._begin_turn()

    def _begin_turn(self) -> None:
        self.turn_began_at = time.monotonic()
        self.turn_bytes = 0
        self.turn_elements = 0

    def _receive_available(self, max_bytes: int) -> bytes | None:
        """Return available bytes: empty at the end, None if there are none."""
        try:
            received = self.sock.recv(max_bytes)
        except BlockingIOError:
            self.is_drained = True
            self.late_since = math.inf
            return None
        except OSError as error:
            self.record_loss(Operation.READ, error)
            raise
        if not received and self.loss is not None:
            raise self.loss.error
        return received

    def _count(self, received: bytes, max_bytes: int, is_late: bool) -> None:
        size = len(received)
        self.is_drained = size < max_bytes
        self.received_bytes += size
        self.turn_bytes += size
        if self.received_bytes > MAX_RESPONSE_BYTES:
            raise ResponseTooLarge(f'{self.received_bytes} bytes')
        if is_late:
            self.late_bytes += size

    def _wait_for_bytes(self, deadline: float) -> bool:
        """Wait if none are known to be there; return whether it is too late."""
        remaining_seconds = deadline - time.monotonic()
        if remaining_seconds <= 0:
            self._check_late()
            return True
        self.late_bytes = 0
        self.late_since = math.inf
        if self.is_drained:
            self._wait(remaining_seconds)
        return False

    def _check_late(self) -> None:
        """Raise if a peer goes on sending after the deadline."""
        now = time.monotonic()
        self.late_since = min(self.late_since, now)
        is_over = now - self.late_since > MAX_LATE_SECONDS
        if is_over or self.late_bytes >= MAX_LATE_BYTES:
            raise ReadTimeout

    def _wait(self, seconds: float) -> None:
        self.late_since = math.inf
        with suppress(socket.timeout):
            trampoline(
                self.sock,
                read=True,
                timeout=seconds,
                timeout_exc=socket.timeout,
            )
        self._begin_turn()
