"""Test double of an engine that holds a range of layers."""

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
from wigeonspoke.platform.standins.replica import (
    ReceivedRequest,
    ends_never,
    record_request,
)
from wigeonspoke.platform.standins.report_headers import (
    backoff_headers,
    report_headers,
)
from wigeonspoke.transport import BodyEnd

STALL_SECONDS = 2.0
POLL_SECONDS = 0.01
EVENT_INTERVAL_SECONDS = 0.01
EVENT_FORMAT = 'id: {number}\ndata: {token}\n\n'
HANG_SECONDS = 60.0


class EngineStandin:
    """Streams events as the head of a chain, and accepts placement orders.

    ``engines`` maps addresses to all engines.  A dead hop stalls a request
    for ``STALL_SECONDS``.  Then the request is refused if it had not started,
    and its connection reset if it had, as the platform's documentation
    describes.
    """

    __slots__ = (
        'away_until',
        'body_end',
        'born',
        'breaks_off_at_event',
        'broken_event_bytes',
        'crash_part',
        'crashes',
        'endpoint_id',
        'ends_under',
        'engines',
        'events',
        'fence',
        'ignores_orders',
        'is_dead',
        'is_draining',
        'is_full',
        'is_up',
        'keeps_layers',
        'kind',
        'layers',
        'load_seconds',
        'max_layers',
        'named_limit',
        'orders',
        'received',
        'reports',
        'reset_at_event',
        'restart_seconds',
        'retry_after',
        'runs',
        'says_leaving',
        'server',
        'service',
        'zone',
    )

    def __init__(
        self,
        endpoint_id: str,
        zone: str,
        engines: dict[str, 'EngineStandin'],
        service: str = 'drafting',
        kind: str = 'small',
        max_layers: int = 12,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.zone = zone
        self.service = service
        self.kind = kind
        self.max_layers = max_layers
        self.layers: tuple[int, int] | None = None
        self.born = 1
        self.orders = 0
        self.fence = 0
        self.events = 20
        self.load_seconds = 0.02
        self.is_dead = False
        self.is_draining = False
        # Whether all slots are taken, so that requests are refused.
        self.is_full = False
        # Number of state reports sent.
        self.reports = 0
        self.ignores_orders = False
        self.reset_at_event: int | None = None
        # Part of a prompt on which the engine ends after the first event.
        self.crash_part: str | None = None
        # Whether the engine ends before the first event of a request.
        self.ends_under: Callable[[ReceivedRequest], bool] = ends_never
        self.restart_seconds = 0.5
        # Whether an engine that has ended starts again with its layers.
        self.keeps_layers = False
        self.is_up = True
        # Requests a second that its answers name as its limit.
        self.named_limit: float | None = None
        # Whether all answers say that the engine leaves.
        self.says_leaving = False
        # Until when requests are refused with the time that is left, or with
        # the text ``retry_after`` in its place.
        self.away_until = 0
        self.retry_after: str | None = None
        # When the engine ended, on the monotonic clock.
        self.crashes: list[float] = []
        # What marks the end of the body of a stream.
        self.body_end = BodyEnd.LAST_CHUNK
        # Event at which the body ends as if it were complete, after
        # ``broken_event_bytes`` of it.
        self.breaks_off_at_event: int | None = None
        self.broken_event_bytes = 12
        self.received: list[ReceivedRequest] = []
        self.runs: list[ReceivedRequest] = []
        self.server = RawServer(self._handle)
        self.engines = engines
        engines[self.address] = self

    @property
    def address(self) -> str:
        """The address on which the engine listens."""
        return self.server.address

    def registry_entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the engine's entry in the registry."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 96,
            'state': state,
            'kind': self.kind,
            'sequence': 1,
            'born': self.born,
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'layers': self._encode_layers(),
        }

    def crash(self) -> None:
        """End at once, and start again later with nothing of before."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes.append(time.monotonic())
        self.server.close()
        eventlet.spawn_after(self.restart_seconds, self._start_again)

    def _encode_layers(self) -> dict[str, int] | None:
        if self.layers is None:
            return None
        return {'from': self.layers[0], 'to': self.layers[1], 'version': 1}

    def _start_again(self) -> None:
        if not self.keeps_layers:
            self.layers = None
        self.orders = 0
        self.fence = 0
        self.born += 1
        self.is_up = True
        self.says_leaving = False
        self.away_until = 0
        self.server.restart()

    def _handle(self, request: RawRequest, connection: RawConnection) -> None:
        if self.is_dead:
            eventlet.sleep(HANG_SECONDS)
        elif request.target == '/v1/report':
            self._send_report(connection)
        elif request.target == '/healthz':
            self._send_health(connection)
        elif request.target == '/v1/order':
            self._handle_order(request, connection)
        else:
            self._handle_stream(request, connection)

    def _send_report(self, connection: RawConnection) -> None:
        self.reports += 1
        report = {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1}],
            'layers': self._encode_layers(),
            'sequence': self.orders,
            'busy': False,
            'born': self.born,
            'pace': 1.0,
            'kv-used': 0,
            'kv-total': 100000,
        }
        connection.respond(
            http.HTTPStatus.OK,
            report_headers(self),
            msgspec.json.encode(report),
        )

    def _send_health(self, connection: RawConnection) -> None:
        status = http.HTTPStatus.OK
        if self.is_draining:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        headers = {'Instance-Id': self.endpoint_id} | report_headers(self)
        connection.respond(status, headers)

    def _handle_order(
        self, request: RawRequest, connection: RawConnection
    ) -> None:
        order = msgspec.json.decode(request.body)
        if self.ignores_orders:
            eventlet.sleep(HANG_SECONDS)
        elif order['fence'] < self.fence:
            connection.respond(http.HTTPStatus.PRECONDITION_FAILED, {})
        elif order['precondition'] == self.orders:
            self.fence = order['fence']
            self.orders += 1
            connection.respond(http.HTTPStatus.ACCEPTED, report_headers(self))
            layers = (order['from'], order['to'])
            eventlet.spawn_after(self.load_seconds, self._set_layers, layers)
        else:
            connection.respond(http.HTTPStatus.CONFLICT, {})

    def _set_layers(self, layers: tuple[int, int]) -> None:
        assert layers[1] - layers[0] <= self.max_layers
        self.layers = layers

    def _handle_stream(
        self, request: RawRequest, connection: RawConnection
    ) -> None:
        received = record_request(request)
        self.received.append(received)
        expected = request.headers.get('expect-instance', self.endpoint_id)
        hops = _parse_hops(request.headers['hop-count'])
        if self._find_dead_hop(hops) is not None:
            eventlet.sleep(STALL_SECONDS)
        refusal = self._find_refusal(expected, hops)
        if refusal is not None:
            status, headers = refusal
            connection.respond(status, headers | report_headers(self))
            return
        self.runs.append(received)
        self._write_events(received, hops, connection)

    def _find_refusal(
        self, expected: str, hops: dict[str, tuple[int, int]]
    ) -> tuple[http.HTTPStatus, dict[str, str]] | None:
        """Return status and headers of a refusal, None if there is none."""
        if expected != self.endpoint_id:
            return (http.HTTPStatus.MISDIRECTED_REQUEST, {})
        address = self._find_hop_without_layers(hops)
        if address is not None:
            return (
                http.HTTPStatus.MISDIRECTED_REQUEST,
                {'At-Server': address},
            )
        if time.monotonic() < self.away_until:
            headers = backoff_headers(self)
            return (http.HTTPStatus.SERVICE_UNAVAILABLE, headers)
        headers = {'Not-Executed': '1'}
        if self.is_full:
            return (http.HTTPStatus.SERVICE_UNAVAILABLE, headers)
        address = self._find_draining_hop(hops) or self._find_dead_hop(hops)
        if address is None:
            return None
        headers['At-Server'] = address
        return (http.HTTPStatus.SERVICE_UNAVAILABLE, headers)

    def _write_events(
        self,
        received: ReceivedRequest,
        hops: dict[str, tuple[int, int]],
        connection: RawConnection,
    ) -> None:
        self._write_head(received, connection)
        first = int(received.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.events + 1):
            eventlet.sleep(EVENT_INTERVAL_SECONDS)
            if number == self.reset_at_event:
                connection.write(b'18\r\nid: 99\nda')
                connection.reset()
                return
            goes_on = self._wait_for_hops(received, hops, connection)
            if not goes_on or self._ends_under(received, number - first):
                return
            token = self._format_token(number)
            event = EVENT_FORMAT.format(number=number, token=token)
            if number == self.breaks_off_at_event:
                event = event[: self.broken_event_bytes]
                self._write_part(event.encode(), connection)
                break
            self._write_part(event.encode(), connection)
        if self.body_end is BodyEnd.CLOSE:
            connection.sock.close()
        else:
            connection.write(b'0\r\n\r\n')

    def _write_head(
        self, received: ReceivedRequest, connection: RawConnection
    ) -> None:
        framing = 'Transfer-Encoding: chunked'
        if self.body_end is BodyEnd.CLOSE:
            framing = 'Connection: close'
        lines = (
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            framing,
            f'Request-Id: {received.request_id}',
            f'Response-Signature: s.{self.endpoint_id}',
        )
        report_lines = (
            f'{name}: {text}' for name, text in report_headers(self).items()
        )
        head = '\r\n'.join((*lines, *report_lines))
        connection.write(f'{head}\r\n\r\n'.encode())

    def _ends_under(self, received: ReceivedRequest, written: int) -> bool:
        """End under a request, or after the first event on a part."""
        has_crash_part = written and _has_part(received, self.crash_part)
        if has_crash_part or self.ends_under(received):
            self.crash()
        return not self.is_up

    def _write_part(self, part: bytes, connection: RawConnection) -> None:
        if self.body_end is BodyEnd.CLOSE:
            connection.write(part)
        elif part:
            connection.write_chunk(part)

    def _wait_for_hops(
        self,
        received: ReceivedRequest,
        hops: dict[str, tuple[int, int]],
        connection: RawConnection,
    ) -> bool:
        """Stall while a hop is dead; return whether the stream continues."""
        deadline = time.monotonic() + STALL_SECONDS
        while not connection.is_closed_by_peer():
            if self._find_dead_hop(hops) is None:
                return True
            if time.monotonic() >= deadline:
                connection.reset()
                return False
            eventlet.sleep(POLL_SECONDS)
        received.was_cancelled = True
        return False

    def _find_hop_without_layers(
        self, hops: dict[str, tuple[int, int]]
    ) -> str | None:
        """Return the address of a live hop that lacks the layers it needs."""
        for address, (first, end) in hops.items():
            engine = self.engines[address]
            if engine.is_dead or not engine.is_up:
                continue
            held_layers = engine.layers or (0, 0)
            if first < held_layers[0] or end > held_layers[1]:
                return address
        return None

    def _find_draining_hop(
        self, hops: dict[str, tuple[int, int]]
    ) -> str | None:
        for address in hops:
            if self.engines[address].is_draining:
                return address
        return None

    def _find_dead_hop(self, hops: dict[str, tuple[int, int]]) -> str | None:
        for address in hops:
            engine = self.engines[address]
            if engine.is_dead or not engine.is_up:
                return address
        return None

    def _format_token(self, number: int) -> str:
        return f'token-{number}'


def _has_part(received: ReceivedRequest, part_id: str | None) -> bool:
    parts = received.headers.get('prompt-prefix', '').split(',')
    return part_id in {part.partition(':')[0] for part in parts}


def _parse_hops(header: str) -> dict[str, tuple[int, int]]:
    hops: dict[str, tuple[int, int]] = {}
    for hop in header.split(','):
        address, _, layers = hop.partition('=')
        first, _, end = layers.partition('-')
        hops[address] = (int(first), int(end))
    return hops
