"""An HTTP server that gives handlers access to the raw connection.

The test doubles inject faults at the byte level, such as truncated or
malformed responses, which HTTP server libraries do not allow.
"""

import socket
from collections.abc import Callable
from contextlib import suppress

import eventlet
import h11
import msgspec
from eventlet.greenio import shutdown_safe

from wigeonspoke.transport import peek, reset_on_close

READ_BYTES = 65536


class RawRequest(msgspec.Struct):
    """A received request with its complete body."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class RawConnection:
    """The raw connection on which a request was received."""

    __slots__ = ('sock',)

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock

    def write(self, payload: bytes) -> None:
        """Write bytes unchanged."""
        self.sock.sendall(payload)

    def respond(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> None:
        """Write a complete response."""
        lines = [f'HTTP/1.1 {status} Status']
        lines.extend(
            f'{name}: {header_value}' for name, header_value in headers.items()
        )
        lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines)
        self.write(f'{head}\r\n\r\n'.encode() + body)

    def write_chunk(self, payload: bytes) -> None:
        """Write one chunk of a chunked body."""
        self.write(b'%x\r\n%s\r\n' % (len(payload), payload))

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed the connection."""
        return peek(self.sock.fd) == b''

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        reset_on_close(self.sock)
        self.sock.close()


class RawServer:
    """Serves one request at a time on each connection.

    ``accepted`` counts the connections accepted so far.
    """

    __slots__ = (
        'accepted',
        'address',
        'greenlet',
        'handle',
        'open_connections',
        'sock',
    )

    def __init__(
        self,
        handle: Callable[[RawRequest, RawConnection], None],
    ) -> None:
        self.handle = handle
        self.accepted = 0
        self.sock = eventlet.listen(('127.0.0.1', 0))
        host, port = self.sock.getsockname()[:2]
        self.address = f'{host}:{port}'
        self.open_connections: set[socket.socket] = set()
        self.greenlet = eventlet.spawn(self._accept)

    def restart(self) -> None:
        """Listen at the same address again after :meth:`close`."""
        port = int(self.address.rpartition(':')[2])
        self.sock = eventlet.listen(('127.0.0.1', port))
        self.greenlet = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop listening and shut down all connections."""
        self.greenlet.kill()
        self.sock.close()
        for sock in tuple(self.open_connections):
            shutdown_safe(sock)

    def _accept(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            self.open_connections.add(sock)
            self.accepted += 1
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError, h11.RemoteProtocolError):
            while True:
                request = _read_request(sock)
                if request is None:
                    break
                self.handle(request, RawConnection(sock))
        self.open_connections.discard(sock)
        with suppress(OSError):
            sock.close()


def _read_request(sock: socket.socket) -> RawRequest | None:
    parser = h11.Connection(h11.SERVER)
    head = _next_event(parser, sock)
    if not isinstance(head, h11.Request):
        return None
    request = RawRequest(
        method=head.method.decode(),
        target=head.target.decode('latin-1'),
        headers={
            name.decode(): header_value.decode('latin-1')
            for name, header_value in head.headers
        },
        body=b'',
    )
    part = _next_event(parser, sock)
    while isinstance(part, h11.Data):
        request.body += bytes(part.data)
        part = _next_event(parser, sock)
    return request if isinstance(part, h11.EndOfMessage) else None


def _next_event(
    parser: h11.Connection,
    sock: socket.socket,
) -> object:
    event = parser.next_event()
    while event is h11.NEED_DATA:
        parser.receive_data(sock.recv(READ_BYTES))
        event = parser.next_event()
    return event
