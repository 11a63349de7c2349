"""In a large fleet, a lease is known without a message of its holder."""

import pytest

from wigeonspoke.core.leases import LeaseRow
from wigeonspoke.platform.tests.harness import start_node, stop_node

DOMAINS = [f'domain-{number}' for number in range(44)]
UNTIL = 1000.0
MAX_TOLD = 2
MESSAGES = 400


@pytest.fixture
def told_state(harness):
    """Return the state of a node of a large fleet that heard of all leases."""
    state = harness.node.state
    state.hears_all_peers = False
    for domain in ('one', *DOMAINS):
        state.record_peer_lease(domain, f'holder-of-{domain}', UNTIL)
    return state


def test_each_message_tells_few_leases_and_in_time_all(told_state):
    told_state.leases = {}
    told: set[str] = set()
    for _ in range(MESSAGES):
        leases = told_state.heard_leases()
        assert len(leases) <= MAX_TOLD
        assert 'one' in leases
        told.update(leases)
    assert told == {'one', *DOMAINS}


def test_nothing_is_told_where_all_hear_the_holder(told_state):
    told_state.hears_all_peers = True
    assert not told_state.heard_leases()


@pytest.mark.parametrize('until', [UNTIL - 1, UNTIL + 1])
def test_the_later_expiry_holds(told_state, until):
    told_state.record_peer_lease('one', 'another', until)
    known = told_state.peer_leases['one']
    assert known.until == max(UNTIL, until)


def test_a_peer_passes_on_a_lease(harness):
    other = start_node(harness, 'node-2')
    state = other.state
    state.hears_all_peers = False
    state.record_peer_lease('far', 'far-holder', UNTIL)
    update = other.gossip.build_update(harness.node.peers.address)
    harness.node.gossip.apply_update(update)
    known = harness.node.state.peer_leases['far']
    assert known == LeaseRow('far-holder', UNTIL)
    stop_node(other)
