"""Nodes that cannot reach endpoints, and traffic to measure the effect."""

import enum
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial, wraps

import eventlet
import msgspec
import pytest
from returns.result import Failure

from wigeonspoke.core.outcomes import Reason
from wigeonspoke.ingress import IngressNode
from wigeonspoke.ingress.fleet.prober import Prober
from wigeonspoke.ingress.protocols import EngineFailure
from wigeonspoke.ingress.requests.endpoint_attempt import EndpointAttempt
from wigeonspoke.ingress.requests.request_handler import RequestHandler
from wigeonspoke.platform.engine_control import PlatformEngineControl
from wigeonspoke.platform.tests.harness import Harness, send_request
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    request_stream,
)
from wigeonspoke.transport import ReadTimeout

# All nodes, clients and endpoints share one process.
REQUEST_INTERVAL_SECONDS = 0.4
POLL_SECONDS = 0.02
# Traffic before a cut, after which nodes know what they reach.
TRAFFIC_SECONDS = 1.5


@enum.unique
class Cut(enum.StrEnum):
    """What happens to connections to endpoints that are not reached.

    With the last two, connections are established, by a device on the path or
    a listen queue that nobody reads.  The data sent then is lost, or is
    answered by a reset.
    """

    HANG = 'hang'
    RESET = 'reset'
    ACCEPT_HANG = 'accept-hang'
    ACCEPT_RESET = 'accept-reset'

    @property
    def accepts(self) -> bool:
        """Whether connections are established."""
        return self in {Cut.ACCEPT_HANG, Cut.ACCEPT_RESET}


