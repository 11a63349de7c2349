"""A stand-in for an engine that holds a range of layers."""

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
from wigeonspoke.platform.standins.replica import (
    ReceivedRequest,
    note_request,
)

STALL_SECONDS = 2.0
STEP_SECONDS = 0.01
EVENT_SECONDS = 0.01
SILENCE_SECONDS = 60.0


class EngineStandin:
    """Streams events as the head of a chain, and takes placing orders.

    ``others`` are all engines by address: a chain through one that is dead
    stalls, then breaks, as the pages tell.
    """

    __slots__ = (
        'born',
        'break_after',
        'endpoint_id',
        'events',
        'fence',
        'ignores_orders',
        'is_dead',
        'is_draining',
        'kind',
        'layers',
        'load_seconds',
        'max_layers',
        'orders',
        'others',
        'received',
        'runs',
        'server',
        'service',
        'zone',
    )

    def __init__(
        self,
        endpoint_id: str,
        zone: str,
        others: dict[str, 'EngineStandin'],
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
        self.ignores_orders = False
        self.break_after: int | None = None
        self.received: list[ReceivedRequest] = []
        self.runs: list[ReceivedRequest] = []
        self.server = RawServer(self._handle)
        self.others = others
        others[self.address] = self

    @property
    def address(self) -> str:
        """Give where the engine listens."""
        return self.server.address

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Give the engine's entry in the registry."""
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
            'layers': self._layers(),
        }

    def _layers(self) -> dict[str, int] | None:
        if self.layers is None:
            return None
        return {'from': self.layers[0], 'to': self.layers[1], 'version': 1}

    def _handle(self, request: RawRequest, wire: Wire) -> None:
        if self.is_dead:
            eventlet.sleep(SILENCE_SECONDS)
        elif request.target == '/v1/report':
            self._report(wire)
        elif request.target == '/healthz':
            self._tell_health(wire)
        elif request.target == '/v1/order':
            self._order(request, wire)
        else:
            self._stream(request, wire)

    def _report(self, wire: Wire) -> None:
        report = {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1}],
            'layers': self._layers(),
            'sequence': self.orders,
            'busy': False,
            'born': self.born,
            'pace': 1.0,
            'kv-used': 0,
            'kv-total': 100000,
        }
        wire.answer(http.HTTPStatus.OK, {}, msgspec.json.encode(report))

    def _tell_health(self, wire: Wire) -> None:
        status = http.HTTPStatus.OK
        if self.is_draining:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        wire.answer(status, {'Instance-Id': self.endpoint_id})

    def _order(self, request: RawRequest, wire: Wire) -> None:
        order = msgspec.json.decode(request.body)
        if self.ignores_orders:
            eventlet.sleep(SILENCE_SECONDS)
        elif order['fence'] < self.fence:
            wire.answer(http.HTTPStatus.PRECONDITION_FAILED, {})
        elif order['precondition'] == self.orders:
            self.fence = order['fence']
            self.orders += 1
            wire.answer(http.HTTPStatus.ACCEPTED, {})
            wanted = (order['from'], order['to'])
            eventlet.spawn_after(self.load_seconds, self._hold, wanted)
        else:
            wire.answer(http.HTTPStatus.CONFLICT, {})

    def _hold(self, layers: tuple[int, int]) -> None:
        assert layers[1] - layers[0] <= self.max_layers
        self.layers = layers

    def _stream(self, request: RawRequest, wire: Wire) -> None:
        received = note_request(request)
        self.received.append(received)
        expected = request.headers.get('expect-instance', self.endpoint_id)
        hops = _hops(request.headers['hop-count'])
        fault = self._find_fault(hops)
        if expected != self.endpoint_id:
            wire.answer(http.HTTPStatus.MISDIRECTED_REQUEST, {})
        elif fault is not None:
            wire.answer(
                http.HTTPStatus.MISDIRECTED_REQUEST, {'At-Server': fault}
            )
        elif self._draining(hops) is not None:
            headers = {'Not-Executed': '1', 'At-Server': self._draining(hops)}
            wire.answer(http.HTTPStatus.SERVICE_UNAVAILABLE, headers)
        elif self._dead(hops) is not None:
            eventlet.sleep(STALL_SECONDS)
            headers = {'Not-Executed': '1', 'At-Server': self._dead(hops)}
            wire.answer(http.HTTPStatus.SERVICE_UNAVAILABLE, headers)
        else:
            self.runs.append(received)
            self._write_events(received, hops, wire)

    def _write_events(
        self,
        received: ReceivedRequest,
        hops: dict[str, tuple[int, int]],
        wire: Wire,
    ) -> None:
        wire.write(
            b'HTTP/1.1 200 OK\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n'
            + f'Request-Id: {received.request_id}\r\n'.encode()
            + f'Response-Signature: s.{self.endpoint_id}\r\n\r\n'.encode(),
        )
        first = int(received.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.events + 1):
            eventlet.sleep(EVENT_SECONDS)
            if wire.has_left():
                received.was_cancelled = True
                return
            if number == self.break_after:
                wire.write(b'18\r\nid: 99\nda')
                wire.reset()
                return
            if not self._await_hops(received, hops, wire):
                return
            event = f'id: {number}\ndata: {self._tokens(number)}\n\n'
            wire.write_chunk(event.encode())
        wire.write(b'0\r\n\r\n')

    def _await_hops(
        self,
        received: ReceivedRequest,
        hops: dict[str, tuple[int, int]],
        wire: Wire,
    ) -> bool:
        """Stall while a hop is dead; tell whether the stream may go on."""
        until = time.monotonic() + STALL_SECONDS
        while self._dead(hops) is not None:
            eventlet.sleep(STEP_SECONDS)
            if wire.has_left():
                received.was_cancelled = True
                return False
            if time.monotonic() >= until:
                wire.reset()
                return False
        return True

    def _find_fault(self, hops: dict[str, tuple[int, int]]) -> str | None:
        """Give the address of a hop that does not hold its part."""
        for address, (first, end) in hops.items():
            engine = self.others[address]
            if engine.is_dead:
                continue
            held = engine.layers or (0, 0)
            if first < held[0] or end > held[1]:
                return address
        return None

    def _draining(self, hops: dict[str, tuple[int, int]]) -> str | None:
        for address in hops:
            if self.others[address].is_draining:
                return address
        return None

    def _dead(self, hops: dict[str, tuple[int, int]]) -> str | None:
        for address in hops:
            if self.others[address].is_dead:
                return address
        return None

    def _tokens(self, number: int) -> str:
        return f'token-{number}'


def _hops(header: str) -> dict[str, tuple[int, int]]:
    hops: dict[str, tuple[int, int]] = {}
    for part in header.split(','):
        address, _, layers = part.partition('=')
        first, _, end = layers.partition('-')
        hops[address] = (int(first), int(end))
    return hops
