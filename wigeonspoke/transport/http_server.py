"""An HTTP server for WSGI applications, with limits on its clients."""

import errno
import http
import socket
from collections.abc import Callable, Iterable, Iterator

import eventlet
import msgspec
from eventlet.greenio import shutdown_safe
from eventlet.wsgi import (
    STATE_IDLE,
    HeaderLineTooLong,
    HeadersTooLarge,
    HttpProtocol,
    Server,
)
from eventlet.wsgi import server as serve_wsgi

from wigeonspoke.transport.request_head import (
    RequestError,
    RequestHead,
    read_request_head,
)
from wigeonspoke.transport.socket_options import reset_on_close

WsgiApplication = Callable[..., Iterable[bytes]]

CLOSED_SOCKET_ERRORS = frozenset((errno.EBADF, errno.EINVAL))
LAST_VERSION_WITHOUT_CHUNKS = 'HTTP/1.0'


class ListenerLimits(msgspec.Struct, frozen=True):
    """Limits on what a listener accepts from its clients.

    ``connections`` limits the open connections and the queue of connections
    not accepted yet, ``header_bytes`` the size of a request's head.
    ``idle_seconds`` is the timeout for the next request on an open
    connection, ``read_seconds`` the timeout of each read of a request.
    """

    connections: int = 1024
    header_bytes: int = 65536
    idle_seconds: float = 60.0
    read_seconds: float = 10.0


class _StrictProtocol(HttpProtocol):
    """Parses request heads strictly and rejects invalid ones as JSON."""

    def setup(self) -> None:
        """Prepare the connection."""
        super().setup()
        self.must_reset = False

    def finish(self) -> None:
        """Close the connection, with a reset if a regular close misleads."""
        if self.must_reset:
            reset_on_close(self.connection)
            self.wfile.close()
            self.rfile.close()
            self.connection.close()
            return
        super().finish()

    def parse_request(self) -> bool:
        try:
            self._apply_head(self._read_head())
        except RequestError as error:
            self.wfile.write(_error_reply(error))
            self.close_connection = True
            return False
        return True

    def get_environ(self) -> dict:
        """Add functions that act on the connection of the request.

        One closes it after the response, the other one marks the response as
        broken off.
        """
        environ = super().get_environ()
        environ['wigeonspoke.end_connection'] = self._end_connection
        environ['wigeonspoke.break_response'] = self._break_response
        return environ

    def _read_head(self) -> RequestHead:
        try:
            return read_request_head(
                self.raw_requestline,
                self.rfile,
                self.server.header_bytes,
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
        is_stopping = self.server.is_stopping()
        self.close_connection = head.wants_close or is_stopping

    def _end_connection(self) -> None:
        self.close_connection = True

    def _break_response(self) -> None:
        # A response of HTTP/1.0 ends with its connection, so that a regular
        # close would make a broken one look complete.
        self.must_reset = self.request_version == LAST_VERSION_WITHOUT_CHUNKS


def _report_break(
    body: Iterable[bytes], break_response: Callable[[], None]
) -> Iterator[bytes]:
    """Pass on the parts of a body; report an error that ends it early."""
    try:
        yield from body
    except (Exception, eventlet.Timeout):
        break_response()
        raise


def _error_reply(error: RequestError) -> bytes:
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


class HttpListener:
    """Serves an application on one address; port 0 selects any free port.

    ``address`` is the bound address, as ``host:port``.  ``active`` counts the
    requests whose responses are not completely written.  While
    ``is_stopping`` is true, each response closes its connection.

    :meth:`close` stops accepting and leaves open connections alone,
    :meth:`close_idle` closes those without a request in progress, and
    :meth:`abort` closes all of them immediately, as a crash would.
    """

    __slots__ = (
        'active',
        'address',
        'application',
        'greenlet',
        'is_stopping',
        'limits',
        'open_connections',
        'sock',
    )

    def __init__(
        self,
        application: WsgiApplication,
        host: str = '127.0.0.1',
        port: int = 0,
        limits: ListenerLimits | None = None,
    ) -> None:
        self.application = application
        self.active = 0
        self.is_stopping = False
        self.limits = limits or ListenerLimits()
        self.sock = eventlet.listen((host, port), backlog=self.backlog)
        bound_host, bound_port = self.sock.getsockname()[:2]
        self.address = f'{bound_host}:{bound_port}'
        self.open_connections: dict[socket.socket, list] = {}
        self.greenlet = eventlet.spawn(self._serve)

    @property
    def backlog(self) -> int:
        """Return the size of the queue of connections not accepted yet."""
        return self.limits.connections

    def close(self) -> None:
        """Stop accepting connections."""
        # Stop the accept loop first.  Otherwise it would wait on a closed
        # file descriptor, whose number may be reused for another socket.
        self.greenlet.kill()
        shutdown_safe(self.sock)
        self.sock.close()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection, state in tuple(self.open_connections.items()):
            if state[2] == STATE_IDLE:
                shutdown_safe(connection)

    def abort(self) -> None:
        """Stop accepting and close all open connections immediately."""
        self.close()
        for connection in tuple(self.open_connections):
            shutdown_safe(connection)

    def _serve(self) -> None:
        try:
            serve_wsgi(
                self.sock,
                self._serve_request,
                protocol=self._serve_connection,
                max_size=self.limits.connections,
                keepalive=self.limits.idle_seconds,
                socket_timeout=self.limits.read_seconds,
                log_output=False,
                minimum_chunk_size=1,
                debug=False,
            )
        except OSError as error:
            if error.errno not in CLOSED_SOCKET_ERRORS:
                raise

    def _serve_request(
        self,
        environ: dict,
        start_response: Callable,
    ) -> Iterable[bytes]:
        environ['eventlet.posthooks'].append((self._count_finished, (), {}))
        self.active += 1
        body = self.application(environ, start_response)
        # The server derives a length from a body that has one.
        if hasattr(body, '__len__'):
            return body
        return _report_break(body, environ['wigeonspoke.break_response'])

    def _count_finished(self, _environ: dict) -> None:
        self.active -= 1

    def _serve_connection(
        self,
        state: list,
        server: Server,
    ) -> HttpProtocol:
        connection = state[1]
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_connections[connection] = state
        server.keepalive = self.limits.idle_seconds
        server.socket_timeout = self.limits.read_seconds
        server.header_bytes = self.limits.header_bytes
        server.is_stopping = self._check_stopping
        try:
            return _StrictProtocol(state, server)
        finally:
            self.open_connections.pop(connection, None)

    def _check_stopping(self) -> bool:
        return self.is_stopping
