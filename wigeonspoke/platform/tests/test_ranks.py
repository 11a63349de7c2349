"""Engines are told the urgency of a request where ranks differ."""

import pytest

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
