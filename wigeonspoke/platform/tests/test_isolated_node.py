"""A node that loses its endpoints while its peers reach them."""

import socket
import time
from contextlib import suppress
from functools import partial

import eventlet
import msgspec
import pytest
from eventlet.hubs import trampoline

from wigeonspoke.ingress import IngressNode
from wigeonspoke.platform.tests.deployment import Deployment
from wigeonspoke.platform.tests.harness import send_request
from wigeonspoke.platform.tests.stream_requests import request_stream
from wigeonspoke.transport import reset_on_close

# Detection is to take 1 s from the first failed attempt.
DETECTION_SECONDS = 1.0
# From this time after its beginning, callers must not notice an isolation.
SETTLED_SECONDS = 3.0
BELIEFS = ('suspected', 'engine-ended')


@pytest.fixture
def deployment(placed_harness):
    """Yield three nodes; the first and the third are in domain ``one``."""
    started = Deployment(placed_harness, 3)
    started.wait_until_served()
    yield started
    started.close()


class Link:
    """Addresses at which connections fail, in place of those of endpoints."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.server = socket.socket()
        self.server.bind(('127.0.0.1', 0))
        self.waiting = []
        self.greenlet = None
        if fault == 'hang':
            self._fill_backlog()
        elif fault == 'reset':
            self.server.listen(64)
            self.greenlet = eventlet.spawn(self._reset_all)
        elif fault == 'silent':
            # The kernel establishes connections that nobody accepts.
            self.server.listen(1024)
        elif fault == 'dropped':
            self.server.listen(64)
            self.greenlet = eventlet.spawn(self._reset_requests)

    @property
    def address(self) -> str:
        host, port = self.server.getsockname()
        return f'{host}:{port}'

    def cut(self, node: IngressNode, domain: str) -> None:
        """Direct all new connections of a node to a domain here."""
        fleet = node.state.fleet
        for endpoint_id, endpoint in tuple(fleet.endpoints.items()):
            if endpoint.failure_domain == domain:
                fleet.endpoints[endpoint_id] = msgspec.structs.replace(
                    endpoint, address=self.address
                )
        fleet.revision += 1

    def mend(self, node: IngressNode, endpoints) -> None:
        """Restore the endpoints that a node knew before."""
        node.state.fleet.endpoints.update(endpoints)
        node.state.fleet.revision += 1

    def close(self) -> None:
        """Close the listener and what waits for it."""
        if self.greenlet is not None:
            self.greenlet.kill()
        for sock in (*self.waiting, self.server):
            sock.close()

    def _fill_backlog(self) -> None:
        """Let connections hang: a full backlog drops what would open one."""
        self.server.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.server.getsockname())
            self.waiting.append(sock)

    def _reset_all(self) -> None:
        while True:
            sock, _ = self.server.accept()
            sock.close()

    def _reset_requests(self) -> None:
        while True:
            sock, _ = self.server.accept()
            eventlet.spawn(_reset_after_data, sock)


def _reset_after_data(sock) -> None:
    """Reset a connection as soon as data arrives, unless it ends before."""
    with suppress(OSError):
        trampoline(sock.fd, read=True)
        reset_on_close(sock)
    sock.close()


def _keep_requesting(deployment, nodes, path):
    """Send requests to some nodes; the answers do not matter."""
    number = 0
    while True:
        for node in nodes:
            number += 1
            eventlet.spawn(_request, deployment.harness, node, path, number)
        eventlet.sleep(0.2)


def _request(harness, node, path, number):
    with suppress(AssertionError):
        if path == '/draft/x':
            request_stream(harness, node=node, request_id=f'd{number}')
        else:
            send_request(harness, 'GET', path, f'c{number}', node)


def _is_isolated(node, service, domain='one'):
    return node.state.reachability.is_isolated(
        service, domain, time.monotonic()
    )


def _count(node, kinds):
    return sum(
        count
        for (kind, _), count in node.state.counters.items()
        if kind in kinds
    )


@pytest.mark.parametrize('fault', ['refused', 'reset', 'hang'])
@pytest.mark.parametrize(
    ('service', 'path'), [('drafting', '/draft/x'), ('ledger', '/read/x')]
)
def test_isolated_node_believes_no_ill_of_endpoints(
    deployment, fault, service, path
):
    witness, _, node = deployment.nodes
    wait_until = deployment.harness.wait_until
    before = dict(node.state.fleet.endpoints)
    requests = eventlet.spawn(
        _keep_requesting, deployment, (witness, node), path
    )
    eventlet.sleep(2)
    link = Link(fault)
    link.cut(node, 'one')
    reachability = node.state.reachability
    group = (service, 'one')
    wait_until(lambda: reachability.groups[group].failed_at)
    wait_until(partial(_is_isolated, node, service), DETECTION_SECONDS)
    eventlet.sleep(1)
    assert _is_isolated(node, service)
    assert not _count(node, BELIEFS)
    assert not any(
        not health.is_usable(0)
        for health in node.state.replicas.health.values()
    )
    assert node.is_ready
    peer = reachability.choose_peer(service, time.monotonic(), (), 0.5)
    assert peer.name == witness.state.settings.name
    assert not _is_isolated(witness, service)
    link.mend(node, before)
    wait_until(lambda: not _is_isolated(node, service), 4)
    assert not node.state.suspects.suspicions
    assert node.state.counters['isolated', service] == 1
    requests.kill()
    link.close()


@pytest.mark.parametrize('fault', ['silent', 'dropped'])
@pytest.mark.parametrize(
    ('service', 'path'), [('drafting', '/draft/x'), ('ledger', '/read/x')]
)
def test_node_whose_connections_are_accepted_on_the_way_is_isolated(
    deployment, fault, service, path
):
    """Guards against taking a connection that stays open for an answer."""
    witness, _, node = deployment.nodes
    before = dict(node.state.fleet.endpoints)
    requests = eventlet.spawn(
        _keep_requesting, deployment, (witness, node), path
    )
    eventlet.sleep(2)
    link = Link(fault)
    link.cut(node, 'one')
    deployment.harness.wait_until(
        partial(_is_isolated, node, service), SETTLED_SECONDS
    )
    eventlet.sleep(3)
    assert _is_isolated(node, service)
    assert not _is_isolated(witness, service)
    assert not _count(node, BELIEFS)
    link.mend(node, before)
    deployment.harness.wait_until(lambda: not _is_isolated(node, service), 4)
    assert not node.state.suspects.suspicions
    requests.kill()
    link.close()


def test_lease_of_engines_out_of_reach_is_released(deployment):
    """Nobody would order the engines for as long as the node is isolated."""
    holder, _, other = deployment.nodes
    wait_until = deployment.harness.wait_until
    wait_until(lambda: 'one' in holder.state.leases)
    requests = eventlet.spawn(
        _keep_requesting, deployment, (holder, other), '/draft/x'
    )
    eventlet.sleep(2)
    link = Link('refused')
    link.cut(holder, 'one')
    wait_until(partial(_is_isolated, holder, 'drafting'), 3)
    wait_until(lambda: 'one' in other.state.leases, 5)
    assert 'one' not in holder.state.leases
    assert holder.is_ready
    requests.kill()
    link.close()


def test_crash_beside_reachable_endpoints_is_recorded(deployment):
    """The end of an engine must be known while peers reach the group."""
    witness, _, node = deployment.nodes
    requests = eventlet.spawn(
        _keep_requesting, deployment, (witness, node), '/draft/x'
    )
    eventlet.sleep(1)
    deployment.harness.engines[0].crash()
    deployment.harness.wait_until(
        lambda: (
            _count(node, ('engine-ended',)) and _count(node, ('suspected',))
        ),
        DETECTION_SECONDS,
    )
    assert not _is_isolated(node, 'drafting')
    requests.kill()
