"""An HTTP client whose errors tell whether the request may have run.

With the sockets patched by eventlet, calls yield to its event loop while they
wait.  Redirects and the retries of urllib3 are disabled, because only the
router decides whether a request may be sent again.
"""

import http
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import TypeVar

import eventlet
import msgspec
import urllib3
from returns.result import Failure, Result, Success

from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.transport.http_connection import ConnectionPools
from wigeonspoke.transport.response_receiver import (
    RECEIVE_BYTES,
    ResponseTooLarge,
)
from wigeonspoke.transport.socket_options import (
    KEEP_ALIVE_OPTIONS,
    RECEIVE_BUFFER_BYTES,
)

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    *KEEP_ALIVE_OPTIONS,
)
MAX_POOLED_HOSTS = 4096
CONNECTIONS_PER_HOST = 64
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_REPLY_BYTES = 16777216
MAX_LINE_BYTES = 1048576

Reply = TypeVar('Reply')

_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class HttpReply(msgspec.Struct, frozen=True):
    """A complete HTTP response; names of ``headers`` are in lower case."""

    status: int
    content_type: str
    body: bytes
    headers: dict[str, str] = {}

    @property
    def is_ok(self) -> bool:
        """Return whether the status is 200."""
        return self.status == http.HTTPStatus.OK


class HttpError(msgspec.Struct, frozen=True):
    """A request without a response: the reason, and whether it may have run.

    ``peer`` is the address, as ``host:port``.  ``is_refused`` means that its
    host answers and that no process listens there.
    """

    outcome: Outcome
    reason: Reason
    peer: str
    is_refused: bool = False


class ReplyTooLarge(urllib3.exceptions.HTTPError):
    """A reply, or a line of it, is larger than its limit."""


