"""Nodes that the store turns away learn from their peers."""

import eventlet
import msgspec
import pytest

from wigeonspoke.platform.program import build_node
from wigeonspoke.platform.standins import StoreFault, StoreStandin
from wigeonspoke.platform.tests.world import configuration


def _start(world, store):
    settings = msgspec.structs.replace(
        world.node.state.settings,
        name='node-2',
        store=store.address,
        seeds=(world.node.peers.address,),
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
    world.node.state.peers.add(node.peers.address)
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
    tables = (world.node.state.table, second.state.table)
    world.wait(lambda: {table.version for table in tables} == {14}, seconds=2)


def test_a_node_without_the_store_starts_from_a_peer(world, refused):
    world.wait(lambda: refused.is_ready)
    assert refused.state.table.version == 1
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
    world.wait(lambda: state.table.version == 8, seconds=2)
    assert state.table.find_account('key-of-bond') is None
    world.wait(lambda: state.fleet.endpoints['r-one'].is_leaving, seconds=2)
    # What is missing may come back for as long as after an outage.
    world.wait(lambda: 'r-two' not in state.fleet.endpoints, seconds=4)


def test_an_older_table_of_a_peer_changes_nothing(world, refused):
    world.wait(lambda: refused.is_ready)
    world.node.copies['op'].version = 0
    world.node.copies['op'].rows.clear()
    eventlet.sleep(1.0)
    assert refused.state.table.version == 1


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
