"""A node sent requests to a run whose leaving it had told its own client.

The answer came through a peer, while the node was cut off from all endpoints.
Then the cut ends; the store lists the endpoint as ready all the while.
"""

import time
from functools import partial

import eventlet
import pytest

from wigeonspoke.core.fleet import LeavingRuns, leaving
from wigeonspoke.platform.tests.deployment import Deployment
from wigeonspoke.platform.tests.harness import send_request
from wigeonspoke.platform.tests.isolation import (
    Isolation,
    is_isolated,
    isolate_beside_traffic,
)
from wigeonspoke.platform.tests.stream_requests import request_stream

# The target: no request that is sent later than this after the answer.
DRAIN_SECONDS = 2.0
WATCHED_SECONDS = 2.0
CALL_INTERVAL_SECONDS = 0.04
# Stands for the time after which a node forgets what a peer has told it.
SHORT_HINT_SECONDS = 1.0


def _request(harness, kind: str, request_id: str, node) -> dict[str, str]:
    """Send a request of a kind; return the headers of its response."""
    if kind == 'stream':
        return request_stream(harness, request_id, node=node)[1]
    method, path = ('GET', '/read/x')
    if kind == 'unsafe':
        method, path = ('POST', '/write/x')
    return send_request(harness, method, path, request_id, node=node)[1]


@pytest.mark.parametrize(
    ('kind', 'service', 'gossip'),
    [
        ('safe', 'ledger', 'heard'),
        ('safe', 'ledger', 'old'),
        ('safe', 'ledger', 'lost'),
        ('unsafe', 'ledger', 'lost'),
        ('stream', 'drafting', 'lost'),
    ],
)
def test_no_request_reaches_a_run_whose_leaving_was_passed_on(
    placed_harness, monkeypatch, kind, service, gossip
):
    harness = placed_harness
    isolation = Isolation(monkeypatch, harness)
    deployment = Deployment(harness, 4)
    deployment.wait_until_served()
    cut = isolate_beside_traffic(isolation, deployment.nodes, (service,))
    if gossip == 'lost':
        monkeypatch.setattr(LeavingRuns, 'reports', lambda *_: ())
    if gossip == 'old':
        monkeypatch.setattr(leaving, 'HINT_SECONDS', SHORT_HINT_SECONDS)
    endpoints = (*harness.replicas, *harness.engines)
    for endpoint in endpoints:
        endpoint.says_leaving = True
    headers = _request(harness, kind, 'cut', cut)
    assert headers['server-leaving'] == '1'
    said_at = time.monotonic()
    left = next(
        one
        for one in endpoints
        if any(received.request_id == 'cut' for received in one.received)
    )
    eventlet.sleep(DRAIN_SECONDS)
    isolation.names = set()
    harness.wait_until(lambda: not is_isolated(cut, service))
    _send_requests(harness, kind, cut)
    late = [
        received.request_id
        for received in left.received
        if received.request_id.startswith('late')
        and received.received_at > said_at + DRAIN_SECONDS
    ]
    deployment.close()
    assert not late


def _send_requests(harness, kind: str, node) -> None:
    """Send requests at an interval, without waiting for their responses."""
    for number in range(round(WATCHED_SECONDS / CALL_INTERVAL_SECONDS)):
        eventlet.spawn(partial(_request, harness, kind, f'late{number}', node))
        eventlet.sleep(CALL_INTERVAL_SECONDS)
