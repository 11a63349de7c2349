"""An HTTP server for WSGI applications, with limits on its clients."""

import errno
import socket
import traceback
from collections.abc import Callable, Iterable, Iterator
from functools import partial

import eventlet
import msgspec
from eventlet.greenio import shutdown_safe
from eventlet.wsgi import Server
from eventlet.wsgi import server as serve_wsgi

from wigeonspoke.transport.client_connection import (
    ClientConnection,
    ConnectionEnd,
    EndCause,
    Phase,
)
from wigeonspoke.transport.server_protocol import ServerProtocol

WsgiApplication = Callable[..., Iterable[bytes]]

CLOSED_SOCKET_ERRORS = frozenset((errno.EBADF, errno.EINVAL))


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


class ResponseAborted(Exception):
    """A response that has started cannot be completed.

    An application that raises it makes the server close the connection.
    """


class HttpListener:
    """Serves an application on one address; port 0 selects any free port.

    ``address`` is the bound address, as ``host:port``.  ``active`` counts the
    requests whose responses are not completely written.  While
    ``is_stopping`` is true, each response closes its connection.  ``on_end``
    is told how each connection has ended.

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
        'on_end',
        'open_connections',
        'sock',
    )

    def __init__(
        self,
        application: WsgiApplication,
        host: str = '127.0.0.1',
        port: int = 0,
        limits: ListenerLimits | None = None,
        on_end: Callable[[ConnectionEnd], None] | None = None,
    ) -> None:
        self.application = application
        self.on_end = on_end
        self.active = 0
        self.is_stopping = False
        self.limits = limits or ListenerLimits()
        self.sock = eventlet.listen((host, port), backlog=self.backlog)
        bound_host, bound_port = self.sock.getsockname()[:2]
        self.address = f'{bound_host}:{bound_port}'
        self.open_connections: dict[socket.socket, ClientConnection] = {}
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
        for connection, client in tuple(self.open_connections.items()):
            if client.phase is Phase.IDLE:
                client.end(EndCause.STOP)
                shutdown_safe(connection)

    def abort(self) -> None:
        """Stop accepting and close all open connections immediately."""
        self.close()
        for connection, client in tuple(self.open_connections.items()):
            client.end(EndCause.STOP)
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
        client: ClientConnection = environ['wigeonspoke.connection']
        begin_response = partial(_begin_response, client, start_response)
        try:
            body = self.application(environ, begin_response)
        except Exception:
            client.end(EndCause.ERROR, traceback.format_exc())
            raise
        # The server derives a length from a body that has one.
        if hasattr(body, '__len__'):
            return body
        break_response = environ['wigeonspoke.break_response']
        return _report_parts(body, client, break_response)

    def _count_finished(self, _environ: dict) -> None:
        self.active -= 1

    def _serve_connection(self, state: list, server: Server) -> None:
        connection = state[1]
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(connection)
        self.open_connections[connection] = client
        server.keepalive = self.limits.idle_seconds
        server.socket_timeout = self.limits.read_seconds
        server.header_bytes = self.limits.header_bytes
        server.is_stopping = self._check_stopping
        try:
            ServerProtocol(state, server, client)
        except TimeoutError:
            client.end_by_limit(server.socket_timeout, version=0)
            raise
        except OSError as error:
            client.end(EndCause.CLIENT, str(error))
            raise
        except Exception:
            client.end(EndCause.ERROR, traceback.format_exc())
            raise
        finally:
            self.open_connections.pop(connection, None)
            if self.on_end is not None:
                self.on_end(client.describe_end())

    def _check_stopping(self) -> bool:
        return self.is_stopping


def _begin_response(
    client: ClientConnection, start_response: Callable, *arguments: object
) -> Callable:
    client.enter(Phase.WRITING)
    return start_response(*arguments)


def _report_parts(
    body: Iterable[bytes],
    client: ClientConnection,
    break_response: Callable[[], None],
) -> Iterator[bytes]:
    """Pass on the parts of a body; report an error that ends it early."""
    try:
        yield from body
    except ResponseAborted as aborted:
        client.end(EndCause.ABORTED, str(aborted))
        break_response()
        raise
    except (Exception, eventlet.Timeout):
        client.end(EndCause.ERROR, traceback.format_exc())
        break_response()
        raise
