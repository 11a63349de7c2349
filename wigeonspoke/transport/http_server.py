"""A listener that serves a WSGI application within limits."""

import errno
import socket
from collections.abc import Callable, Iterable

import eventlet
import msgspec
from eventlet.greenio import shutdown_safe
from eventlet.wsgi import (
    HeaderLineTooLong,
    HeadersTooLarge,
    HttpProtocol,
    Server,
)
from eventlet.wsgi import server as serve_wsgi
from werkzeug.wsgi import ClosingIterator

WsgiApplication = Callable[..., Iterable[bytes]]

HEADERS_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Connection: close\r\n'
    b'Content-Type: application/json\r\n'
    b'Content-Length: 101\r\n\r\n'
    b'{"error": {"message": "the request headers are too large", '
    b'"type": "bad_request", "code": "headers"}}'
)
CLOSED_ERRORS = frozenset((errno.EBADF, errno.EINVAL))


class ListenerLimits(msgspec.Struct, frozen=True):
    """Bounds on what a listener takes from its clients.

    ``idle_seconds`` bounds the wait for a request on an open connection,
    ``read_seconds`` any one read of a request.
    """

    connections: int = 1024
    idle_seconds: float = 60.0
    read_seconds: float = 10.0


class _Protocol(HttpProtocol):
    """Answers oversized headers with a typed error body."""

    def parse_request(self) -> bool:
        try:
            return super().parse_request()
        except (HeaderLineTooLong, HeadersTooLarge):
            self.wfile.write(HEADERS_TOO_LARGE)
            self.close_connection = 1
            return False


class HttpListener:
    """Serves an application on one address, port 0 for any free port.

    ``address`` is the one in use, as ``host:port``.  ``active`` counts the
    requests whose replies are not yet written whole.
    :meth:`close` stops accepting and leaves open connections alone;
    :meth:`abort` also resets them, as a crash would.
    """

    __slots__ = (
        'active',
        'address',
        'application',
        'greenlet',
        'limits',
        'open',
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
        self.limits = limits or ListenerLimits()
        self.sock = eventlet.listen((host, port), backlog=self.backlog)
        bound_host, bound_port = self.sock.getsockname()[:2]
        self.address = f'{bound_host}:{bound_port}'
        self.open: set[socket.socket] = set()
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

    def abort(self) -> None:
        """Stop accepting and reset all open connections."""
        self.close()
        for connection in tuple(self.open):
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
        self.active += 1
        try:
            parts = self.application(environ, start_response)
        except BaseException:
            self._note_end()
            raise
        return ClosingIterator(parts, [self._note_end])

    def _note_end(self) -> None:
        self.active -= 1

    def _serve_connection(
        self,
        state: list,
        server: Server,
    ) -> HttpProtocol:
        connection = state[1]
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open.add(connection)
        try:
            return _Protocol(state, server)
        finally:
            self.open.discard(connection)
