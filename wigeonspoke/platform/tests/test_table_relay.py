"""Nodes get the store's tables, and each other's state, from peers."""

import eventlet
import pytest

from wigeonspoke.platform.standins import StoreFault, StoreStandin
from wigeonspoke.platform.tests.harness import (
    make_configuration,
    start_node,
    stop_node,
)


@pytest.fixture
def node_without_store(harness):
    """Yield a second node whose store refuses every request."""
    store = StoreStandin()
    store.fault = StoreFault.UNAVAILABLE
    node = start_node(harness, 'node-2', store=store.address)
    yield node
    stop_node(node)
    store.server.close()


@pytest.fixture
def second_node(harness):
    """Yield a second node at the same store, peered with the first."""
    node = start_node(harness, 'node-2')
    harness.node.state.peer_addresses.add(node.peers.address)
    harness.wait_until(lambda: node.is_ready)
    yield node
    stop_node(node)


def test_tables_are_reread_from_the_store_after_its_history_expired(
    harness,
    second_node,
):
    for number in range(5):
        harness.store.put(
            'op', 'config', make_configuration(version=10 + number)
        )
        harness.store.remove(
            'servers', harness.replicas[number % 2].endpoint_id
        )
        harness.publish_endpoints()
        harness.store.expire_history()
        eventlet.sleep(0.05)
    tables = (harness.node.state.routing_table, second_node.state.routing_table)
    harness.wait_until(
        lambda: {table.version for table in tables} == {14}, seconds=2
    )


def test_a_node_without_the_store_starts_with_tables_of_a_peer(
    harness, node_without_store
):
    harness.wait_until(lambda: node_without_store.is_ready)
    assert node_without_store.state.routing_table.version == 1
    assert set(node_without_store.state.fleet.endpoints) == set(
        harness.node.state.fleet.endpoints,
    )


def test_revoked_keys_and_draining_endpoints_are_relayed(
    harness, node_without_store
):
    harness.wait_until(lambda: node_without_store.is_ready)
    changed = make_configuration(version=8)
    changed['tenants'][1]['api-keys'] = []
    harness.store.put('op', 'config', changed)
    replica = harness.replicas[0]
    harness.store.put(
        'servers', replica.endpoint_id, replica.registry_entry('draining')
    )
    harness.store.remove('servers', 'r-two')
    state = node_without_store.state
    harness.wait_until(lambda: state.routing_table.version == 8, seconds=2)
    assert state.routing_table.find_account('key-of-bond') is None
    harness.wait_until(
        lambda: state.fleet.endpoints['r-one'].is_leaving, seconds=2
    )
    # A missing endpoint is retained as long as after a store outage.
    harness.wait_until(lambda: 'r-two' not in state.fleet.endpoints, seconds=4)


def test_an_older_table_of_a_peer_changes_nothing(harness, node_without_store):
    harness.wait_until(lambda: node_without_store.is_ready)
    harness.node.tables['op'].copy.version = 0
    harness.node.tables['op'].copy.rows.clear()
    eventlet.sleep(1.0)
    assert node_without_store.state.routing_table.version == 1


def test_entries_missing_from_a_peers_table_are_kept_for_a_while(
    harness,
    node_without_store,
):
    harness.wait_until(lambda: node_without_store.is_ready)
    entries = [endpoint.registry_entry() for endpoint in harness.replicas]
    harness.store.fault = StoreFault.UNAVAILABLE
    harness.wait_until(lambda: not harness.node.tables['servers'].is_reachable)
    eventlet.sleep(0.3)
    for replica in harness.replicas:
        harness.store.remove('servers', replica.endpoint_id)
    harness.store.fault = StoreFault.NONE
    told = node_without_store.tables['servers'].copy
    harness.wait_until(lambda: 'r-one' not in told.rows)
    eventlet.sleep(1.2)
    assert 'r-one' in node_without_store.state.fleet.endpoints
    for replica, entry in zip(harness.replicas, entries, strict=True):
        harness.store.put('servers', replica.endpoint_id, entry)
    eventlet.sleep(3.0)
    assert {'r-one', 'r-two'} <= set(node_without_store.state.fleet.endpoints)


def test_a_hanging_store_poll_does_not_hide_a_change(harness):
    store = StoreStandin()
    store.put('op', 'config', make_configuration())
    node = start_node(harness, 'node-2', store=store.address)
    state = node.state
    harness.wait_until(
        lambda: state.routing_table.version == 1 and not state.must_watch_store
    )
    # This node's own store never reports the change below: its open long poll
    # has none to return, and further requests hang.  Only the peer reports it.
    store.fault = StoreFault.HANG
    changed = make_configuration(version=8)
    changed['tenants'][1]['api-keys'] = []
    harness.store.put('op', 'config', changed)
    harness.wait_until(lambda: state.routing_table.version == 8, seconds=2)
    assert state.routing_table.find_account('key-of-bond') is None
    stop_node(node)
    store.server.close()


def test_the_lease_holder_watches_the_store_for_its_peers(harness, second_node):
    states = (harness.node.state, second_node.state)
    harness.wait_until(lambda: any(state.holds_lease for state in states))
    harness.wait_until(
        lambda: sum(state.must_watch_store for state in states) == 1
    )
    holder = next(state for state in states if state.holds_lease)
    assert holder.must_watch_store


@pytest.mark.parametrize(
    ('domain', 'seconds'),
    [('one', 6.0), ('two', 14.0)],
)
def test_a_peer_takes_over_the_lease_of_a_stopped_node(
    harness, domain, seconds
):
    harness.wait_until(lambda: harness.node.state.holds_lease)
    node = start_node(harness, 'node-2', failure_domain=domain)
    harness.wait_until(lambda: node.state.live_peer_names == {'node-1'})
    eventlet.sleep(1.0)
    lease = _lease_keepers(node)['one']
    assert not lease.is_held
    stop_node(harness.node)
    harness.wait_until(lambda: lease.is_held, seconds=seconds)
    stop_node(node)


def test_a_live_holder_keeps_its_lease(harness, second_node):
    harness.wait_until(lambda: harness.node.state.holds_lease)
    fence = _lease_keepers(harness.node)['one'].fence
    eventlet.sleep(6.0)
    assert _lease_keepers(harness.node)['one'].fence == fence


def test_in_a_large_deployment_only_an_unresponsive_node_is_gone(
    harness,
    second_node,
):
    state = second_node.state
    harness.wait_until(lambda: state.live_peer_names == {'node-1'})
    for number in range(12):
        second_node.gossip.exchange.add_contact(f'127.0.0.1:{number + 1}')
    harness.wait_until(lambda: not state.hears_all_peers, seconds=2)
    assert not state.is_node_gone('never-heard', state.live_peer_names)
    assert not state.is_node_gone('node-1', state.live_peer_names)
    stop_node(harness.node)
    harness.wait_until(
        lambda: state.is_node_gone('node-1', state.live_peer_names), seconds=8
    )


def test_peers_exchange_their_streams_in_flight(harness, second_node):
    head = 'e-one-0'
    harness.node.state.chains.in_flight[head] = 5
    second_chains = second_node.state.chains
    harness.wait_until(lambda: second_chains.streams_at(head) == 5)
    harness.node.state.chains.in_flight.clear()
    harness.wait_until(lambda: not second_chains.streams_at(head))
    harness.node.state.chains.in_flight[head] = 5
    harness.wait_until(lambda: second_chains.streams_at(head) == 5)
    stop_node(harness.node)
    harness.wait_until(lambda: not second_chains.streams_at(head), seconds=5)


def _lease_keepers(node):
    return node.lease_loop.keepers
