"""Reads requests from a client's connection and writes their responses."""

import http
import io
import socket
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial
from typing import BinaryIO

import eventlet
from eventlet.greenio import GreenSocket, shutdown_safe
from eventlet.wsgi import (
    STATE_REQUEST,
    HeaderLineTooLong,
    HeadersTooLarge,
    HttpProtocol,
    Server,
)

from wigeonspoke.transport.client_connection import (
    ClientConnection,
    EndCause,
    Phase,
)
from wigeonspoke.transport.request_head import (
    HeadEndsEarlyError,
    RequestError,
    RequestHead,
    read_request_head,
)
from wigeonspoke.transport.request_body import BodyStream, RequestBody
from wigeonspoke.transport.socket_options import reset_on_close
from wigeonspoke.transport.socket_peek import has_input

LAST_VERSION_WITHOUT_CHUNKS = 'HTTP/1.0'
# How long the input of a refused client is dropped, and how much of it.
CLOSING_SECONDS = 2.0
CLOSING_BYTES = 1048576
DROPPED_PART_BYTES = 65536


class ServerProtocol(HttpProtocol):
    """Parses request heads strictly and rejects invalid ones as JSON.

    It records what the connection is occupied with, and why it ends.
    """

    def __init__(
        self, state: list, server: Server, client: ClientConnection
    ) -> None:
        self.client = client
        super().__init__(state, server)

    def setup(self) -> None:
        """Prepare the connection."""
        super().setup()
        self.body: RequestBody | None = None
        self.must_reset = False
        self.has_write_error = False
        self.rfile.close()
        self.input = _RequestInput(self.connection)
        # Reads of the input until the last request.
        self.known_reads = 0
        self.rfile = io.BufferedReader(self.input)
        self.wfile = _ResponseWriter(self.wfile, self)

    def finish(self) -> None:
        """Close the connection, with a reset if a regular close misleads."""
        with suppress(OSError):
            self.wfile.flush()
        if self.must_reset or self.has_write_error:
            reset_on_close(self.connection)
            # What could not be written before is not waited for again.
            self.connection.settimeout(0)
        else:
            if self._may_be_sending():
                self._drop_input()
            shutdown_safe(self.connection)
        with suppress(OSError):
            self.wfile.close()
        self.rfile.close()
        self.connection.close()

    def parse_request(self) -> bool:
        try:
            self._apply_head(self._read_head())
        except RequestError as error:
            has_left = isinstance(error, HeadEndsEarlyError)
            cause = EndCause.CLIENT if has_left else EndCause.REJECTED
            self.client.end(cause, error.problem)
            self.wfile.write(error_reply(error))
            self.close_connection = True
            return False
        self.client.enter(Phase.BODY)
        self.connection.settimeout(self.client.limits.body_seconds)
        return True

    def get_environ(self) -> dict:
        """Add what an application needs to know or to end the connection.

        One function closes it after the response, the other one marks the
        response as broken off.
        """
        environ = super().get_environ()
        self.body = RequestBody(
            environ['eventlet.input'],
            self.client,
            self.server.listener.memory,
        )
        environ['wigeonspoke.body'] = self.body
        environ['wsgi.input'] = BodyStream(self.body)
        environ['wigeonspoke.connection'] = self.client
        environ['wigeonspoke.end_connection'] = self._end_connection
        environ['wigeonspoke.break_response'] = self._break_response
        return environ

    def handle_one_response(self) -> None:
        """Serve a request, and drop what the application left of its body."""
        try:
            super().handle_one_response()
            self.client.answered += 1
            if not self.close_connection and not self.body.is_complete:
                self.client.enter(Phase.BODY)
                self.close_connection = not self.body.drop()
        finally:
            self.body.release()

    def record_write_error(self, error: OSError) -> None:
        """Record that a part of the response could not be written."""
        self.has_write_error = True
        limits = self.client.limits
        if isinstance(error, TimeoutError):
            self.client.end_by_limit(limits.write_seconds, limits.version)
        self.client.end(EndCause.CLIENT, str(error))

    def _may_be_sending(self) -> bool:
        """Return whether a client may still send what was refused."""
        if self.client.cause is EndCause.REJECTED:
            return True
        has_body = self.body is not None and not self.body.is_complete
        return has_body and self.client.cause is not EndCause.CLIENT

    def _drop_input(self) -> None:
        """End the output, and drop the input until the client has closed.

        To close before would send a reset, which takes the response away from
        a client that is still sending.
        """
        self.client.is_closing = True
        until = time.monotonic() + CLOSING_SECONDS
        with suppress(OSError):
            self.connection.shutdown(socket.SHUT_WR)
            for _ in range(CLOSING_BYTES // DROPPED_PART_BYTES):
                self.connection.settimeout(max(0, until - time.monotonic()))
                if not self.connection.recv(DROPPED_PART_BYTES):
                    return
                eventlet.sleep(0)

    def _read_request_line(self) -> bytes:
        """Wait for a request, and read its first line.

        The listener ends connections that take too long for it, so that reads
        have no timeout here.
        """
        # The server would shut down an idle connection when it stops accepting,
        # without a look at what lies in the socket.
        self.conn_state[2] = STATE_REQUEST
        self.client.enter(Phase.IDLE)
        self.client.request_id = ''
        self.connection.settimeout(None)
        self._let_others_run()
        if not self._has_request():
            return b''
        limits = self.server.listener.limits
        self.client.begin_request(limits)
        self.server.keepalive = limits.idle_seconds
        return self.rfile.readline(self.server.url_length_limit)

    def _let_others_run(self) -> None:
        """Let others run between requests that were received together."""
        if self.client.answered and self.input.read_count == self.known_reads:
            eventlet.sleep(0)
        self.known_reads = self.input.read_count

    def _has_request(self) -> bool:
        """Wait for a request; return whether its first byte has arrived."""
        try:
            has_request = bool(self.rfile.peek(1))
        except OSError as error:
            self.client.end(EndCause.CLIENT, str(error))
            return False
        if not has_request:
            self.client.end(EndCause.CLIENT)
        return has_request

    def _read_head(self) -> RequestHead:
        try:
            return read_request_head(
                self.raw_requestline,
                self.rfile,
                self.client.limits.header_bytes,
            )
        except (HeaderLineTooLong, HeadersTooLarge) as error:
            raise RequestError(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the headers are too large',
            ) from error

    def _apply_head(self, head: RequestHead) -> None:
        self.requestline = f'{head.method} {head.target}'
        self.command = head.method
        self.path = head.target
        self.request_version = head.version
        self.headers = head.headers
        is_stopping = self.server.listener.is_stopping
        self.close_connection = head.wants_close or is_stopping

    def _end_connection(self) -> None:
        self.close_connection = True

    def _break_response(self) -> None:
        # A response of HTTP/1.0 ends with its connection, so that a regular
        # close would make a broken one look complete.
        self.must_reset = self.request_version == LAST_VERSION_WITHOUT_CHUNKS


class _RequestInput(io.RawIOBase):
    """The input of a connection, on which reads have its timeout.

    After a pause of this process, a timeout may come before bytes that had
    arrived are read.
    """

    def __init__(self, connection: GreenSocket) -> None:
        self.connection = connection
        self.read_count = 0

    def readable(self) -> bool:
        """Return whether the input can be read."""
        return True

    def readinto(self, target: bytearray) -> int:
        """Read into a buffer; return the number of bytes, 0 at the end."""
        self.read_count += 1
        while True:
            try:
                return self.connection.recv_into(target)
            except TimeoutError:
                if not has_input(self.connection):
                    raise


class _ResponseWriter:
    """The output of a connection, which reports errors to its protocol."""

    __slots__ = ('output', 'protocol')

    def __init__(self, output: BinaryIO, protocol: ServerProtocol) -> None:
        self.output = output
        self.protocol = protocol

    @property
    def closed(self) -> bool:
        """Whether the output is closed."""
        return self.output.closed

    def write(self, part: bytes) -> None:
        """Write a part of the response."""
        self._report(partial(self.output.write, part))

    def writelines(self, parts: Iterable[bytes]) -> None:
        """Write several parts of the response."""
        self._report(partial(self.output.writelines, parts))

    def flush(self) -> None:
        """Send what is written."""
        self._report(self.output.flush)
        self.protocol.client.record_progress()

    def close(self) -> None:
        """Close the output."""
        self._report(self.output.close)

    def _report(self, operation: Callable[[], object]) -> None:
        try:
            operation()
        except OSError as error:
            self.protocol.record_write_error(error)
            raise


def error_reply(error: RequestError) -> bytes:
    """Return the response to a request whose head cannot be parsed."""
    status: http.HTTPStatus = error.status
    body = (
        f'{{"error": {{"message": "{error.problem}", '
        '"type": "bad_request", "code": "headers"}}'
    ).encode()
    return (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'Connection: close\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body
