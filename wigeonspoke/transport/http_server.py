"""An HTTP server for WSGI applications, with limits on its clients."""

import errno
import http
import socket
import time
import traceback
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from functools import partial

import eventlet
from eventlet.greenio import GreenSocket, shutdown_safe
from eventlet.wsgi import Server
from eventlet.wsgi import server as serve_wsgi

from wigeonspoke.transport.client_connection import (
    ClientConnection,
    ConnectionEnd,
    EndCause,
    Phase,
)
from wigeonspoke.transport.connection_places import choose_to_end
from wigeonspoke.transport.listener_limits import (
    LimitHistory,
    ListenerLimits,
)
from wigeonspoke.transport.request_head import RequestError
from wigeonspoke.transport.request_memory import RequestMemory
from wigeonspoke.transport.server_protocol import ServerProtocol, error_reply
from wigeonspoke.transport.socket_options import RECEIVE_BUFFER_BYTES
from wigeonspoke.transport.socket_peek import has_input

WsgiApplication = Callable[..., Iterable[bytes]]

MIN_BACKLOG = 1024
# Connections whose places are needed end while others are accepted.
ENDING_CONNECTIONS = 32
CLOSED_SOCKET_ERRORS = frozenset((errno.EBADF, errno.EINVAL))
LIMIT_CHECK_SECONDS = 0.5
# The kernel reports a connection as writable again when a third of its buffer
# is free.  A large buffer would make a slow reader look like one that stopped.
SEND_BUFFER_BYTES = 262144


class ResponseAborted(Exception):
    """A response that has started cannot be completed.

    An application that raises it makes the server close the connection.
    """


