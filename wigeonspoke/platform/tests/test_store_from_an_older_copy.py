"""The store is away for a moment, and comes back from an older copy.

What was written since is gone, and the versions are given out again for other
rows.  The operator and the endpoints write theirs again.
"""

import time
from collections.abc import Callable

import eventlet
import msgspec
import pytest

from wigeonspoke.platform.standins import StoreFault, StoreStandin
from wigeonspoke.platform.tests.harness import (
    make_configuration,
    send_request,
    start_node,
    stop_node,
)
from wigeonspoke.store import RowPage

AWAY_SECONDS = 0.5
# By the users' page: until a configuration is in force, and until entries
# that are still missing count as gone.
APPLY_SECONDS = 2.0
REGISTRATION_SECONDS = 2.0
# Heartbeats before and after the return, by which the versions of the new era
# stay below the lost ones, pass them, or are the same.
VERSIONS = {'below': (30, 0), 'passed': (2, 30), 'equal': (3, 1)}


def _write(store, count: int) -> None:
    """Write rows that change nothing, as heartbeats do."""
    for _ in range(count):
        store.put('other', 'k', 0)


def _configure(harness, version: int, **options) -> None:
    configuration = make_configuration(version, **options)
    harness.store.put('op', 'config', configuration)


def _wait_for_version(harness, version: int, seconds: float) -> None:
    state = harness.node.state
    harness.wait_until(lambda: state.routing_table.version == version, seconds)


def _play_drill(
    harness, backup, after: int, write_again: Callable | None = None
) -> None:
    """Take the store away; heartbeats come as soon as it is back."""
    harness.store.server.close()
    eventlet.sleep(AWAY_SECONDS)
    harness.store.come_back_from(backup)
    if write_again is not None:
        write_again()
    _write(harness.store, after)
    harness.store.server.restart()


# An acknowledged configuration was not read until the next one: its version
# had been given out before, to a row that was lost.
@pytest.mark.parametrize('drills', [1, 2])
@pytest.mark.parametrize('versions', VERSIONS)
def test_a_configuration_after_the_return_is_in_force(
    harness, versions, drills
):
    before, after = VERSIONS[versions]
    for drill in range(drills):
        backup = harness.store.back_up()
        _configure(harness, 10 * drill + 2)
        _write(harness.store, before)
        _wait_for_version(harness, 10 * drill + 2, APPLY_SECONDS)
        _play_drill(harness, backup, after)
        _configure(harness, 10 * drill + 2)
        _configure(harness, 10 * drill + 3)
        _wait_for_version(harness, 10 * drill + 3, APPLY_SECONDS)


# The same, with the versions of the new era past the lost ones before the node
# asks again.  It went on from there, and skipped the rows in between.
@pytest.mark.parametrize('drills', [1, 2])
def test_a_configuration_with_a_lost_version_is_in_force(harness, drills):
    for drill in range(drills):
        first, second = 10 * drill + 2, 10 * drill + 3
        backup = harness.store.back_up()
        _configure(harness, first)
        _write(harness.store, 10)
        _wait_for_version(harness, first, APPLY_SECONDS)

        def write_again(first=first, second=second):
            _configure(harness, first)
            _configure(harness, second)

        _play_drill(harness, backup, 20, write_again)
        _wait_for_version(harness, second, APPLY_SECONDS)


# Between the return and the operator's write, the store holds an older one.
@pytest.mark.parametrize('versions', VERSIONS)
def test_the_configuration_in_force_does_not_go_back(harness, versions):
    before, after = VERSIONS[versions]
    backup = harness.store.back_up()
    _configure(harness, 2, tenants=[{'name': 'bond', 'api-keys': ['b']}])
    _write(harness.store, before)
    _wait_for_version(harness, 2, APPLY_SECONDS)
    _play_drill(harness, backup, after)
    until = time.monotonic() + APPLY_SECONDS
    while time.monotonic() < until:
        assert harness.node.state.routing_table.version == 2
        # The key of the lost configuration's tenant only.
        assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 401
        eventlet.sleep(0.1)


def _publish(harness, replica, **changes) -> None:
    entry = {**replica.registry_entry(), **changes}
    harness.store.put('servers', replica.endpoint_id, entry)


# A run that leaves does not come back, as it is not known when it ends.
@pytest.mark.parametrize('is_removed', [False, True])
@pytest.mark.parametrize('versions', VERSIONS)
def test_an_endpoint_that_left_is_not_used_again(harness, versions, is_removed):
    before, after = VERSIONS[versions]
    backup = harness.store.back_up()
    fleet = harness.node.state.fleet
    if is_removed:
        harness.store.remove('servers', 'r-one')
    else:
        _publish(harness, harness.replicas[0], state='draining')
    _write(harness.store, before)
    harness.wait_until(lambda: len(fleet.of_service('ledger')) == 1)
    _play_drill(harness, backup, after)
    until = time.monotonic() + APPLY_SECONDS
    while time.monotonic() < until:
        listed = fleet.of_service('ledger')
        assert [one.endpoint_id for one in listed] == ['r-two']
        eventlet.sleep(0.05)


