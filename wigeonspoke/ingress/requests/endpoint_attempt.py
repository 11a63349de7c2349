"""One attempt to send a request to one endpoint.

A request that must not run twice uses a new connection: a failure to connect
then proves that nothing was sent, and late bytes cannot belong to another
request.  Other requests may use a pooled connection; their response is
matched by its request id.
"""

import math
import re
import socket
import time
from contextlib import suppress

import eventlet
import h11
from eventlet.green import socket as green_socket

from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.ingress.requests.connection_pool import ConnectionPool
from wigeonspoke.ingress.protocols import HeaderList
from wigeonspoke.transport import (
    MAX_INFORMATIONAL_HEADS,
    RECEIVE_BUFFER_BYTES,
    BodyEnd,
    ChunkedDecoder,
    ChunkError,
    Operation,
    ReadTimeout,
    ResponseReceiver,
    ResponseTooLarge,
    find_body_end,
    reset_on_close,
)

# A payload of this size fits the peer's receive window and is sent inline;
# a larger one is sent by a greenlet while the response is awaited.
INLINE_BODY_BYTES = 16384
# TCP_USER_TIMEOUT: the connection breaks if sent data stays unacknowledged for
# this long.
UNACKNOWLEDGED_MILLISECONDS = 3000
# Fraction of the endpoint's keep-alive timeout during which a connection is
# reused, so that it is not used just as the endpoint closes it.
KEEP_ALIVE_FRACTION = 0.5
MIN_CONNECT_SECONDS = 0.001

_KEEP_ALIVE = re.compile(rb'timeout=([0-9]{1,6})')


class AttemptError(Exception):
    """The attempt failed without a response; ``error`` holds the details."""

    def __init__(self, error: StepError) -> None:
        super().__init__(error.describe())
        self.error = error

    @property
    def is_refused(self) -> bool:
        """Whether no process listens at the address of the endpoint."""
        return isinstance(self.__cause__, ConnectionRefusedError)

    @property
    def is_timed_out(self) -> bool:
        """Whether no connection was established in time."""
        return isinstance(self.__cause__, TimeoutError)


