"""One try of a request at one endpoint.

What must not run twice goes over a connection of its own: one that cannot
be made then proves that nothing was sent, and bytes that come late belong
to no other request.  Other tries may go over a kept connection; the answer
is then known by its id.
"""

import math
import re
import socket
import time
from contextlib import suppress

import eventlet
import h11
from eventlet.green import socket as green_socket
from eventlet.hubs import trampoline

from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.ingress.kept_connections import KeptConnections
from wigeonspoke.ingress.protocols import HeaderList
from wigeonspoke.transport import ChunkedDecoder, ChunkError

RECEIVE_BYTES = 65536
# A body that fits the peer's window needs no one to send it while the
# answer is awaited.
INLINE_BODY_BYTES = 16384
UNSENT_MILLISECONDS = 3000
# A connection is not used close to the moment when the endpoint ends it.
KEPT_SHARE = 0.5
MIN_CONNECT_SECONDS = 0.001

_KEEP_ALIVE = re.compile(rb'timeout=([0-9]{1,6})')


class TryError(Exception):
    """The try ended without an answer; ``error`` says what is known."""

    def __init__(self, error: StepError) -> None:
        super().__init__(error.describe())
        self.error = error


class TryTimeout(Exception):
    """Nothing came within the time given; the try may go on."""


