"""A listener that serves a WSGI application within limits."""

import errno
import http
import socket
from collections.abc import Callable, Iterable

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

WsgiApplication = Callable[..., Iterable[bytes]]

CLOSED_ERRORS = frozenset((errno.EBADF, errno.EINVAL))


class ListenerLimits(msgspec.Struct, frozen=True):
    """Bounds on what a listener takes from its clients.

    ``idle_seconds`` bounds the wait for a request on an open connection,
    ``read_seconds`` any one read of a request.
    """

    connections: int = 1024
    header_bytes: int = 65536
    idle_seconds: float = 60.0
    read_seconds: float = 10.0


class _StrictProtocol(HttpProtocol):
    """Reads heads strictly and answers wrong ones with a typed body."""

    def parse_request(self) -> bool:
        try:
            self._apply_head(self._read_head())
        except RequestError as error:
            self.wfile.write(_error_reply(error))
            self.close_connection = True
            return False
        return True

    def get_environ(self) -> dict:
        """Add a way for the application to end the connection."""
        environ = super().get_environ()
        environ['wigeonspoke.end_connection'] = self._end_connection
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
                'size of headers',
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


def _error_reply(error: RequestError) -> bytes:
    """Give a reply to a request that nobody can read further."""
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
    """Serves an application on one address, port 0 for any free port.

    ``address`` is the one in use, as ``host:port``.  ``active`` counts the
    requests whose replies are not yet written whole.
    :meth:`close` stops accepting and leaves open connections alone;
    :meth:`close_idle` ends those on which no request is waiting;
    :meth:`abort` resets all, as a crash would.  While ``is_stopping`` each
    answer ends its connection.
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
        """Give the length of the queue of unaccepted connections."""
        return self.limits.connections

    def close(self) -> None:
        """Stop accepting connections."""
        # The loop must not wait on a descriptor that is closed and may come
        # again as another's.
        self.greenlet.kill()
        shutdown_safe(self.sock)
        self.sock.close()

    def close_idle(self) -> None:
        """End the connections on which no request has begun."""
        for connection, state in tuple(self.open_connections.items()):
            if state[2] == STATE_IDLE:
                shutdown_safe(connection)

    def abort(self) -> None:
        """Stop accepting and reset all open connections."""
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
            if error.errno not in CLOSED_ERRORS:
                raise

    def _serve_request(
        self,
        environ: dict,
        start_response: Callable,
    ) -> Iterable[bytes]:
        environ['eventlet.posthooks'].append((self._count_finished, (), {}))
        self.active += 1
        return self.application(environ, start_response)

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
