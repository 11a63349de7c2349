"""All nodes together keep the limit that an endpoint names in its answers."""

import time
from collections.abc import Callable, Iterator

import eventlet
import pytest

from wigeonspoke.ingress import IngressNode
from wigeonspoke.platform.standins import EngineStandin, ReplicaStandin
from wigeonspoke.platform.tests.deployment import Deployment
from wigeonspoke.platform.tests.harness import send_request
from wigeonspoke.platform.tests.stream_requests import (
    head_engine,
    request_stream,
)

# The target: from this time after the limit was first named, no more in any
# span than the limit allows, times the factor, and a few requests.
ADAPTATION_SECONDS = 3.0
SPAN_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
RUN_SECONDS = 9.0
REQUEST_INTERVAL_SECONDS = 0.05

SendRequest = Callable[[int, IngressNode], int]


@pytest.fixture
def deployment(harness) -> Iterator[Deployment]:
    """Yield six nodes in two domains."""
    started = Deployment(harness, 6)
    started.wait_until_served()
    # Nodes that have just started do not know all others yet.
    eventlet.sleep(2.0)
    yield started
    started.close()


class Traffic:
    """Requests at a constant rate, in turn at some of the nodes."""

    def __init__(self, nodes: list[IngressNode], send: SendRequest) -> None:
        self.nodes = nodes
        self.send = send
        self.statuses: list[int] = []

    def run(self, seconds: float) -> None:
        """Send requests for some time, and wait for their answers."""
        deadline = time.monotonic() + seconds
        requests = []
        while time.monotonic() < deadline:
            node = self.nodes[len(requests) % len(self.nodes)]
            requests.append(
                eventlet.spawn(self._send, len(requests), node),
            )
            eventlet.sleep(REQUEST_INTERVAL_SECONDS)
        for request in requests:
            request.wait()

    def _send(self, number: int, node: IngressNode) -> None:
        try:
            self.statuses.append(self.send(number, node))
        except AssertionError:
            self.statuses.append(0)


def _stream_sender(deployment: Deployment) -> SendRequest:
    def send(number: int, node: IngressNode) -> int:
        harness = deployment.harness
        return request_stream(harness, f'stream-{number}', node=node)[0]

    return send


def _call_sender(deployment: Deployment) -> SendRequest:
    def send(number: int, node: IngressNode) -> int:
        harness = deployment.harness
        return send_request(
            harness, 'GET', '/read/x', f'call-{number}', node=node
        )[0]

    return send


def _most_in_span(
    endpoint: EngineStandin | ReplicaStandin, since: float
) -> int:
    """Return the most requests that an endpoint received in any span."""
    times = [
        request.received_at
        for request in endpoint.received
        if request.received_at >= since
    ]
    return max(
        (
            sum(first <= at < first + SPAN_SECONDS for at in times)
            for first in times
        ),
        default=0,
    )


def _allowed(limit: float) -> float:
    return ALLOWED_FACTOR * limit * SPAN_SECONDS + ALLOWED_EXTRA


def _nodes_of(deployment: Deployment, spread: str) -> list[IngressNode]:
    return {
        'even': deployment.nodes,
        'own domain': deployment.nodes[:1],
        'other domain': deployment.nodes[1:2],
    }[spread]


# LIMIT: an engine that had named 2 requests a second got 29 in 4 s.
@pytest.mark.parametrize('limit', [0.5, 2.0, 5.0])
@pytest.mark.parametrize('spread', ['even', 'own domain', 'other domain'])
def test_an_engine_gets_no_more_than_the_limit_it_names(
    deployment, spread, limit
):
    head = head_engine(deployment.harness, 'one')
    head.named_limit = limit
    named_at = time.monotonic()
    traffic = Traffic(_nodes_of(deployment, spread), _stream_sender(deployment))
    traffic.run(RUN_SECONDS)
    most = _most_in_span(head, named_at + ADAPTATION_SECONDS)
    assert most <= _allowed(limit)
    assert set(traffic.statuses) == {200}
    if spread == 'even':
        later = named_at + ADAPTATION_SECONDS
        used = sum(request.received_at >= later for request in head.received)
        assert used >= (RUN_SECONDS - ADAPTATION_SECONDS) * limit / 2


def test_an_engine_is_used_again_when_it_names_no_limit(deployment):
    head = head_engine(deployment.harness, 'one')
    head.named_limit = 2.0
    traffic = Traffic(deployment.nodes, _stream_sender(deployment))
    traffic.run(4.0)
    head.named_limit = None
    # The next answers tell one node, and it tells the others.
    traffic.run(3.0)
    received_before = len(head.received)
    traffic.run(2.0)
    requests = 2.0 / REQUEST_INTERVAL_SECONDS
    assert len(head.received) - received_before >= requests / 4


def test_a_limit_in_refusals_is_kept(deployment):
    head = head_engine(deployment.harness, 'one')
    head.named_limit = 2.0
    head.is_full = True
    named_at = time.monotonic()
    traffic = Traffic(deployment.nodes, _stream_sender(deployment))
    traffic.run(RUN_SECONDS)
    most = _most_in_span(head, named_at + ADAPTATION_SECONDS)
    assert most <= _allowed(2.0)


def test_a_replica_gets_no_more_than_the_limit_it_names(deployment):
    replica = deployment.harness.replicas[0]
    replica.named_limit = 2.0
    named_at = time.monotonic()
    traffic = Traffic(deployment.nodes, _call_sender(deployment))
    traffic.run(RUN_SECONDS)
    most = _most_in_span(replica, named_at + ADAPTATION_SECONDS)
    assert most <= _allowed(2.0)
    assert set(traffic.statuses) == {200}
