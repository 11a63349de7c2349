"""Store faults: known data stays in use and is updated afterwards."""

import eventlet
import pytest

from wigeonspoke.platform.standins import StoreFault, StoreStandin
from wigeonspoke.platform.store_client import PlatformStore
from wigeonspoke.platform.tests.harness import make_configuration, send_request
from wigeonspoke.store import RowWrite, StoreProblem
from wigeonspoke.transport import HttpClient


@pytest.mark.parametrize('fault', list(StoreFault))
def test_requests_are_served_while_the_store_is_faulty(harness, fault):
    harness.store.fault = fault
    eventlet.sleep(0.3)
    assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 200
    harness.store.fault = StoreFault.NONE
    harness.store.put('op', 'config', make_configuration(version=7))
    harness.wait_until(
        lambda: harness.node.state.routing_table.version == 7, seconds=15
    )


def test_tables_are_reread_when_the_history_has_expired(harness):
    harness.store.fault = StoreFault.UNAVAILABLE
    eventlet.sleep(0.2)
    harness.store.remove('servers', 'r-one')
    harness.store.put('op', 'config', make_configuration(version=7))
    harness.store.expire_history()
    harness.store.fault = StoreFault.NONE
    fleet = harness.node.state.fleet
    harness.wait_until(lambda: 'r-one' not in fleet.endpoints)
    harness.wait_until(lambda: harness.node.state.routing_table.version == 7)


def test_entries_missing_after_an_outage_are_kept_for_a_while(harness):
    fleet = harness.node.state.fleet
    harness.store.fault = StoreFault.UNAVAILABLE
    eventlet.sleep(0.3)
    harness.store.remove('servers', 'r-one')
    harness.store.remove('servers', 'r-two')
    harness.store.expire_history()
    harness.store.fault = StoreFault.NONE
    eventlet.sleep(1.5)
    assert {'r-one', 'r-two'} <= set(fleet.endpoints)
    harness.store.put('servers', 'r-one', harness.replicas[0].registry_entry())
    harness.wait_until(lambda: 'r-two' not in fleet.endpoints)
    assert 'r-one' in fleet.endpoints


def test_an_older_configuration_is_ignored(harness):
    harness.store.put('op', 'config', make_configuration(version=7))
    harness.wait_until(lambda: harness.node.state.routing_table.version == 7)
    harness.store.put('op', 'config', make_configuration(version=3))
    eventlet.sleep(0.2)
    assert harness.node.state.routing_table.version == 7


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
def test_invalid_registry_entries_are_ignored(harness, content):
    harness.store.put_bytes('servers', 'strange', content)
    harness.store.remove('servers', 'r-one')
    fleet = harness.node.state.fleet
    harness.wait_until(lambda: 'r-one' not in fleet.endpoints)
    assert 'strange' not in fleet.endpoints
    assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 200


def test_an_invalid_configuration_is_ignored(harness):
    harness.store.put_bytes('op', 'config', b'{"version": "x"}')
    eventlet.sleep(0.2)
    assert harness.node.state.routing_table.version == 1


@pytest.mark.parametrize(
    ('fault', 'problem'),
    [
        (StoreFault.UNAVAILABLE, StoreProblem.UNAVAILABLE),
        (StoreFault.TOO_MANY, StoreProblem.UNAVAILABLE),
        (StoreFault.LOST_RESPONSE, StoreProblem.UNCERTAIN),
        (StoreFault.RESET, StoreProblem.UNCERTAIN),
        (StoreFault.HANG, StoreProblem.UNCERTAIN),
        (StoreFault.GARBLED, StoreProblem.UNCERTAIN),
    ],
)
def test_errors_tell_whether_a_write_may_have_taken_effect(
    harness, fault, problem
):
    store = PlatformStore(harness.store.address, HttpClient())
    harness.store.fault = fault
    error = store.write_rows('own', (RowWrite('k', b'v', 0),)).failure()
    assert error.problem is problem
    was_written = ('own', 'k') in harness.store.rows
    assert was_written == (fault is StoreFault.LOST_RESPONSE)


def test_a_write_with_an_outdated_version_is_a_conflict(harness):
    store = PlatformStore(harness.store.address, HttpClient())
    version = store.write_rows('own', (RowWrite('k', b'v', 0),)).unwrap()
    second_write = store.write_rows('own', (RowWrite('k', b'w', 0),))
    assert second_write.failure().problem is StoreProblem.CONFLICT
    assert store.write_rows('own', (RowWrite('k', b'w', version),)).unwrap()


def test_an_entry_removed_well_after_an_outage_is_dropped_at_once(harness):
    harness.store.fault = StoreFault.UNAVAILABLE
    eventlet.sleep(1.5)
    harness.store.fault = StoreFault.NONE
    # No row changes in this time, but the store's return must be noticed
    # anyway, or the removed entry below would still be retained.
    eventlet.sleep(4.5)
    harness.store.remove('servers', 'r-one')
    fleet = harness.node.state.fleet
    harness.wait_until(lambda: 'r-one' not in fleet.endpoints, seconds=1)


# A row changed while a later page was read was never told by the feed.
@pytest.mark.parametrize('change', ['put', 'remove'])
def test_changes_between_the_pages_of_a_table_are_not_missed(change):
    store = StoreStandin()
    for number in range(4):
        store.put('servers', f's{number}', {'round': 1})
    store.page_rows = 2

    def change_first_page() -> None:
        store.after_page = None
        if change == 'put':
            store.put('servers', 's0', {'round': 2})
        else:
            store.remove('servers', 's0')

    store.after_page = change_first_page
    client = PlatformStore(store.address, HttpClient())
    page = client.read_table('servers').unwrap()
    assert [row.key for row in page.rows] == ['s0', 's1', 's2', 's3']
    changed = client.follow('servers', page.version, 1.0).unwrap().rows
    assert [(row.key, row.is_removed) for row in changed] == [
        ('s0', change == 'remove')
    ]
    store.server.close()
