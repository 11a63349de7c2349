"""Claims of trials by several nodes at once."""

from functools import partial

import eventlet
import pytest

from wigeonspoke.platform.tests.harness import start_node, stop_node

PARTS = ('drafting/request:aa', 'drafting/request:bb', 'drafting/request:cc')
CRASHES = 3


@pytest.fixture
def nodes(harness):
    """Return three nodes that know of the same quarantined requests."""
    added = [start_node(harness, f'node-{number}') for number in (2, 3)]
    every = [harness.node, *added]
    for node in every:
        harness.wait_until(partial(_knows_clock, node))
        registry = node.state.part_watch.registry
        for part in PARTS:
            for number in range(CRASHES):
                registry.record_crash((part,), f'e-{number}@1', 1.0 + number)
    yield every
    for node in added:
        stop_node(node)


def _knows_clock(node):
    return node.part_publisher.store_clock() is not None


def test_one_of_several_nodes_tries_a_part_of_a_service(nodes):
    claims = [
        eventlet.spawn(node.part_publisher.claim_trial, part)
        for node, part in zip(nodes, PARTS, strict=True)
    ]
    assert sum(claim.wait() for claim in claims) == 1


def test_a_trial_that_was_not_claimed_is_no_trial(nodes):
    claims = {
        part: eventlet.spawn(node.part_publisher.claim_trial, part)
        for node, part in zip(nodes, PARTS, strict=True)
    }
    for node, part in zip(nodes, PARTS, strict=True):
        is_claimed = claims[part].wait()
        suspicion = node.state.part_watch.registry.suspicions[part]
        assert (suspicion.trial_at > 0) == is_claimed
