"""Test double of a replica of a service without engines."""

import enum
import http
import time
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec

from wigeonspoke.platform.standins.raw_server import (
    RawConnection,
    RawRequest,
    RawServer,
)
from wigeonspoke.platform.standins.report_headers import (
    backoff_headers,
    report_headers,
)

HEALTH_PATH = '/healthz'
POLL_SECONDS = 0.01
HANG_SECONDS = 30.0
# How long a request runs before the replica ends under it.
RUN_BEFORE_END_SECONDS = 0.05


@enum.unique
class ReplicaFault(enum.StrEnum):
    """A fault that a replica injects.

    ``SHED`` refuses requests, and ``RESET`` resets the connection, before the
    request runs.  With the other faults the request runs first.
    ``UNFRAMED`` responses have no length and end with the connection.
    """

    NONE = 'none'
    SHED = 'shed'
    ERROR = 'error'
    RESET = 'reset'
    RESET_AFTER_RUN = 'reset after run'
    HANG = 'hang'
    GARBLED = 'garbled'
    TRUNCATED = 'truncated'
    EXTRA_RESPONSE = 'extra response'
    UNFRAMED = 'unframed'
    WRONG_REQUEST_ID = 'wrong request id'
    UNSIGNED = 'unsigned'


class ReceivedRequest(msgspec.Struct):
    """A request that a replica or engine received."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float
    was_cancelled: bool = False


class ReplicaStandin:
    """Runs each request for ``run_seconds`` and sends a signed response.

    ``received`` lists all requests, and ``runs`` those that were executed.
    A replica that has ended starts again at its address, under a new id or,
    with ``keeps_id``, under the same one.
    """

    __slots__ = (
        'away_until',
        'born',
        'crashes',
        'endpoint_id',
        'ends_under',
        'fault',
        'is_up',
        'keeps_id',
        'named_limit',
        'received',
        'restart_seconds',
        'retry_after',
        'run_seconds',
        'runs',
        'says_leaving',
        'server',
        'service',
        'zone',
    )

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        zone: str,
        run_seconds: float = 0,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.zone = zone
        self.born = 1
        self.run_seconds = run_seconds
        self.fault = ReplicaFault.NONE
        # Whether the replica ends when it has begun to run a request.
        self.ends_under: Callable[[ReceivedRequest], bool] = ends_never
        self.restart_seconds = 0.5
        self.keeps_id = False
        self.is_up = True
        # When the replica ended, on the monotonic clock.
        self.crashes: list[float] = []
        # Requests a second that its answers name as its limit.
        self.named_limit: float | None = None
        # Whether all answers say that the replica leaves.
        self.says_leaving = False
        # Until when requests are refused with the time that is left, or with
        # the text ``retry_after`` in its place.
        self.away_until = 0
        self.retry_after: str | None = None
        self.received: list[ReceivedRequest] = []
        self.runs: list[ReceivedRequest] = []
        self.server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """The address on which the replica listens."""
        return self.server.address

    def registry_entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the replica's entry in the registry."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': state,
            'sequence': 1,
            'born': self.born,
        }

    def crash(self) -> None:
        """End at once, and start again later at the same address."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes.append(time.monotonic())
        self.server.close()
        eventlet.spawn_after(self.restart_seconds, self._start_again)

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of a response of this replica."""
        headers = {
            'Request-Id': request_id,
            'Response-Signature': f'stamp.{self.endpoint_id}',
        }
        return headers | report_headers(self)

    def _start_again(self) -> None:
        self.born += 1
        if not self.keeps_id:
            name = self.endpoint_id.partition('+')[0]
            self.endpoint_id = f'{name}+{self.born}'
        self.is_up = True
        self.says_leaving = False
        self.away_until = 0
        self.server.restart()

    def _handle(self, request: RawRequest, connection: RawConnection) -> None:
        if request.target == HEALTH_PATH:
            headers = {'Instance-Id': self.endpoint_id}
            connection.respond(http.HTTPStatus.OK, headers)
            return
        received = record_request(request)
        self.received.append(received)
        expected = request.headers.get('expect-instance', self.endpoint_id)
        if expected in {'', self.endpoint_id}:
            self._admit(received, connection)
            return
        headers = {'Instance-Id': self.endpoint_id} | report_headers(self)
        connection.respond(http.HTTPStatus.MISDIRECTED_REQUEST, headers)

    def _admit(
        self, received: ReceivedRequest, connection: RawConnection
    ) -> None:
        if time.monotonic() < self.away_until:
            headers = backoff_headers(self)
            headers['Request-Id'] = received.request_id
            connection.respond(http.HTTPStatus.SERVICE_UNAVAILABLE, headers)
        elif self.fault is ReplicaFault.SHED:
            headers = {'Not-Executed': '1'} | report_headers(self)
            connection.respond(http.HTTPStatus.SERVICE_UNAVAILABLE, headers)
        elif self.fault is ReplicaFault.RESET:
            connection.reset()
        else:
            self._serve(received, connection)

    def _serve(
        self, received: ReceivedRequest, connection: RawConnection
    ) -> None:
        if self.fault is ReplicaFault.HANG:
            self._run(received, connection, HANG_SECONDS)
            return
        if self.ends_under(received):
            self._run(received, connection, RUN_BEFORE_END_SECONDS)
            self.crash()
            return
        self._run(received, connection, self.run_seconds)
        self._respond(received, connection)

    def _run(
        self,
        received: ReceivedRequest,
        connection: RawConnection,
        seconds: float,
    ) -> None:
        self.runs.append(received)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            eventlet.sleep(POLL_SECONDS)
            if connection.is_closed_by_peer():
                received.was_cancelled = True
                return

    def _respond(
        self, received: ReceivedRequest, connection: RawConnection
    ) -> None:
        headers = self.headers(received.request_id)
        body = f'answer to {received.request_id}'.encode()
        _RESPONDERS.get(self.fault, _respond_completely)(
            connection, headers, body
        )


def ends_never(_received: ReceivedRequest) -> bool:
    """Tell that an endpoint does not end under a request."""
    return False


def record_request(request: RawRequest) -> ReceivedRequest:
    """Return a record of a request with its time of arrival."""
    return ReceivedRequest(
        request_id=request.headers.get('request-id', ''),
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        received_at=time.monotonic(),
    )


def send_truncated(
    connection: RawConnection, headers: dict[str, str], body: bytes
) -> None:
    """Reset the connection after the first five bytes of the body."""
    lines = [
        f'{name}: {header_value}' for name, header_value in headers.items()
    ]
    lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines])
    connection.write(f'{head}\r\n\r\n'.encode() + body[:5])
    connection.reset()


def send_unframed(
    connection: RawConnection, headers: dict[str, str], body: bytes
) -> None:
    """Send a response without a length, delimited by the end of connection."""
    lines = [
        f'{name}: {header_value}' for name, header_value in headers.items()
    ]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, 'Connection: close'])
    connection.write(f'{head}\r\n\r\n'.encode() + body)
    connection.sock.close()


def _respond_completely(
    connection: RawConnection, headers: dict[str, str], body: bytes
) -> None:
    connection.respond(http.HTTPStatus.OK, headers, body)


def _respond_with_error(
    connection: RawConnection, headers: dict[str, str], _: bytes
) -> None:
    connection.respond(
        http.HTTPStatus.INTERNAL_SERVER_ERROR,
        headers,
        b'application error',
    )


def _reset(
    connection: RawConnection, _headers: dict[str, str], _body: bytes
) -> None:
    connection.reset()


def _send_garbage(
    connection: RawConnection, _headers: dict[str, str], _body: bytes
) -> None:
    connection.write(b'\x00\x17 not an HTTP response\r\n\r\n')
    connection.reset()


def _respond_with_wrong_id(
    connection: RawConnection, headers: dict[str, str], body: bytes
) -> None:
    connection.respond(
        http.HTTPStatus.OK, {**headers, 'Request-Id': 'other'}, body
    )


def _respond_unsigned(
    connection: RawConnection,
    headers: dict[str, str],
    body: bytes,
) -> None:
    unsigned = {'Request-Id': headers['Request-Id']}
    connection.respond(http.HTTPStatus.OK, unsigned, body)


def _respond_twice(
    connection: RawConnection, headers: dict[str, str], body: bytes
) -> None:
    connection.respond(http.HTTPStatus.OK, headers, body)
    connection.respond(http.HTTPStatus.OK, headers, b'a second response')


_RESPONDERS = {
    ReplicaFault.ERROR: _respond_with_error,
    ReplicaFault.RESET_AFTER_RUN: _reset,
    ReplicaFault.GARBLED: _send_garbage,
    ReplicaFault.TRUNCATED: send_truncated,
    ReplicaFault.UNFRAMED: send_unframed,
    ReplicaFault.WRONG_REQUEST_ID: _respond_with_wrong_id,
    ReplicaFault.UNSIGNED: _respond_unsigned,
    ReplicaFault.EXTRA_RESPONSE: _respond_twice,
}