class EndpointTry:
    """Sends a request to an endpoint and reads its answer.

    Every wait ends at a moment of the steady clock.  Bytes that have come
    are taken before a wait is given up, so that a process that stood still
    does not blame the endpoint.
    """

    __slots__ = (
        'chunks',
        'is_aborted',
        'is_drained',
        'keeps_seconds',
        'kept',
        'may_have_run',
        'parser',
        'peer',
        'sender',
        'sock',
    )

    def __init__(self, peer: str, kept: KeptConnections | None = None) -> None:
        self.peer = peer
        # Where connections are taken from and left, none for a new one.
        self.kept = kept
        # How long the endpoint will keep the connection after its answer.
        self.keeps_seconds = 0
        # Nothing is on the connection as far as is known.
        self.is_drained = True
        self.parser = h11.Connection(h11.CLIENT)
        # The body of an answer in chunks, which is not left to the parser.
        self.chunks: ChunkedDecoder | None = None
        self.sock: green_socket.socket | None = None
        self.sender: eventlet.greenthread.GreenThread | None = None
        self.may_have_run = False
        self.is_aborted = False

    def connect(self, seconds: float) -> None:
        """Open the connection, or take one that was kept."""
        if self.kept is not None:
            self.sock = self.kept.take(self.peer)
            if self.sock is not None:
                return
        host, _, port = self.peer.rpartition(':')
        self.sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNSENT_MILLISECONDS,
        )
        self.sock.settimeout(max(MIN_CONNECT_SECONDS, seconds))
        try:
            self.sock.connect((host, int(port)))
        except OSError as error:
            raise self._failed(Reason.CONNECT, 'connect') from error
        self.sock.setblocking(True)

    def send(
        self,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
    ) -> None:
        """Send the request; from here on it may have run."""
        framed = list(headers)
        if body or method not in {'GET', 'HEAD'}:
            framed.append(('Content-Length', str(len(body))))
        request = h11.Request(method=method, target=target, headers=framed)
        payload = self.parser.send(request)
        payload += self.parser.send(h11.Data(data=body)) or b''
        payload += self.parser.send(h11.EndOfMessage()) or b''
        self.may_have_run = True
        if len(payload) > INLINE_BODY_BYTES:
            self.sender = eventlet.spawn(self._send_all, payload)
        else:
            self._send_all(payload)

    def read_head(self, until: float) -> h11.Response:
        """Read the head of the answer.

        Raises
        ------
        TryError
            The connection broke, or what came is no answer.
        TryTimeout
            Nothing came in time; the caller may read on.
        """
        while True:
            event = self._next_event(until)
            if isinstance(event, h11.Response):
                self._take_head(event)
                return event

    def read_part(self, until: float) -> bytes | None:
        """Read the next part of the body, none at its proper end."""
        if self.chunks is not None:
            return self._read_chunks(self.chunks, until)
        event = self._next_event(until)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return None

    def abort(self) -> None:
        """End the connection, which also cancels the request."""
        self.is_aborted = True
        if self.sock is not None:
            # Closing is left to the reader, which may be waiting on it.
            with suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Free the connection, or leave it for another try if it is clean."""
        if self.sock is None:
            return
        if self.kept is not None and self._is_clean():
            self.kept.put(self.peer, self.sock, self.keeps_seconds)
            return
        if self.sender is not None:
            self.sender.kill()
        self.sock.close()

    def _take_head(self, head: h11.Response) -> None:
        self.keeps_seconds = _kept_seconds(head)
        codings = [
            text for name, text in head.headers if name == b'transfer-encoding'
        ]
        # The parser knows one coding only, and refuses others.
        if codings:
            self.chunks = ChunkedDecoder()
            self.chunks.buffer = self.parser.trailing_data[0]

    def _read_chunks(
        self, chunks: ChunkedDecoder, until: float
    ) -> bytes | None:
        part = self._feed(chunks, b'') if chunks.buffer else b''
        while not part and not chunks.is_complete:
            received = self._receive(until)
            if not received:
                raise self._failed(Reason.RESET, 'answer')
            part = self._feed(chunks, received)
        return part or None

    def _feed(self, chunks: ChunkedDecoder, received: bytes) -> bytes:
        try:
            return chunks.feed(received)
        except ChunkError as error:
            raise self._failed(Reason.CONTRACT, 'answer') from error

    def _is_clean(self) -> bool:
        """Tell whether request and answer are whole and nothing follows."""
        if self.is_aborted or self.sender is not None:
            return False
        return self.parser.our_state is h11.DONE and self._is_answered()

    def _is_answered(self) -> bool:
        if self.chunks is not None:
            return self.chunks.is_complete and not self.chunks.buffer
        is_done = self.parser.their_state is h11.DONE
        return is_done and not self.parser.trailing_data[0]

    def _next_event(self, until: float) -> object:
        event = self._parse()
        while event is h11.NEED_DATA:
            self.parser.receive_data(self._receive(until))
            event = self._parse()
        if isinstance(event, h11.ConnectionClosed):
            raise self._failed(Reason.RESET, 'answer')
        if event is h11.PAUSED:
            raise self._failed(Reason.CONTRACT, 'answer')
        return event

    def _parse(self) -> object:
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise self._failed(Reason.CONTRACT, 'answer') from error

    def _receive(self, until: float) -> bytes:
        while True:
            left = until - time.monotonic()
            if self.is_drained and left > 0:
                self._wait(left)
            received = self._receive_now()
            if received is not None:
                self.is_drained = len(received) < RECEIVE_BYTES
                return received
            self.is_drained = True
            if left <= 0:
                raise TryTimeout

    def _receive_now(self) -> bytes | None:
        """Give what has come, nothing at the end, none if nothing came."""
        try:
            return self.sock.fd.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return None
        except OSError as error:
            raise self._failed(Reason.RESET, 'answer') from error

    def _wait(self, seconds: float) -> None:
        with suppress(socket.timeout):
            trampoline(
                self.sock.fd,
                read=True,
                timeout=seconds,
                timeout_exc=socket.timeout,
            )

    def _send_all(self, payload: bytes) -> None:
        # An endpoint may answer before it has read a body, and reset the
        # connection: its answer is still to be read.
        with suppress(OSError):
            self.sock.sendall(payload)

    def _failed(self, reason: Reason, step: str) -> TryError:
        outcome = Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN
        return TryError(StepError(outcome, reason, step, self.peer))


def _kept_seconds(head: h11.Response) -> float:
    """Read for how long the endpoint will keep the connection."""
    if head.http_version < b'1.1':
        return 0
    for name, text in head.headers:
        if name == b'connection' and b'close' in text.lower():
            return 0
        if name == b'keep-alive':
            matched = _KEEP_ALIVE.search(text)
            return KEPT_SHARE * int(matched[1]) if matched else 0
    return math.inf
