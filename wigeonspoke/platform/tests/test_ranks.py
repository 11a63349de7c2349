"""Engines are told the urgency of a request where ranks differ."""

import time

import pytest

from wigeonspoke.core.admission.reservation import UNUSED_SECONDS
from wigeonspoke.ingress.streams.chain_choice import ChainChoice
from wigeonspoke.platform.tests.harness import make_configuration, make_route
from wigeonspoke.platform.tests.stream_requests import (
    head_engine,
    request_stream,
)


def _configure(harness, priorities):
    routes = make_configuration()['routes']
    routes.append(
        make_route('/bulk/', 'drafting', 'streaming', priority=priorities[0])
    )
    tenants = [
        {'name': 'acme', 'api-keys': ['key-of-acme']},
        {
            'name': 'bond',
            'api-keys': ['key-of-bond'],
            'priority': priorities[1],
        },
    ]
    harness.store.put(
        'op', 'config', make_configuration(2, routes=routes, tenants=tenants)
    )
    table = harness.node.state.routing_table
    harness.wait_until(lambda: table.version == 2)


@pytest.mark.parametrize(
    ('priorities', 'key', 'urgency'),
    [
        # All have the priority 1 of the other rule.
        ((1, 1), 'key-of-acme', None),
        ((2, 1), 'key-of-acme', '2'),
        ((2, 0), 'key-of-acme', '4'),
        ((2, 0), 'key-of-bond', '2'),
    ],
)
def test_the_urgency_is_that_of_the_rank(
    placed_harness, priorities, key, urgency
):
    _configure(placed_harness, priorities)
    # A client can't choose the urgency.
    status = request_stream(
        placed_harness, Credential=key, Request_Urgency='0'
    )[0]
    assert status == 200
    run = head_engine(placed_harness, 'one').runs[-1]
    assert run.headers.get('request-urgency') == urgency


def _fill_chains(harness, free):
    """Leave some capacity free on each chain, as peers report."""
    chains = harness.node.state.chains
    capacities = {
        known.head_id: known.capacity
        for known in chains.cached_chains['drafting'].known
    }
    streams = {
        head_id: int(capacity) - free
        for head_id, capacity in capacities.items()
    }
    chains.peer_load.update('peer#1', streams)


@pytest.fixture
def waits(monkeypatch):
    """Return a list of the seconds for which each stream waits for a chain."""
    waited: list[float] = []
    wait = ChainChoice.wait

    def wait_timed(choice):
        began_at = time.monotonic()
        chain = wait(choice)
        waited.append(time.monotonic() - began_at)
        return chain

    monkeypatch.setattr(ChainChoice, 'wait', wait_timed)
    return waited


def test_a_less_urgent_stream_leaves_reserved_capacity_for_a_moment(
    placed_harness, waits
):
    _configure(placed_harness, (2, None))
    assert request_stream(placed_harness)[0] == 200
    reservation = placed_harness.node.state.reservations['drafting']
    for _ in range(400):
        reservation.record_arrival(1, time.monotonic())
    _fill_chains(placed_harness, 1)
    for path in ('/draft/x', '/bulk/x'):
        assert request_stream(placed_harness, path=path)[0] == 200
    assert waits[1] < UNUSED_SECONDS <= waits[2]