class EndpointAttempt:
    """Sends a request to an endpoint and reads its response.

    Deadlines are on the monotonic clock.  Bytes already received are read
    before a timeout is raised, so that a pause of this process is not
    blamed on the endpoint.
    """

    __slots__ = (
        'body_end',
        'chunks',
        'connected_at',
        'is_aborted',
        'is_ended_by_peer',
        'is_expired',
        'keep_alive_seconds',
        'may_have_executed',
        'parser',
        'peer',
        'pool',
        'receiver',
        'sender',
        'sent_at',
        'sock',
    )

    def __init__(self, peer: str, pool: ConnectionPool | None = None) -> None:
        self.peer = peer
        # Pool that connections are taken from and returned to; None forces
        # a new connection.
        self.pool = pool
        # How long the connection may be reused after the response.
        self.keep_alive_seconds = 0
        # When a new connection was opened, None for one from the pool.
        self.connected_at: float | None = None
        self.parser = h11.Connection(h11.CLIENT)
        # What marks the end of the response body, as the head tells.
        self.body_end: BodyEnd | None = None
        # Decoder of a chunked response body, used instead of the h11 parser.
        self.chunks: ChunkedDecoder | None = None
        self.sock: green_socket.socket | None = None
        self.receiver: ResponseReceiver | None = None
        self.sender: eventlet.greenthread.GreenThread | None = None
        # When the request was sent, on the monotonic clock.
        self.sent_at = math.inf
        self.may_have_executed = False
        self.is_aborted = False
        # Whether the time for the request was cut short.
        self.is_expired = False
        # Whether the peer was seen to end the connection.
        self.is_ended_by_peer = False

    def connect(self, seconds: float) -> None:
        """Open a connection, or take an idle one from the pool."""
        if self.pool is not None:
            self.sock = self.pool.take(self.peer)
        if self.sock is None:
            self._open_connection(seconds)
        self.receiver = ResponseReceiver(self.sock.fd)
        if self.is_given_up:
            self._shut_down()

    def send(
        self,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        """Send the request; from here on it may have been executed."""
        framed = list(headers)
        if body or method not in {'GET', 'HEAD'}:
            framed.append(('Content-Length', str(len(body))))
        request = h11.Request(method=method, target=target, headers=framed)
        sent_head = self.parser.send(request)
        # The library must know of the body, but a copy of it is not needed.
        self.parser.send_with_data_passthrough(h11.Data(data=body))
        self.parser.send(h11.EndOfMessage())
        self.may_have_executed = True
        self.sent_at = time.monotonic()
        if len(sent_head) + len(body) > INLINE_BODY_BYTES:
            self.sender = eventlet.spawn(self._send_all, sent_head, body)
        else:
            self._send_all(sent_head + body)

    def read_head(self, deadline: float) -> h11.Response:
        """Read the head of the response.

        Raises
        ------
        AttemptError
            The connection broke, or the data is not a valid response.
        ReadTimeout
            No data arrived before the deadline; the caller may read on.
        """
        for _ in range(MAX_INFORMATIONAL_HEADS):
            event = self._next_event(deadline)
            if isinstance(event, h11.Response):
                self._process_head(event)
                return event
        raise self._error(Reason.CONTRACT, 'answer')

    def read_body_part(self, deadline: float) -> bytes | BodyEnd:
        """Read the next part of the body, or what marks its end.

        After :attr:`BodyEnd.CLOSE` only the content can tell whether the body
        is complete.
        """
        if self.chunks is not None:
            return self._read_chunks(self.chunks, deadline)
        event = self._next_event(deadline)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return self.body_end

    @property
    def is_unanswered(self) -> bool:
        """Whether a new connection was established and has given no byte."""
        return (
            self.connected_at is not None
            and not self.is_aborted
            and not self.receiver.received_bytes
        )

    @property
    def is_given_up(self) -> bool:
        """Whether this node has ended the exchange, not the endpoint."""
        return self.is_aborted or self.is_expired

    def has_input(self) -> bool:
        """Return whether the endpoint has sent more than was read.

        The regular end of a body that ends with its connection counts, too.
        """
        next_byte = None if self.receiver is None else self.receiver.look()
        if next_byte is None:
            return False
        may_end = self.body_end is BodyEnd.CLOSE and self.receiver.loss is None
        return may_end or bool(next_byte)

    def add_elements(self, count: int) -> None:
        """Count parsed elements of the body, such as chunks and events."""
        self.receiver.add_elements(count)

    def describe_loss(self) -> str:
        """Return for the log how the connection was lost, empty if it isn't."""
        loss = None if self.receiver is None else self.receiver.loss
        return '' if loss is None else loss.describe()

    def expire(self) -> None:
        """End the time for the request: reads are timed out from now on."""
        self.is_expired = True
        self._shut_down()

    def abort(self) -> None:
        """Shut the connection down, which also cancels the request."""
        self.is_aborted = True
        self._shut_down()

    def close(self) -> None:
        """Return a reusable connection to the pool, or close it."""
        if self.sock is None:
            return
        if self.pool is not None and self._is_reusable():
            self.pool.put(self.peer, self.sock, self.keep_alive_seconds)
            return
        if self.sender is not None:
            self.sender.kill()
        if self.is_given_up:
            # What the kernel still holds would be sent for seconds, and reach
            # the endpoint once the network is back.
            reset_on_close(self.sock)
        self.sock.close()

    def _shut_down(self) -> None:
        if self.sock is not None:
            # Only shut down here: the reader may be waiting on the socket and
            # closes it in ``close``.
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            if self.receiver is not None:
                self.receiver.record_loss(
                    Operation.SHUTDOWN, ConnectionAbortedError()
                )

    def _open_connection(self, seconds: float) -> None:
        host, _, port = self.peer.rpartition(':')
        self.sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_MILLISECONDS,
        )
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sock.settimeout(max(MIN_CONNECT_SECONDS, seconds))
        try:
            self.sock.connect((host, int(port)))
        except (OSError, ValueError, OverflowError) as error:
            # An address that is none is an endpoint that is not reached.
            raise self._error(Reason.CONNECT, 'connect') from error
        self.connected_at = time.monotonic()
        self.sock.setblocking(True)

    def _process_head(self, head: h11.Response) -> None:
        self.keep_alive_seconds = _reusable_seconds(head)
        self.body_end = find_body_end(head.headers)
        # h11 rejects transfer codings other than chunked.
        if self.body_end is BodyEnd.LAST_CHUNK:
            self.chunks = ChunkedDecoder()
            self.chunks.buffer = self.parser.trailing_data[0]

    def _read_chunks(
        self, chunks: ChunkedDecoder, deadline: float
    ) -> bytes | BodyEnd:
        part = self._decode_chunks(chunks, b'') if chunks.buffer else b''
        while not part and not chunks.is_complete:
            received = self._receive(deadline)
            if not received:
                raise self._error(Reason.RESET, 'answer')
            part = self._decode_chunks(chunks, received)
        return part or BodyEnd.LAST_CHUNK

    def _decode_chunks(self, chunks: ChunkedDecoder, received: bytes) -> bytes:
        known_count = chunks.element_count
        try:
            return chunks.feed(received)
        except ChunkError as error:
            raise self._error(Reason.CONTRACT, 'answer') from error
        finally:
            self.add_elements(chunks.element_count - known_count)

    def _is_reusable(self) -> bool:
        """Return whether the exchange is complete, with no bytes left."""
        is_lost = self.receiver is None or self.receiver.loss is not None
        if is_lost or self.is_given_up or self.sender is not None:
            return False
        return (
            self.parser.our_state is h11.DONE and self._is_response_complete()
        )

    def _is_response_complete(self) -> bool:
        if self.chunks is not None:
            return self.chunks.is_complete and not self.chunks.buffer
        is_done = self.parser.their_state is h11.DONE
        return is_done and not self.parser.trailing_data[0]

    def _next_event(self, deadline: float) -> object:
        event = self._parse()
        while event is h11.NEED_DATA:
            self.parser.receive_data(self._receive(deadline))
            event = self._parse()
        if isinstance(event, h11.ConnectionClosed):
            raise self._error(Reason.RESET, 'answer')
        if event is h11.PAUSED:
            raise self._error(Reason.CONTRACT, 'answer')
        return event

    def _parse(self) -> object:
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise self._error(Reason.CONTRACT, 'answer') from error

    def _receive(self, deadline: float) -> bytes:
        try:
            received = self.receiver.receive(deadline)
        except ReadTimeout:
            raise
        except ResponseTooLarge as error:
            raise self._error(Reason.TOO_LARGE, 'answer') from error
        except OSError as error:
            self._check_time()
            self.is_ended_by_peer = not self.is_aborted
            raise self._error(Reason.RESET, 'answer') from error
        if not received:
            self._check_time()
        self.is_ended_by_peer = not received and not self.is_aborted
        return received

    def _check_time(self) -> None:
        """Raise if the connection ended because the time was cut short."""
        if self.is_expired:
            raise ReadTimeout

    def _send_all(self, *parts: bytes) -> None:
        # An endpoint may respond before it has read the body and then reset
        # the connection; its response can still be read.
        try:
            for part in parts:
                # Slices of it are no copies.
                self.sock.sendall(memoryview(part))
        except OSError as error:
            self.receiver.record_loss(Operation.SEND, error)

    def _error(self, reason: Reason, step: str) -> AttemptError:
        outcome = Outcome.UNKNOWN if self.may_have_executed else Outcome.NOT_RUN
        return AttemptError(StepError(outcome, reason, step, self.peer))


def _reusable_seconds(head: h11.Response) -> float:
    """Return how long the connection may be reused after this response."""
    if head.http_version < b'1.1':
        return 0
    for name, text in head.headers:
        if name == b'connection' and b'close' in text.lower():
            return 0
        if name == b'keep-alive':
            matched = _KEEP_ALIVE.search(text)
            return KEEP_ALIVE_FRACTION * int(matched[1]) if matched else 0
    return math.inf