class HttpClient:
    """Sends requests to peers, whose addresses have the form ``host:port``.

    A reply has at most ``max_reply_bytes``.

    >>> HttpClient().post('127.0.0.1:1', '/x', b'').failure().reason.value
    'connect-failed'
    """

    __slots__ = ('headers', 'max_reply_bytes', 'pool')

    def __init__(
        self,
        headers: dict[str, str] | None = None,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        self.headers = headers or {}
        self.max_reply_bytes = max_reply_bytes
        self.pool = ConnectionPools(
            num_pools=MAX_POOLED_HOSTS,
            maxsize=CONNECTIONS_PER_HOST,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def get(
        self,
        peer: str,
        path: str,
        timeout: float = 2.0,
    ) -> Result[HttpReply, HttpError]:
        """Send a GET request with a timeout in seconds."""
        return self.send(peer, 'GET', path, timeout=timeout)

    def post(
        self,
        peer: str,
        path: str,
        body: bytes,
        timeout: float = 2.0,
    ) -> Result[HttpReply, HttpError]:
        """Send a POST request with a timeout in seconds."""
        return self.send(peer, 'POST', path, body, timeout)

    def post_and_stream_lines(
        self,
        peer: str,
        path: str,
        body: bytes,
        timeout: float,
        on_line: Callable[[bytes], None],
    ) -> Result[None, HttpError]:
        """Post a body and pass each line of the response to ``on_line``.

        A status other than 200 is an error with the outcome unknown, since it
        does not tell what was run.
        """
        exchange = partial(
            self._exchange_lines, peer, path, body, timeout, on_line
        )
        return self._call_with_timeout(peer, timeout, exchange)

    def send(
        self,
        peer: str,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = 2.0,
        headers: dict[str, str] | None = None,
        fresh_connection: bool = False,
    ) -> Result[HttpReply, HttpError]:
        """Send a request and wait for the complete response.

        With ``fresh_connection`` the request goes over a new connection, so
        that a failure to connect proves that no byte of it was sent.
        """
        url = f'http://{peer}{path}'
        all_headers = {**self.headers, **(headers or {})}
        exchange = partial(
            self._exchange,
            method,
            url,
            body,
            all_headers,
            timeout,
            fresh_connection,
        )
        return self._call_with_timeout(peer, timeout, exchange)

    def _call_with_timeout(
        self,
        peer: str,
        timeout: float,
        exchange: Callable[[], Reply],
    ) -> Result[Reply, HttpError]:
        timer = eventlet.Timeout(timeout)
        try:
            return Success(exchange())
        except eventlet.Timeout as error:
            if error is not timer:
                raise
            return Failure(HttpError(Outcome.UNKNOWN, Reason.TIMEOUT, peer))
        except _CONNECT_ERRORS as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Failure(
                HttpError(Outcome.NOT_RUN, Reason.CONNECT, peer, is_refused)
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            reason = _find_reason(error)
            return Failure(HttpError(Outcome.UNKNOWN, reason, peer))
        finally:
            timer.cancel()

    def _exchange_lines(
        self,
        peer: str,
        path: str,
        body: bytes,
        timeout: float,
        on_line: Callable[[bytes], None],
    ) -> None:
        response = self.pool.request(
            'POST',
            f'http://{peer}{path}',
            body=body,
            headers=self.headers,
            preload_content=False,
            redirect=False,
            timeout=_limit_phases(timeout),
        )
        with _reusing_if_read(response):
            if response.status != http.HTTPStatus.OK:
                raise urllib3.exceptions.ResponseError(str(response.status))
            for line in read_lines(response):
                on_line(line)

    def _exchange(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout: float,
        fresh_connection: bool,
    ) -> HttpReply:
        pool = _create_pool() if fresh_connection else self.pool
        try:
            response = pool.request(
                method,
                url,
                body=body,
                headers=headers,
                redirect=False,
                preload_content=False,
                timeout=_limit_phases(timeout),
            )
            return HttpReply(
                status=response.status,
                content_type=response.headers.get('Content-Type', ''),
                body=_read_body(response, self.max_reply_bytes),
                headers={
                    name.lower(): text
                    for name, text in response.headers.items()
                },
            )
        finally:
            if fresh_connection:
                pool.clear()


def _find_reason(error: Exception) -> Reason:
    """Return why a response was not received completely."""
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        return Reason.TIMEOUT
    is_too_large = isinstance(error, ReplyTooLarge) or isinstance(
        error.__cause__, ResponseTooLarge
    )
    return Reason.TOO_LARGE if is_too_large else Reason.RESET


def _limit_phases(seconds: float) -> urllib3.Timeout:
    """Return the timeouts for connecting and for reading a response."""
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=seconds)


@contextmanager
def _reusing_if_read(response: urllib3.BaseHTTPResponse) -> Iterator[None]:
    """Release the connection of a response that was read, else close it.

    A connection with an unread response must not be reused.
    """
    is_read = False
    try:
        yield
        is_read = True
    finally:
        if is_read:
            response.release_conn()
        else:
            response.close()


def _read_body(response: urllib3.BaseHTTPResponse, max_bytes: int) -> bytes:
    """Read a complete body, as the peer sent it, up to the size limit."""
    parts: list[bytes] = []
    size = 0
    with _reusing_if_read(response):
        for part in response.stream(RECEIVE_BYTES, decode_content=False):
            size += len(part)
            if size > max_bytes:
                raise ReplyTooLarge
            parts.append(part)
    return b''.join(parts)


def _create_pool() -> urllib3.PoolManager:
    return ConnectionPools(retries=False, socket_options=SOCKET_OPTIONS)


def read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the lines of a response as they arrive.

    Raises
    ------
    urllib3.exceptions.ProtocolError
        The response ends inside a line, so it has been broken off.
    ReplyTooLarge
        A line is larger than ``MAX_LINE_BYTES``.
    """
    buffer = b''
    for chunk in response.stream(amt=None, decode_content=False):
        *lines, buffer = (buffer + chunk).split(b'\n')
        yield from lines
        if len(buffer) > MAX_LINE_BYTES:
            raise ReplyTooLarge
    if buffer:
        raise urllib3.exceptions.ProtocolError('ended inside a line')
