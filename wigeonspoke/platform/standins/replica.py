"""A stand-in for a replica of a plain service."""

import enum
import http
import time
from typing import Any

import eventlet
import msgspec

from wigeonspoke.platform.standins.raw_server import (
    RawRequest,
    RawServer,
    Wire,
)

STEP_SECONDS = 0.01
SILENCE_SECONDS = 30.0


@enum.unique
class ReplicaFault(enum.StrEnum):
    """What a replica does wrong."""

    NONE = 'none'
    SHED = 'shed'
    ERROR = 'error'
    RESET = 'reset'
    RESET_AFTER_RUN = 'reset after run'
    SILENT = 'silent'
    GARBLED = 'garbled'
    CUT_SHORT = 'cut short'
    EXTRA_ANSWER = 'extra answer'
    UNFRAMED = 'unframed'
    OTHER_ID = 'other id'
    UNSIGNED = 'unsigned'


class ReceivedRequest(msgspec.Struct):
    """A request that a replica began to work on."""

    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float
    was_cancelled: bool = False


class ReplicaStandin:
    """Runs requests after a delay and answers with a signed body."""

    __slots__ = (
        'endpoint_id',
        'fault',
        'received',
        'run_seconds',
        'runs',
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
        self.run_seconds = run_seconds
        self.fault = ReplicaFault.NONE
        self.received: list[ReceivedRequest] = []
        self.runs: list[ReceivedRequest] = []
        self.server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """Give where the replica listens."""
        return self.server.address

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Give the replica's entry in the registry."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': state,
            'sequence': 1,
            'born': 1,
        }

    def headers(self, request_id: str) -> dict[str, str]:
        """Give the headers of an answer of this replica."""
        return {
            'Request-Id': request_id,
            'Response-Signature': f'stamp.{self.endpoint_id}',
        }

    def _handle(self, request: RawRequest, wire: Wire) -> None:
        received = note_request(request)
        self.received.append(received)
        expected = request.headers.get('expect-instance', self.endpoint_id)
        if expected in {'', self.endpoint_id}:
            self._take(received, wire)
            return
        headers = {'Instance-Id': self.endpoint_id}
        wire.answer(http.HTTPStatus.MISDIRECTED_REQUEST, headers)

    def _take(self, received: ReceivedRequest, wire: Wire) -> None:
        if self.fault is ReplicaFault.SHED:
            headers = {'Not-Executed': '1'}
            wire.answer(http.HTTPStatus.SERVICE_UNAVAILABLE, headers)
        elif self.fault is ReplicaFault.RESET:
            wire.reset()
        else:
            self._serve(received, wire)

    def _serve(self, received: ReceivedRequest, wire: Wire) -> None:
        if self.fault is ReplicaFault.SILENT:
            self._run(received, wire, SILENCE_SECONDS)
            return
        self._run(received, wire, self.run_seconds)
        self._answer(received, wire)

    def _run(
        self,
        received: ReceivedRequest,
        wire: Wire,
        seconds: float,
    ) -> None:
        self.runs.append(received)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            eventlet.sleep(STEP_SECONDS)
            if wire.has_left():
                received.was_cancelled = True
                return

    def _answer(self, received: ReceivedRequest, wire: Wire) -> None:
        headers = self.headers(received.request_id)
        body = f'answer to {received.request_id}'.encode()
        _ANSWERS.get(self.fault, _answer_whole)(wire, headers, body)


def note_request(request: RawRequest) -> ReceivedRequest:
    """Keep what came with a request."""
    return ReceivedRequest(
        request_id=request.headers.get('request-id', ''),
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        at=time.monotonic(),
    )


def cut_short(wire: Wire, headers: dict[str, str], body: bytes) -> None:
    """Announce a body and end the connection in the middle of it."""
    lines = [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines])
    wire.write(f'{head}\r\n\r\n'.encode() + body[:5])
    wire.reset()


def write_unframed(wire: Wire, headers: dict[str, str], body: bytes) -> None:
    """Write an answer without a length, which ends with its connection."""
    lines = [f'{name}: {text}' for name, text in headers.items()]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, 'Connection: close'])
    wire.write(f'{head}\r\n\r\n'.encode() + body)
    wire.sock.close()


def _answer_whole(wire: Wire, headers: dict[str, str], body: bytes) -> None:
    wire.answer(http.HTTPStatus.OK, headers, body)


def _answer_error(wire: Wire, headers: dict[str, str], _: bytes) -> None:
    wire.answer(
        http.HTTPStatus.INTERNAL_SERVER_ERROR,
        headers,
        b'application error',
    )


def _reset(wire: Wire, _headers: dict[str, str], _body: bytes) -> None:
    wire.reset()


def _garble(wire: Wire, _headers: dict[str, str], _body: bytes) -> None:
    wire.write(b'\x00\x17 no answer at all\r\n\r\n')
    wire.reset()


def _answer_other(wire: Wire, headers: dict[str, str], body: bytes) -> None:
    wire.answer(http.HTTPStatus.OK, {**headers, 'Request-Id': 'other'}, body)


def _answer_unsigned(
    wire: Wire,
    headers: dict[str, str],
    body: bytes,
) -> None:
    unsigned = {'Request-Id': headers['Request-Id']}
    wire.answer(http.HTTPStatus.OK, unsigned, body)


def _answer_twice(wire: Wire, headers: dict[str, str], body: bytes) -> None:
    wire.answer(http.HTTPStatus.OK, headers, body)
    wire.answer(http.HTTPStatus.OK, headers, b'a second answer')


_ANSWERS = {
    ReplicaFault.ERROR: _answer_error,
    ReplicaFault.RESET_AFTER_RUN: _reset,
    ReplicaFault.GARBLED: _garble,
    ReplicaFault.CUT_SHORT: cut_short,
    ReplicaFault.UNFRAMED: write_unframed,
    ReplicaFault.OTHER_ID: _answer_other,
    ReplicaFault.UNSIGNED: _answer_unsigned,
    ReplicaFault.EXTRA_ANSWER: _answer_twice,
}
