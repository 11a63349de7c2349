"""The core and the naive version give the same answers without faults."""

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


def _answers(policy, seed):
    cluster = VirtualCluster(make_configuration(), NODES, policy, seed)
    cluster.start()
    chance = random.Random(seed)
    for number in range(REQUESTS):
        prompt = tuple(chance.choices(range(97, 123), k=chance.randint(1, 9)))
        request = make_request(
            f'r{number}',
            max_tokens=chance.randint(1, 12),
            prompt=prompt,
        )
        node = chance.choice(sorted(NODES))
        cluster.scheduler.after(
            SPACING_SECONDS * number,
            cluster.ask,
            node,
            request,
        )
    cluster.scheduler.run_until(SPACING_SECONDS * REQUESTS + 10)
    return cluster.answers


@pytest.mark.parametrize('seed', range(6))
def test_same_answers_without_faults(seed):
    ours = _answers(Router, seed)
    naive = _answers(NaiveRouter, seed)
    assert ours.keys() == naive.keys()
    for request_id, log in ours.items():
        assert log.tokens == naive[request_id].tokens
        assert log.finish == naive[request_id].finish
        expected = expected_tokens(
            LAYERS,
            log.request.prompt,
            log.request.max_tokens,
        )
        assert log.tokens == expected