def _list_later_runs(harness) -> int:
    """List other runs of the replicas; return when they were born."""
    fleet = harness.node.state.fleet
    for endpoint_id in ('r-one', 'r-two'):
        harness.store.remove('servers', endpoint_id)
    harness.wait_until(lambda: not fleet.of_service('ledger'))
    born = harness.replicas[0].registry_entry()['born'] + 1
    for replica in harness.replicas:
        _publish(harness, replica, born=born)
    harness.wait_until(lambda: len(fleet.of_service('ledger')) == 2)
    return born


# An endpoint whose entry is lost is up, and writes it again.
@pytest.mark.parametrize('versions', VERSIONS)
def test_lost_entries_are_kept_until_they_are_written_again(harness, versions):
    before, after = VERSIONS[versions]
    fleet = harness.node.state.fleet
    backup = harness.store.back_up()
    lost = [row for row in backup.rows if row.key not in {'r-one', 'r-two'}]
    backup = msgspec.structs.replace(backup, rows=tuple(lost))
    born = _list_later_runs(harness)
    _write(harness.store, before)
    _play_drill(harness, backup, after)
    until = time.monotonic() + 0.8 * REGISTRATION_SECONDS
    while time.monotonic() < until:
        assert len(fleet.of_service('ledger')) == 2
        eventlet.sleep(0.05)
    _publish(harness, harness.replicas[1], born=born)
    harness.wait_until(lambda: 'r-one' not in fleet.endpoints, APPLY_SECONDS)
    assert 'r-two' in fleet.endpoints


# The lease and the registration of the node are among what is lost.
@pytest.mark.parametrize('versions', VERSIONS)
def test_what_the_node_wrote_is_written_again(harness, versions):
    before, after = VERSIONS[versions]
    own_rows = (('stewards', 'node/node-1'), ('stewards', 'one'))
    backup = harness.store.back_up()
    backup = msgspec.structs.replace(
        backup,
        rows=tuple(row for row in backup.rows if row.table != 'stewards'),
    )
    harness.wait_until(
        lambda: all(key in harness.store.rows for key in own_rows)
    )
    _write(harness.store, before)
    _play_drill(harness, backup, after)
    harness.wait_until(
        lambda: all(key in harness.store.rows for key in own_rows)
    )
    harness.wait_until(lambda: harness.node.state.holds_lease)


@pytest.fixture
def node_without_store(harness):
    """Yield a second node, which learns of tables from the first only."""
    store = StoreStandin()
    store.fault = StoreFault.UNAVAILABLE
    node = start_node(harness, 'node-2', store=store.address)
    harness.wait_until(lambda: node.is_ready)
    yield node
    stop_node(node)
    store.server.close()


# Peers compared the same versions, so that none could tell another.
@pytest.mark.parametrize('versions', VERSIONS)
def test_a_peer_tells_a_node_that_the_store_refuses(
    harness, node_without_store, versions
):
    before, after = VERSIONS[versions]
    table = node_without_store.state.routing_table
    backup = harness.store.back_up()
    _configure(harness, 2)
    _write(harness.store, before)
    harness.wait_until(lambda: table.version == 2)
    _play_drill(harness, backup, after)
    _configure(harness, 3)
    harness.wait_until(lambda: table.version == 3)
    assert node_without_store.state.eras.current == harness.store.era


# Each node reads each table once after the return, and never on other days.
def test_each_table_is_read_once_after_the_return(harness):
    backup = harness.store.back_up()
    _configure(harness, 2)
    _wait_for_version(harness, 2, APPLY_SECONDS)
    harness.store.requested_paths.clear()
    harness.store.requested_tables.clear()
    eventlet.sleep(1.0)
    assert '/v1/rows-get' not in harness.store.requested_paths
    _play_drill(harness, backup, 30)
    _configure(harness, 3)
    _wait_for_version(harness, 3, APPLY_SECONDS)
    eventlet.sleep(1.0)
    reads = [
        table
        for path, table in zip(
            harness.store.requested_paths,
            harness.store.requested_tables,
            strict=True,
        )
        if path == '/v1/rows-get'
    ]
    for table in ('op', 'servers', 'quarantine'):
        assert reads.count(table) == 1, table


# An answer of the era before may arrive after one of the new era.
def test_a_late_answer_of_the_era_before_changes_nothing(harness):
    follower = harness.node.tables['op']
    late = follower.store.read_table('op').unwrap()
    backup = harness.store.back_up()
    _play_drill(harness, backup, 0)
    _configure(harness, 5)
    _wait_for_version(harness, 5, APPLY_SECONDS)
    known = follower.copy.version
    late_version = msgspec.structs.replace(late.version, number=10**6)
    late_page = RowPage(late.rows, late_version, late.store_seconds)
    follower._process_table(late_page)
    follower._process_page(late_page, late.version)
    assert follower.copy.version == known
    _configure(harness, 6)
    _wait_for_version(harness, 6, APPLY_SECONDS)


# The store of an earlier build names no era, and is followed as before.
def test_a_store_without_eras_is_followed(harness):
    harness.store.era = 0
    _configure(harness, 2)
    _wait_for_version(harness, 2, APPLY_SECONDS)
    _configure(harness, 3)
    _wait_for_version(harness, 3, APPLY_SECONDS)