class HttpListener:
    """Serves an application on one address; port 0 selects any free port.

    ``address`` is the bound address, as ``host:port``.  ``active`` counts the
    requests whose responses are not completely written.  While
    ``is_stopping`` is true, each response closes its connection.  ``on_end``
    is told how each connection has ended.  ``memory`` is that for the bodies of
    requests, which several listeners may share.

    :meth:`close` stops accepting and leaves open connections alone,
    :meth:`close_idle` closes those without a request, and :meth:`abort` closes
    all of them immediately, as a crash would.
    """

    __slots__ = (
        'active',
        'address',
        'application',
        'greenlet',
        'is_closed',
        'is_stopping',
        'limit_history',
        'memory',
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
        memory: RequestMemory | None = None,
    ) -> None:
        self.application = application
        self.memory = memory or RequestMemory()
        self.on_end = on_end
        self.active = 0
        self.is_closed = False
        self.is_stopping = False
        self.limit_history = LimitHistory(limits or ListenerLimits())
        self.sock = eventlet.listen((host, port), backlog=self.backlog)
        bound_host, bound_port = self.sock.getsockname()[:2]
        self.address = f'{bound_host}:{bound_port}'
        self.open_connections: dict[GreenSocket, ClientConnection] = {}
        self.greenlet = eventlet.spawn(self._serve)
        eventlet.spawn(self._check_limits)

    @property
    def limits(self) -> ListenerLimits:
        """Return the limits in force."""
        return self.limit_history.limits

    def apply_limits(self, limits: ListenerLimits) -> None:
        """Put other limits into force, also on open connections."""
        self.limit_history.replace(limits, time.monotonic())

    @property
    def backlog(self) -> int:
        """Return the size of the queue of connections not accepted yet.

        A small one drops clients that come while a crowd is being accepted.
        """
        return max(MIN_BACKLOG, self.limits.connections)

    def close(self) -> None:
        """Stop accepting connections."""
        self.is_closed = True
        # Stop the accept loop first.  Otherwise it would wait on a closed
        # file descriptor, whose number may be reused for another socket.
        self.greenlet.kill()
        shutdown_safe(self.sock)
        self.sock.close()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection, client in tuple(self.open_connections.items()):
            if client.phase is Phase.IDLE and not has_input(connection):
                client.end(EndCause.STOP)
                shutdown_safe(connection)

    def end_bodies(self) -> None:
        """Refuse the requests whose bodies are being read."""
        for connection, client in tuple(self.open_connections.items()):
            if client.phase is Phase.BODY:
                client.end(EndCause.STOP)
                _refuse_unread(connection, client, 'stopping')

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
                max_size=self.limits.connections + ENDING_CONNECTIONS,
                log_output=False,
                minimum_chunk_size=1,
                debug=False,
            )
        except OSError as error:
            if error.errno not in CLOSED_SOCKET_ERRORS:
                raise

    def _check_limits(self) -> None:
        """End connections that exceed a limit until all are closed."""
        while self.open_connections or not self.is_closed:
            eventlet.sleep(LIMIT_CHECK_SECONDS)
            now = time.monotonic()
            for connection, client in tuple(self.open_connections.items()):
                if self.limit_history.is_overdue(client, now):
                    self._end_overdue(connection, client)

    @property
    def _is_full(self) -> bool:
        return len(self.open_connections) >= self.limits.connections

    def _make_room(self) -> None:
        """End the connections that have gone longest without progress."""
        ended = set(
            choose_to_end(
                self.open_connections.values(), self.limits.connections
            )
        )
        for connection, client in tuple(self.open_connections.items()):
            if client in ended:
                client.end(EndCause.PLACE)
                _refuse_unread(connection, client, 'too many connections')

    def _end_overdue(
        self, connection: GreenSocket, client: ClientConnection
    ) -> None:
        """End an overdue connection unless its next bytes have arrived.

        After a pause of this process they lie in the socket, unread.
        """
        if has_input(connection):
            return
        if client.phase is Phase.IDLE:
            client.end_by_limit(self.limits.idle_seconds, self.limits.version)
        else:
            limits = client.limits
            client.end_by_limit(limits.head_seconds, limits.version)
            _send_refusal(
                connection,
                http.HTTPStatus.REQUEST_TIMEOUT,
                'the head takes too long',
            )
        shutdown_safe(connection)

    def _serve_request(
        self,
        environ: dict,
        start_response: Callable,
    ) -> Iterable[bytes]:
        environ['eventlet.posthooks'].append((self._count_finished, (), {}))
        self.active += 1
        client: ClientConnection = environ['wigeonspoke.connection']
        connection = environ['eventlet.input'].get_socket()
        begin_response = partial(
            self._begin_response, connection, client, environ, start_response
        )
        try:
            body = self.application(environ, begin_response)
        except (Exception, eventlet.Timeout):
            client.end(EndCause.ERROR, traceback.format_exc())
            raise
        # The server derives a length from a body that has one.
        if hasattr(body, '__len__'):
            return body
        break_response = environ['wigeonspoke.break_response']
        return _report_parts(body, client, break_response)

    def _begin_response(
        self,
        connection: GreenSocket,
        client: ClientConnection,
        environ: dict,
        start_response: Callable,
        *arguments: object,
    ) -> Callable:
        # Clients that keep their connections busy must not keep others out.
        if self._is_full or not environ['wigeonspoke.body'].may_be_dropped:
            environ['wigeonspoke.end_connection']()
        client.enter(Phase.WRITING)
        connection.settimeout(client.limits.write_seconds)
        return start_response(*arguments)

    def _count_finished(self, _environ: dict) -> None:
        self.active -= 1

    def _serve_connection(self, state: list, server: Server) -> None:
        connection = state[1]
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        host, port = state[0]
        client = ClientConnection(self.limits, f'{host}:{port}')
        if self._is_full:
            self._make_room()
        self.open_connections[connection] = client
        server.listener = self
        try:
            ServerProtocol(state, server, client)
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


def _send_refusal(
    connection: GreenSocket, status: http.HTTPStatus, problem: str
) -> None:
    """Answer a request that was not read, without waiting."""
    with suppress(OSError):
        connection.fd.send(error_reply(RequestError(status, problem)))


def _refuse_unread(
    connection: GreenSocket, client: ClientConnection, problem: str
) -> None:
    """End a connection for whose client only is waited, without waiting.

    A request of which a part was read has not run, and is told so.
    """
    if client.body is not None and client.body.give_up():
        # Its reader answers and closes.
        return
    if client.phase is not Phase.IDLE and not client.is_closing:
        _send_refusal(connection, http.HTTPStatus.SERVICE_UNAVAILABLE, problem)
    shutdown_safe(connection)


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
