"""An HTTP client whose errors tell whether the request may have run.

With the sockets patched by eventlet, calls yield to its event loop while they
wait.  Redirects and the retries of urllib3 are disabled, because only the
router decides whether a request may be sent again.
"""

import http
import socket
from collections.abc import Callable, Iterator
from functools import partial
from typing import TypeVar

import eventlet
import msgspec
import urllib3
from returns.result import Failure, Result, Success

from wigeonspoke.core.outcomes import Outcome, Reason

# A peer behind a network partition sends no error.  These options make the
# kernel close a connection after about three seconds of silence.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)
MAX_POOLED_HOSTS = 4096
CONNECTIONS_PER_HOST = 64
CONNECT_TIMEOUT_SECONDS = 1.0

Reply = TypeVar('Reply')

_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class HttpReply(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    content_type: str
    body: bytes

    @property
    def is_ok(self) -> bool:
        """Return whether the status is 200."""
        return self.status == http.HTTPStatus.OK


class HttpError(msgspec.Struct, frozen=True):
    """A request without a response: the reason, and whether it may have run.

    ``peer`` is the address, as ``host:port``.
    """

    outcome: Outcome
    reason: Reason
    peer: str


class HttpClient:
    """Sends requests to peers, whose addresses have the form ``host:port``.

    >>> HttpClient().post('127.0.0.1:1', '/x', b'').failure().reason.value
    'connect-failed'
    """

    __slots__ = ('headers', 'pool')

    def __init__(self, headers: dict[str, str] | None = None) -> None:
        self.headers = headers or {}
        self.pool = urllib3.PoolManager(
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
        exchange = partial(self._exchange_lines, peer, path, body, on_line)
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
            self._exchange, method, url, body, all_headers, fresh_connection
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
        except _CONNECT_ERRORS:
            return Failure(HttpError(Outcome.NOT_RUN, Reason.CONNECT, peer))
        except (urllib3.exceptions.HTTPError, OSError):
            return Failure(HttpError(Outcome.UNKNOWN, Reason.RESET, peer))
        finally:
            timer.cancel()

    def _exchange_lines(
        self,
        peer: str,
        path: str,
        body: bytes,
        on_line: Callable[[bytes], None],
    ) -> None:
        response = self.pool.request(
            'POST',
            f'http://{peer}{path}',
            body=body,
            headers=self.headers,
            preload_content=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=None),
        )
        complete = False
        try:
            if response.status != http.HTTPStatus.OK:
                raise urllib3.exceptions.ResponseError(str(response.status))
            for line in read_lines(response):
                on_line(line)
            complete = True
        finally:
            # A connection with an unread response must not be reused.
            if complete:
                response.release_conn()
            else:
                response.close()

    def _exchange(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
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
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=None
                ),
            )
        finally:
            if fresh_connection:
                pool.clear()
        return HttpReply(
            status=response.status,
            content_type=response.headers.get('Content-Type', ''),
            body=response.data,
        )


def _create_pool() -> urllib3.PoolManager:
    return urllib3.PoolManager(retries=False, socket_options=SOCKET_OPTIONS)


def read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the lines of a response as they arrive.

    Data after the last line feed is discarded.
    """
    buffer = b''
    for chunk in response.stream(amt=None):
        *lines, buffer = (buffer + chunk).split(b'\n')
        yield from lines
