"""Nodes of two builds run side by side while hosts are replaced.

Peers of the build before relayed requests were named served them, and the node
that had relayed them took their answers for those of no node.
"""

import pytest

from wigeonspoke.ingress.relay import relay_app
from wigeonspoke.ingress.relay.relay_head import (
    COUNTS_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from wigeonspoke.platform.tests.deployment import Deployment
from wigeonspoke.platform.tests.harness import send_request
from wigeonspoke.platform.tests.isolation import (
    Isolation,
    isolate_beside_traffic,
)
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    request_stream,
)

# What a peer of that build adds to its answers.
EARLIER_HEADERS = (OUTCOME_HEADER, REASON_HEADER, COUNTS_HEADER)
REQUESTS = 10


def _answer_as_earlier_build(monkeypatch: pytest.MonkeyPatch) -> None:
    original = relay_app.outcome_headers

    def outcome_headers(*arguments):
        return tuple(
            header
            for header in original(*arguments)
            if header[0] in EARLIER_HEADERS
        )

    monkeypatch.setattr(relay_app, 'outcome_headers', outcome_headers)


def test_a_peer_of_the_earlier_build_serves_relayed_requests(
    placed_harness, monkeypatch
):
    harness = placed_harness
    isolation = Isolation(monkeypatch, harness)
    deployment = Deployment(harness, 4)
    deployment.wait_until_served()
    cut = isolate_beside_traffic(
        isolation, deployment.nodes, ('ledger', 'drafting')
    )
    _answer_as_earlier_build(monkeypatch)
    for number in range(REQUESTS):
        read = send_request(harness, 'GET', '/read/x', f'r{number}', node=cut)
        assert read[0] == 200
        written = send_request(
            harness, 'POST', '/write/x', f'w{number}', node=cut, body=b'b'
        )
        assert written[0] == 200
        stream = request_stream(harness, f's{number}', node=cut)
        assert event_ids(stream[2]) == ALL_EVENTS
    deployment.close()
    endpoints = (*harness.replicas, *harness.engines)
    runs = [
        received.request_id
        for endpoint in endpoints
        for received in endpoint.runs
        if received.request_id[0] in 'rws' and received.request_id[1:].isdigit()
    ]
    assert len(runs) == len(set(runs)) == 3 * REQUESTS