class Isolation:
    """Cuts nodes from endpoints, by the names of the nodes.

    All nodes run in one process, so that the node of a connection is found by
    the calls that lead to it.  ``breaks_open`` also cuts open connections.
    ``spares_trials`` is whether the node's trial connections are established
    and answered all the same.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, harness: Harness
    ) -> None:
        self.harness = harness
        self.names: set[str] = set()
        self.cut = Cut.HANG
        self.breaks_open = True
        self.spares_trials = False
        self.only: set[str] | None = None
        self.addresses = {
            endpoint.address
            for endpoint in (*harness.replicas, *harness.engines)
        }
        self.local = threading.local()
        self.owners: dict[EndpointAttempt, str] = {}
        monkeypatch.setattr(RequestHandler, 'send', self._owned('send'))
        for name in ('_probe', '_accepts_connection', 'try_connection', 'ask'):
            if hasattr(Prober, name):
                patched = self._owned(name, Prober)
                monkeypatch.setattr(Prober, name, patched)
        monkeypatch.setattr(
            EndpointAttempt,
            '_send_all',
            self._send_all(EndpointAttempt._send_all),
        )
        monkeypatch.setattr(
            EndpointAttempt, 'connect', self._connect(EndpointAttempt.connect)
        )
        monkeypatch.setattr(
            EndpointAttempt, '_receive', self._receive(EndpointAttempt._receive)
        )
        monkeypatch.setattr(
            PlatformEngineControl,
            'fetch_state',
            self._fetch(PlatformEngineControl.fetch_state),
        )

    def is_cut(self, name: str, address: str) -> bool:
        """Return whether a node does not reach an address."""
        cut = self.addresses if self.only is None else self.only
        return name in self.names and address in cut

    def _owned(self, name: str, owner: type = RequestHandler) -> Callable:
        original = getattr(owner, name)

        @wraps(original)
        def call(instance, *arguments, **options):
            before = getattr(self.local, 'node', '')
            is_spared = owner is Prober and self.spares_trials
            self.local.node = '' if is_spared else instance.state.settings.name
            try:
                return original(instance, *arguments, **options)
            finally:
                self.local.node = before

        return call

    def _connect(self, original: Callable) -> Callable:
        def connect(attempt, seconds):
            name = getattr(self.local, 'node', '')
            self.owners[attempt] = name
            is_cut = self.is_cut(name, attempt.peer)
            if not is_cut or self.cut.accepts:
                original(attempt, seconds)
                return
            cause: OSError = ConnectionResetError()
            if self.cut is Cut.HANG:
                eventlet.sleep(max(0, seconds))
                cause = TimeoutError()
            raise attempt._error(Reason.CONNECT, 'connect') from cause

        return connect

    def _send_all(self, original: Callable) -> Callable:
        def send_all(attempt, payload):
            name = self.owners.get(attempt, '')
            is_cut = self.breaks_open and self.is_cut(name, attempt.peer)
            if not (is_cut and self.cut.accepts):
                original(attempt, payload)

        return send_all

    def _receive(self, original: Callable) -> Callable:
        def receive(attempt, deadline):
            received = None
            while received is None:
                received = self._receive_soon(original, attempt, deadline)
            return received

        return receive

    def _receive_soon(self, original, attempt, deadline) -> bytes | None:
        """Receive with a short timeout, so that a cut is noticed meanwhile."""
        name = self.owners.get(attempt, '')
        is_cut = self.breaks_open and self.is_cut(name, attempt.peer)
        until = min(deadline, time.monotonic() + POLL_SECONDS)
        try:
            if attempt.is_aborted or not is_cut:
                return original(attempt, until)
            return self._receive_cut(attempt, until)
        except ReadTimeout:
            if time.monotonic() >= deadline:
                raise
        return None

    def _receive_cut(self, attempt, until):
        if self.cut in {Cut.RESET, Cut.ACCEPT_RESET}:
            attempt.is_ended_by_peer = True
            raise attempt._error(Reason.RESET, 'answer')
        eventlet.sleep(max(0, until - time.monotonic()))
        raise ReadTimeout

    def _fetch(self, original: Callable) -> Callable:
        def fetch_state(control, address, timeout):
            name = getattr(self.local, 'node', '')
            if not self.is_cut(name, address):
                return original(control, address, timeout)
            if self.cut in {Cut.HANG, Cut.ACCEPT_HANG}:
                eventlet.sleep(timeout)
            return Failure(EngineFailure('cut'))

        return fetch_state


class Result(msgspec.Struct, frozen=True):
    """How one request went."""

    node: str
    kind: str
    sent_at: float
    is_served: bool
    status: int


class Traffic:
    """Sends calls, calls that must not be repeated, and streams to nodes."""

    def __init__(self, harness: Harness, nodes: list[IngressNode]) -> None:
        self.harness = harness
        self.results: list[Result] = []
        self.number = 0
        self.senders = [
            eventlet.spawn(self._send_all, node, kind)
            for node in nodes
            for kind in ('call', 'once', 'stream')
        ]

    def stop(self) -> None:
        """Stop sending."""
        for sender in self.senders:
            sender.kill()

    def share(self, kind: str, names: set[str], since: float) -> float:
        """Return the share of requests served at nodes since a time."""
        served = [
            result.is_served
            for result in self.results
            if result.kind == kind
            and result.node in names
            and result.sent_at >= since
        ]
        assert served, 'no requests'
        return sum(served) / len(served)

    def _send_all(self, node: IngressNode, kind: str) -> None:
        while True:
            eventlet.spawn(self._send, node, kind)
            eventlet.sleep(REQUEST_INTERVAL_SECONDS)

    def _send(self, node: IngressNode, kind: str) -> None:
        self.number += 1
        request_id = f'{kind}-{self.number}'
        sent_at = time.monotonic()
        status, is_served = 0, False
        try:
            status, is_served = self._exchange(node, kind, request_id)
        except (OSError, AssertionError, KeyError):
            is_served = False
        name = node.state.settings.name
        self.results.append(Result(name, kind, sent_at, is_served, status))

    def _exchange(
        self, node: IngressNode, kind: str, request_id: str
    ) -> tuple[int, bool]:
        if kind == 'stream':
            status, _, body = request_stream(
                self.harness, request_id, node=node
            )
            return status, event_ids(body) == ALL_EVENTS
        method, path = 'GET', '/read/x'
        if kind == 'once':
            method, path = 'POST', '/write/x'
        status, _, body = send_request(
            self.harness, method, path, request_id, node=node
        )
        return status, body == f'answer to {request_id}'.encode()


def expect_no_second_run(harness: Harness) -> None:
    """Check that no request that must not be repeated ran twice."""
    runs: dict[str, int] = defaultdict(int)
    for replica in harness.replicas:
        for run in replica.runs:
            if run.method == 'POST':
                runs[run.request_id] += 1
    assert not runs or max(runs.values()) == 1


def wait_until_isolated(
    harness: Harness, node: IngressNode, service: str
) -> None:
    """Wait until a node knows that it does not reach a service."""
    harness.wait_until(partial(is_isolated, node, service))


def isolate_beside_traffic(
    isolation: Isolation, nodes: list[IngressNode], services: tuple[str, ...]
) -> IngressNode:
    """Cut the first node from the endpoints; return it once it knows.

    Before, all nodes get requests, so that each knows that it reaches them.
    """
    node = nodes[0]
    traffic = Traffic(isolation.harness, nodes)
    eventlet.sleep(TRAFFIC_SECONDS)
    isolation.names = {node.state.settings.name}
    for service in services:
        wait_until_isolated(isolation.harness, node, service)
    traffic.stop()
    return node


def is_isolated(node: IngressNode, service: str) -> bool:
    """Return whether a node knows that it does not reach a service."""
    now = time.monotonic()
    return node.state.reachability.is_service_isolated(service, now)
