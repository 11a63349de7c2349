"""One try of a request at one endpoint, on a connection of its own.

A connection serves one try: bytes that come late, or after an answer, then
belong to no other request, and a connection that cannot be made proves that
nothing was sent.
"""

import socket
import time
from contextlib import suppress

import eventlet
import h11
from eventlet.green import socket as green_socket
from eventlet.hubs import trampoline

from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.ingress.protocols import HeaderList

RECEIVE_BYTES = 65536
# A body that fits the peer's window needs no one to send it while the
# answer is awaited.
INLINE_BODY_BYTES = 16384
UNSENT_MILLISECONDS = 3000
MIN_CONNECT_SECONDS = 0.001


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
        'is_aborted',
        'may_have_run',
        'parser',
        'peer',
        'sender',
        'sock',
    )

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.parser = h11.Connection(h11.CLIENT)
        self.sock: green_socket.socket | None = None
        self.sender: eventlet.greenthread.GreenThread | None = None
        self.may_have_run = False
        self.is_aborted = False

    def connect(self, seconds: float) -> None:
        """Open the connection."""
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
                return event

    def read_part(self, until: float) -> bytes | None:
        """Read the next part of the body, none at its proper end."""
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
        """Free the connection."""
        if self.sender is not None:
            self.sender.kill()
        if self.sock is not None:
            self.sock.close()

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
        raw = self.sock.fd
        while True:
            try:
                return raw.recv(RECEIVE_BYTES)
            except BlockingIOError:
                self._wait(until)
            except OSError as error:
                raise self._failed(Reason.RESET, 'answer') from error

    def _wait(self, until: float) -> None:
        left = until - time.monotonic()
        if left <= 0:
            raise TryTimeout
        with suppress(socket.timeout):
            trampoline(
                self.sock.fd,
                read=True,
                timeout=left,
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
