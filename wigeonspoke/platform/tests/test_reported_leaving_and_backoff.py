"""An endpoint that reports its leaving, or a backoff, gets no new request.

The registry goes on listing it as ready.
"""

import time
from collections.abc import Callable, Iterator
from functools import partial

import eventlet
import pytest

from wigeonspoke.ingress import IngressNode
from wigeonspoke.platform.standins import (
    EngineStandin,
    ReplicaStandin,
    StoreFault,
)
from wigeonspoke.platform.tests.deployment import Deployment
from wigeonspoke.platform.tests.harness import Harness, send_request
from wigeonspoke.platform.tests.stream_requests import request_stream

# The targets.  A node that has had an answer that says leaving sends nothing
# more after the first time; one that was told a backoff sends at most two
# requests between the second one and the end of the time that was named.
DRAIN_SECONDS = 2.0
BACKOFF_SLACK_SECONDS = 0.5
MAX_BACKOFF_REQUESTS = 2
BACKOFF_SECONDS = 3.0
INTERVAL_SECONDS = 0.04
WARM_UP_REQUESTS = 8
# What the returns of some clients must at least differ by.
SPREAD_SECONDS = 0.1
SERVED = 200
REFUSED = 503

Standin = ReplicaStandin | EngineStandin


def _call(harness: Harness, request_id: str, node: IngressNode):
    return send_request(harness, 'GET', '/read/x', request_id, node=node)


def _stream(harness: Harness, request_id: str, node: IngressNode):
    return request_stream(harness, request_id, node=node)


KINDS: dict[str, Callable] = {'call': _call, 'stream': _stream}


class Load:
    """Requests of one kind in turn at all nodes, many of them at once."""

    def __init__(self, deployment: Deployment, kind: str) -> None:
        self.deployment = deployment
        self.kind = kind
        self.responses: list[tuple[float, int, float]] = []
        self._count = 0

    def send(self, node: IngressNode) -> int:
        """Send a request; return the status, 0 if there was no response."""
        self._count += 1
        request_id = f'{self.kind}-{self._count}'
        sent_at = time.monotonic()
        try:
            status, headers, _ = KINDS[self.kind](
                self.deployment.harness, request_id, node
            )
        except (AssertionError, OSError):
            return 0
        retry_after = float(headers.get('retry-after', 0))
        self.responses.append((sent_at, status, retry_after))
        return status

    def run(self, seconds: float) -> list[int]:
        """Send requests for some time; return the statuses."""
        deadline = time.monotonic() + seconds
        sent = []
        nodes = self.deployment.nodes
        while time.monotonic() < deadline:
            node = nodes[len(sent) % len(nodes)]
            sent.append(eventlet.spawn(self.send, node))
            eventlet.sleep(INTERVAL_SECONDS)
        return [one.wait() for one in sent]

    def warm_up(self) -> Standin:
        """Send some requests; return the endpoint that got most of them."""
        for node in self.deployment.nodes:
            for _ in range(WARM_UP_REQUESTS):
                self.send(node)
        harness = self.deployment.harness
        pool = harness.replicas if self.kind == 'call' else harness.engines
        return max(pool, key=lambda one: len(one.received))


@pytest.fixture(params=[1, 6], ids=['one-node', 'six-nodes'])
def deployment(request, placed_harness) -> Iterator[Deployment]:
    """Yield a deployment of one node or six."""
    started = Deployment(placed_harness, request.param)
    started.wait_until_served()
    yield started
    started.close()


def _silence_store(deployment: Deployment) -> None:
    deployment.harness.store.fault = StoreFault.UNAVAILABLE


def _leave_store(_deployment: Deployment) -> None:
    """Leave the store as it is."""


@pytest.mark.parametrize(
    'change_store', [_leave_store, _silence_store], ids=['store', 'no-store']
)
@pytest.mark.parametrize('kind', KINDS)
def test_nothing_is_sent_after_an_answer_said_leaving(
    deployment, kind, change_store
):
    load = Load(deployment, kind)
    leaving = load.warm_up()
    change_store(deployment)
    leaving.says_leaving = True
    said_at = time.monotonic()
    statuses = load.run(DRAIN_SECONDS + 1.0)
    first_late = said_at + DRAIN_SECONDS
    late = [one for one in leaving.received if one.received_at > first_late]
    assert not late
    # One node of each domain learns it from an answer; others hear of it.
    told = [one for one in leaving.received if one.received_at > said_at]
    assert told
    assert statuses.count(SERVED) >= 0.9 * len(statuses)


