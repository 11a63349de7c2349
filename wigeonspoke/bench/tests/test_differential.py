"""Without faults, the core's router and the naive one answer the same."""

import random

import pytest

from wigeonspoke.bench import NaiveRouter, VirtualCluster
from wigeonspoke.core.router import Router
from wigeonspoke.core.tests.examples import (
    LAYERS,
    make_configuration,
    make_request,
)
from wigeonspoke.standins.model import expected_tokens

REQUESTS = 40
SPACING_SECONDS = 0.1
NODES = {'n1': 'a', 'n2': 'b'}


def _run_requests(policy, seed):
    cluster = VirtualCluster(make_configuration(), NODES, policy, seed)
    cluster.start()
    rng = random.Random(seed)
    for number in range(REQUESTS):
        prompt = tuple(rng.choices(range(97, 123), k=rng.randint(1, 9)))
        request = make_request(
            f'r{number}',
            max_tokens=rng.randint(1, 12),
            prompt=prompt,
        )
        node = rng.choice(sorted(NODES))
        cluster.scheduler.call_later(
            SPACING_SECONDS * number,
            cluster.submit_request,
            node,
            request,
        )
    cluster.scheduler.run_until(SPACING_SECONDS * REQUESTS + 10)
    return cluster.request_records


@pytest.mark.parametrize('seed', range(6))
def test_same_answers_without_faults(seed):
    router_records = _run_requests(Router, seed)
    naive_records = _run_requests(NaiveRouter, seed)
    assert router_records.keys() == naive_records.keys()
    for request_id, record in router_records.items():
        assert record.tokens == naive_records[request_id].tokens
        assert record.finish == naive_records[request_id].finish
        expected = expected_tokens(
            LAYERS,
            record.request.prompt,
            record.request.max_tokens,
        )
        assert record.tokens == expected
