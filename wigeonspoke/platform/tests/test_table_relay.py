"""Nodes that the store turns away learn from their peers."""

import eventlet
import msgspec
import pytest

from wigeonspoke.platform.program import build_node
from wigeonspoke.platform.standins import StoreFault, StoreStandin
from wigeonspoke.platform.tests.harness import configuration


def _start(world, store, **given):
    settings = msgspec.structs.replace(
        world.node.state.settings,
        name='node-2',
        store=store.address,
        seeds=(world.node.peers.address,),
        **given,
    )
    node = build_node(settings)
    node.start()
    return node


def _stop(node):
    for loop in node.greenlets:
        loop.kill()
    for listener in (node.front, node.ready, node.metrics, node.peers):
        listener.abort()


@pytest.fixture
def refused(world):
    """Give a second node whose store refuses every call."""
    store = StoreStandin()
    store.fault = StoreFault.UNAVAILABLE
    node = _start(world, store)
    yield node
    _stop(node)
    store.server.close()


@pytest.fixture
def second(world):
    """Give a second node at the same store, each the other's peer."""
    node = _start(world, world.store)
    world.node.state.peer_addresses.add(node.peers.address)
    world.wait(lambda: node.is_ready)
    yield node
    _stop(node)


def test_a_dropped_history_is_read_from_the_store_not_from_peers(
    world,
    second,
):
    for number in range(5):
        world.store.put('op', 'config', configuration(version=10 + number))
        world.store.remove('servers', world.replicas[number % 2].endpoint_id)
        world.publish()
        world.store.drop_history()
        eventlet.sleep(0.05)
    tables = (world.node.state.routing_table, second.state.routing_table)
    world.wait(lambda: {table.version for table in tables} == {14}, seconds=2)


def test_a_node_without_the_store_starts_from_a_peer(world, refused):
    world.wait(lambda: refused.is_ready)
    assert refused.state.routing_table.version == 1
    assert set(refused.state.fleet.endpoints) == set(
        world.node.state.fleet.endpoints,
    )


def test_keys_taken_away_and_leaving_endpoints_reach_it(world, refused):
    world.wait(lambda: refused.is_ready)
    changed = configuration(version=8)
    changed['tenants'][1]['api-keys'] = []
    world.store.put('op', 'config', changed)
    replica = world.replicas[0]
    world.store.put('servers', replica.endpoint_id, replica.entry('draining'))
    world.store.remove('servers', 'r-two')
    state = refused.state
    world.wait(lambda: state.routing_table.version == 8, seconds=2)
    assert state.routing_table.find_account('key-of-bond') is None
    world.wait(lambda: state.fleet.endpoints['r-one'].is_leaving, seconds=2)
    # What is missing may come back for as long as after an outage.
    world.wait(lambda: 'r-two' not in state.fleet.endpoints, seconds=4)


def test_an_older_table_of_a_peer_changes_nothing(world, refused):
    world.wait(lambda: refused.is_ready)
    world.node.copies['op'].version = 0
    world.node.copies['op'].rows.clear()
    eventlet.sleep(1.0)
    assert refused.state.routing_table.version == 1


def test_a_peers_list_with_entries_run_out_drops_nothing_at_once(
    world,
    refused,
):
    world.wait(lambda: refused.is_ready)
    entries = [each.entry() for each in world.replicas]
    for replica in world.replicas:
        world.store.remove('servers', replica.endpoint_id)
    world.wait(lambda: 'r-one' not in world.node.state.fleet.endpoints)
    eventlet.sleep(1.2)
    assert 'r-one' in refused.state.fleet.endpoints
    for replica, entry in zip(world.replicas, entries, strict=True):
        world.store.put('servers', replica.endpoint_id, entry)
    eventlet.sleep(3.0)
    assert {'r-one', 'r-two'} <= set(refused.state.fleet.endpoints)


def test_a_wait_that_the_store_swallowed_does_not_hide_a_change(world):
    store = StoreStandin()
    store.put('op', 'config', configuration())
    node = _start(world, store)
    state = node.state
    world.wait(
        lambda: state.routing_table.version == 1 and not state.must_watch_store
    )
    # The wait that is open now says nothing for a long time.
    store.fault = StoreFault.SILENT
    changed = configuration(version=8)
    changed['tenants'][1]['api-keys'] = []
    world.store.put('op', 'config', changed)
    world.wait(lambda: state.routing_table.version == 8, seconds=2)
    assert state.routing_table.find_account('key-of-bond') is None
    _stop(node)
    store.server.close()


def test_who_watches_the_store_for_the_others(world, second):
    states = (world.node.state, second.state)
    world.wait(lambda: any(state.is_steward for state in states))
    world.wait(lambda: sum(state.must_watch_store for state in states) == 1)
    steward = next(state for state in states if state.is_steward)
    assert steward.must_watch_store


@pytest.mark.parametrize(
    ('domain', 'seconds'),
    [('one', 6.0), ('two', 14.0)],
)
def test_a_steward_that_is_gone_is_followed_by_a_peer(world, domain, seconds):
    world.wait(lambda: world.node.state.is_steward)
    node = _start(world, world.store, failure_domain=domain)
    world.wait(lambda: node.state.live_peer_names == {'node-1'})
    eventlet.sleep(1.0)
    held = _keepers(node)['one']
    assert not held.is_held
    _stop(world.node)
    world.wait(lambda: held.is_held, seconds=seconds)
    _stop(node)


def test_a_steward_that_lives_stays_one(world, second):
    world.wait(lambda: world.node.state.is_steward)
    fence = _keepers(world.node)['one'].fence
    eventlet.sleep(6.0)
    assert _keepers(world.node)['one'].fence == fence


def test_in_a_large_deployment_only_one_that_did_not_answer_is_gone(
    world,
    second,
):
    state = second.state
    world.wait(lambda: state.live_peer_names == {'node-1'})
    for number in range(12):
        second.gossip.exchange.add_contact(f'127.0.0.1:{number + 1}')
    world.wait(lambda: not state.hears_all_peers, seconds=2)
    assert not state.is_node_gone('never-heard', state.live_peer_names)
    assert not state.is_node_gone('node-1', state.live_peer_names)
    _stop(world.node)
    world.wait(
        lambda: state.is_node_gone('node-1', state.live_peer_names), seconds=8
    )


def test_peers_know_what_each_other_has_in_flight(world, second):
    head = 'e-one-0'
    world.node.state.chains.in_flight[head] = 5
    seen = second.state.chains
    world.wait(lambda: seen.streams_at(head) == 5)
    world.node.state.chains.in_flight.clear()
    world.wait(lambda: not seen.streams_at(head))
    world.node.state.chains.in_flight[head] = 5
    world.wait(lambda: seen.streams_at(head) == 5)
    _stop(world.node)
    world.wait(lambda: not seen.streams_at(head), seconds=5)


def _keepers(node):
    return node.leases.keepers