@pytest.mark.parametrize('kind', KINDS)
def test_a_node_hears_from_a_peer_that_an_endpoint_leaves(placed_harness, kind):
    deployment = Deployment(placed_harness, 2)
    deployment.wait_until_served()
    load = Load(deployment, kind)
    leaving = load.warm_up()
    leaving.says_leaving = True
    node = next(
        node
        for node in deployment.nodes
        if node.state.settings.failure_domain == leaving.zone
    )
    load.send(node)
    for other in deployment.nodes:
        placed_harness.wait_until(
            partial(_knows_leaving, other, leaving.endpoint_id)
        )
    deployment.close()


def _knows_leaving(node: IngressNode, endpoint_id: str) -> bool:
    fleet = node.state.fleet
    return fleet.is_leaving(fleet.endpoints[endpoint_id])


@pytest.mark.parametrize('kind', KINDS)
def test_the_next_run_at_the_address_is_used_again(placed_harness, kind):
    deployment = Deployment(placed_harness, 1)
    deployment.wait_until_served()
    registry = eventlet.spawn(placed_harness.follow_replicas)
    load = Load(deployment, kind)
    leaving = load.warm_up()
    if kind == 'stream':
        leaving.keeps_layers = True
    leaving.says_leaving = True
    load.run(0.5)
    leaving.crash()
    placed_harness.wait_until(lambda: leaving.is_up)
    began_at = time.monotonic()
    placed_harness.wait_until(
        lambda: (
            load.send(placed_harness.node) == SERVED
            and leaving.received[-1].received_at > began_at
        )
    )
    registry.kill()
    deployment.close()


def test_a_service_whose_replicas_all_leave_refuses_at_once(placed_harness):
    deployment = Deployment(placed_harness, 1)
    load = Load(deployment, 'call')
    load.warm_up()
    for replica in placed_harness.replicas:
        replica.says_leaving = True
    placed_harness.wait_until(lambda: load.send(placed_harness.node) == REFUSED)
    before = sum(len(one.received) for one in placed_harness.replicas)
    statuses = load.run(0.4)
    assert set(statuses) == {REFUSED}
    assert all(wait > 0 for _, _, wait in load.responses[-len(statuses) :])
    after = sum(len(one.received) for one in placed_harness.replicas)
    assert after == before
    deployment.close()


@pytest.mark.parametrize('kind', KINDS)
def test_an_endpoint_that_names_a_backoff_gets_it(deployment, kind):
    load = Load(deployment, kind)
    away = load.warm_up()
    first_at = time.monotonic()
    away.away_until = first_at + BACKOFF_SECONDS
    reports = getattr(away, 'reports', 0)
    statuses = load.run(BACKOFF_SECONDS)
    inside = [
        one
        for one in away.received
        if first_at + BACKOFF_SLACK_SECONDS < one.received_at < away.away_until
    ]
    assert len(inside) <= MAX_BACKOFF_REQUESTS * len(deployment.nodes)
    # The lease holder may read the state of an engine before it orders.
    assert getattr(away, 'reports', 0) <= reports + 1
    assert statuses.count(SERVED) >= 0.9 * len(statuses)
    load.run(1.0)
    assert any(one.received_at > away.away_until for one in away.received)


@pytest.mark.parametrize('kind', KINDS)
def test_a_refusal_tells_when_an_endpoint_may_take_the_request(
    placed_harness, kind
):
    deployment = Deployment(placed_harness, 1)
    load = Load(deployment, kind)
    load.warm_up()
    end = time.monotonic() + BACKOFF_SECONDS
    for endpoint in (*placed_harness.replicas, *placed_harness.engines):
        endpoint.away_until = end
    # The first ones find out.
    load.run(0.3)
    asked_at = time.monotonic()
    assert load.send(placed_harness.node) == REFUSED
    # Known that nothing can take it: refused at once.
    assert time.monotonic() - asked_at < BACKOFF_SECONDS / 2
    load.run(0.2)
    returns = [
        sent_at + retry_after
        for sent_at, status, retry_after in load.responses
        if sent_at > asked_at and status == REFUSED
    ]
    assert min(returns) >= end - 0.1
    # Clients do not return all at once.
    assert max(returns) - min(returns) > SPREAD_SECONDS
    deployment.close()


# What has no meaning is not obeyed, and does not disturb the next request.
@pytest.mark.parametrize('text', ['-5', 'soon', '', 'nan', '1e9'])
@pytest.mark.parametrize('kind', KINDS)
def test_a_time_without_a_meaning_is_no_time(placed_harness, kind, text):
    deployment = Deployment(placed_harness, 1)
    load = Load(deployment, kind)
    away = load.warm_up()
    away.retry_after = text
    away.away_until = time.monotonic() + 0.3
    load.run(0.3)
    assert not placed_harness.node.state.availability.backoffs.backoffs
    placed_harness.wait_until(
        lambda: (
            load.send(placed_harness.node) == SERVED
            and away.received[-1].received_at > away.away_until
        )
    )
    deployment.close()
