"""The store's faults: what is known stays in use, and is caught up after."""

import eventlet
import pytest

from wigeonspoke.platform.standins import StoreFault
from wigeonspoke.platform.store_client import PlatformStore
from wigeonspoke.platform.tests.harness import ask, configuration
from wigeonspoke.store import RowWrite, StoreProblem
from wigeonspoke.transport import HttpClient


@pytest.mark.parametrize('fault', list(StoreFault))
def test_requests_are_served_while_the_store_is_away(world, fault):
    world.store.fault = fault
    eventlet.sleep(0.3)
    assert ask(world, 'GET', '/read/x', 'id1')[0] == 200
    world.store.fault = StoreFault.NONE
    world.store.put('op', 'config', configuration(version=7))
    world.wait(lambda: world.node.state.routing_table.version == 7, seconds=15)


def test_a_history_that_was_dropped_is_read_anew(world):
    world.store.fault = StoreFault.UNAVAILABLE
    eventlet.sleep(0.2)
    world.store.remove('servers', 'r-one')
    world.store.put('op', 'config', configuration(version=7))
    world.store.drop_history()
    world.store.fault = StoreFault.NONE
    fleet = world.node.state.fleet
    world.wait(lambda: 'r-one' not in fleet.endpoints)
    world.wait(lambda: world.node.state.routing_table.version == 7)


def test_entries_that_ran_out_in_an_outage_may_come_back(world):
    fleet = world.node.state.fleet
    world.store.fault = StoreFault.UNAVAILABLE
    eventlet.sleep(0.3)
    world.store.remove('servers', 'r-one')
    world.store.remove('servers', 'r-two')
    world.store.drop_history()
    world.store.fault = StoreFault.NONE
    eventlet.sleep(1.5)
    assert {'r-one', 'r-two'} <= set(fleet.endpoints)
    world.store.put('servers', 'r-one', world.replicas[0].entry())
    world.wait(lambda: 'r-two' not in fleet.endpoints)
    assert 'r-one' in fleet.endpoints


def test_an_older_version_read_later_changes_nothing(world):
    world.store.put('op', 'config', configuration(version=7))
    world.wait(lambda: world.node.state.routing_table.version == 7)
    world.store.put('op', 'config', configuration(version=3))
    eventlet.sleep(0.2)
    assert world.node.state.routing_table.version == 7


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xff\xfe',
        b'{"service": 7}',
        b'{"service": "ledger", "address": "x", "zone": "one",'
        b' "state": "ready"}',
        b'{"service": "ledger", "address": "10.0.0.1:1", "zone": "one",'
        b' "state": "resting"}',
    ],
)
def test_entries_that_cannot_be_read_name_no_endpoint(world, content):
    world.store.put_bytes('servers', 'strange', content)
    world.store.remove('servers', 'r-one')
    fleet = world.node.state.fleet
    world.wait(lambda: 'r-one' not in fleet.endpoints)
    assert 'strange' not in fleet.endpoints
    assert ask(world, 'GET', '/read/x', 'id1')[0] == 200


def test_a_configuration_that_cannot_be_read_changes_nothing(world):
    world.store.put_bytes('op', 'config', b'{"version": "x"}')
    eventlet.sleep(0.2)
    assert world.node.state.routing_table.version == 1


@pytest.mark.parametrize(
    ('fault', 'problem'),
    [
        (StoreFault.UNAVAILABLE, StoreProblem.UNAVAILABLE),
        (StoreFault.TOO_MANY, StoreProblem.UNAVAILABLE),
        (StoreFault.LOST_ANSWER, StoreProblem.UNCERTAIN),
        (StoreFault.RESET, StoreProblem.UNCERTAIN),
        (StoreFault.SILENT, StoreProblem.UNCERTAIN),
        (StoreFault.GARBLED, StoreProblem.UNCERTAIN),
    ],
)
def test_errors_say_whether_a_write_may_have_happened(world, fault, problem):
    store = PlatformStore(world.store.address, HttpClient())
    world.store.fault = fault
    failed = store.write_rows('own', (RowWrite('k', b'v', 0),)).failure()
    assert failed.problem is problem
    was_written = ('own', 'k') in world.store.rows
    assert was_written == (fault is StoreFault.LOST_ANSWER)


def test_a_write_under_an_old_version_is_a_conflict(world):
    store = PlatformStore(world.store.address, HttpClient())
    version = store.write_rows('own', (RowWrite('k', b'v', 0),)).unwrap()
    again = store.write_rows('own', (RowWrite('k', b'w', 0),))
    assert again.failure().problem is StoreProblem.CONFLICT
    assert store.write_rows('own', (RowWrite('k', b'w', version),)).unwrap()


def test_an_entry_removed_well_after_an_outage_is_gone_at_once(world):
    world.store.fault = StoreFault.UNAVAILABLE
    eventlet.sleep(1.5)
    world.store.fault = StoreFault.NONE
    # Nothing changes for a while: the store has been back all the same.
    eventlet.sleep(4.5)
    world.store.remove('servers', 'r-one')
    fleet = world.node.state.fleet
    world.wait(lambda: 'r-one' not in fleet.endpoints, seconds=1)
