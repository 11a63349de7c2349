"""Connections of the HTTP client, which limit what their peers may send."""

import http
import io
import time
from http.client import HTTPException, HTTPResponse
from typing import BinaryIO

import urllib3
from eventlet.greenio import GreenSocket

from wigeonspoke.transport.connection_loss import Operation
from wigeonspoke.transport.response_receiver import (
    MAX_INFORMATIONAL_HEADS,
    ResponseReceiver,
)


class _ResponseSocket(GreenSocket):
    """A socket that receives through :class:`ResponseReceiver`.

    The green socket reports a reset as a regular end of the connection; this
    one raises the error, also if a send has met it.
    """

    def __init__(self, sock: GreenSocket) -> None:
        super().__init__(sock.fd)
        # The green socket closes the connection when it is collected.
        self.green_socket = sock
        self.receiver = ResponseReceiver(sock.fd)
        self.deadline = 0

    def begin_response(self, seconds: float) -> None:
        """Begin to read a response, with a timeout in seconds."""
        self.deadline = time.monotonic() + seconds
        self.receiver.begin_response()

    def send(self, payload: bytes, flags: int = 0) -> int:
        """Send bytes; the library goes on to read after some errors."""
        try:
            return super().send(payload, flags)
        except OSError as error:
            self.receiver.record_loss(Operation.SEND, error)
            raise

    def recv_into(
        self, buffer: memoryview, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Receive into a buffer; return the number of bytes."""
        received = self.receiver.receive(self.deadline, nbytes or len(buffer))
        return io.BytesIO(received).readinto(buffer)


class _HeadReader:
    """Reads the lines of a head, and raises if it ends early.

    The library takes the end of a connection for that of the head.
    """

    __slots__ = ('reader',)

    def __init__(self, reader: BinaryIO) -> None:
        self.reader = reader

    def readline(self, limit: int) -> bytes:
        """Read a line of at most ``limit`` bytes."""
        line = self.reader.readline(limit)
        if len(line) < limit and not line.endswith(b'\n'):
            raise HTTPException('the head ends early')
        return line

    def close(self) -> None:
        """Close the input."""
        self.reader.close()


class _FinalResponse(HTTPResponse):
    """Passes over informational responses."""

    def begin(self) -> None:
        """Read the head of the response."""
        reader = self.fp
        self.fp = _HeadReader(reader)
        try:
            super().begin()
            for _ in range(MAX_INFORMATIONAL_HEADS):
                if self.status >= http.HTTPStatus.OK:
                    return
                self.headers = None
                super().begin()
        finally:
            self.fp = reader
        raise HTTPException('informational responses')


class _Connection(urllib3.connection.HTTPConnection):
    """A connection with limits on the responses."""

    response_class = _FinalResponse

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.sock = _ResponseSocket(self.sock)

    def getresponse(self) -> urllib3.HTTPResponse:
        """Read the head of a response."""
        self.sock.begin_response(self.timeout)
        return super().getresponse()


# The attribute with which the library lets pools use other connections.
_ConnectionPool = type(
    'ConnectionPool',
    (urllib3.HTTPConnectionPool,),
    {'ConnectionCls': _Connection},
)


class ConnectionPools(urllib3.PoolManager):
    """Connection pools of all peers."""

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {'http': _ConnectionPool}
