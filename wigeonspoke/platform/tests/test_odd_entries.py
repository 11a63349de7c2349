"""Odd entries of another writer among those of the endpoints."""

import eventlet
import msgspec
import pytest

from wigeonspoke.platform.tests.harness import (
    send_request,
    start_node,
    stop_node,
)
from wigeonspoke.platform.wire_format import PlatformFormat

REPLICA = {
    'service': 'ledger',
    'address': '127.0.0.1:1',
    'zone': 'one',
    'state': 'ready',
    'born': 7,
    'slots': 1,
}
ENGINE = {
    **REPLICA,
    'service': 'drafting',
    'kind': 'small',
    'layers': {'from': 0, 'to': 20},
}
MANY_DIGITS = '9' * 5000
REQUESTS = 6
ODD_ADDRESS = '127.0.0.1:9'


def _entry(base=REPLICA, **fields):
    return msgspec.json.encode({**base, **fields})


def _nested(depth: int) -> bytes:
    deep = b'[' * depth + b']' * depth
    return b'%s, "note": %s}' % (_entry()[:-1], deep)


ENTRIES = {
    'nested 2,000 deep': _nested(2000),
    'nested 100,000 deep': _nested(100_000),
    'not JSON': b'\xff{',
    'empty': b'',
    'born 10**30': _entry(born=10**30),
    'born of 4,000 digits': _entry().replace(
        b'"born":7', b'"born":' + b'9' * 4000
    ),
    'born 1e400': _entry().replace(b'"born":7', b'"born":1e400'),
    'slots 10**30': _entry(slots=10**30),
    'slots -5': _entry(slots=-5),
    'port 99999': _entry(address='127.0.0.1:99999'),
    'port 0': _entry(address='127.0.0.1:0'),
    'port of 5,000 digits': _entry(address=f'127.0.0.1:{MANY_DIGITS}'),
    'port in other digits': _entry(address='127.0.0.1:\u0661\u0662'),
    'line break in address': _entry(address='127.0.0.1\r\nX: y:80'),
    'no address': _entry(address=''),
    'engine, port 99999': _entry(ENGINE, address='127.0.0.1:99999'),
    'engine, layers to 10**18': _entry(
        ENGINE, layers={'from': 0, 'to': 10**18}
    ),
    'engine, layers from -10**18': _entry(
        ENGINE, layers={'from': -(10**18), 'to': 20}
    ),
    'engine, slots 10**30': _entry(ENGINE, slots=10**30),
    'engine, born 10**30': _entry(ENGINE, born=10**30),
}


@pytest.fixture(params=[False, True], ids=['runs', 'starts'])
def leave_entry(request, placed_harness):
    """Yield what leaves an entry, at a node that runs or that starts then.

    It returns the node, which knows the other endpoints.
    """
    started = []

    def leave(content: bytes, key: str = 'odd'):
        placed_harness.store.put_bytes('servers', key, content)
        node = placed_harness.node
        if request.param:
            node = start_node(placed_harness, 'late', failure_domain='one')
            started.append(node)
        placed_harness.wait_until(lambda: len(node.state.fleet.endpoints) >= 8)
        return node

    yield leave
    for node in started:
        stop_node(node)


def _count_served(harness, node) -> int:
    statuses = [
        send_request(harness, 'GET', '/read/x', f'id{number}', node=node)[0]
        for number in range(REQUESTS)
    ]
    return statuses.count(200)


def _wait_until_gone(harness, node, endpoint_id: str) -> None:
    harness.store.remove('servers', endpoint_id)
    harness.wait_until(
        lambda: endpoint_id not in node.state.fleet.endpoints, 4.0
    )


# One odd entry made a node that started serve nobody, and one that ran miss
# the other changes that came with it.
@pytest.mark.parametrize('name', ENTRIES)
def test_an_odd_entry_costs_itself_alone(placed_harness, leave_entry, name):
    node = leave_entry(ENTRIES[name])
    counters = node.state.counters
    placed_harness.wait_until(lambda: counters['entry-unreadable', ''])
    assert 'odd' not in node.state.fleet.endpoints
    assert _count_served(placed_harness, node) == REQUESTS
    _wait_until_gone(
        placed_harness, node, placed_harness.engines[5].endpoint_id
    )
    assert not counters['loop-failed', '']


# A consumer may fail for a reason that nobody has foreseen.
def test_an_entry_that_fails_unforeseen_costs_itself_alone(
    placed_harness, leave_entry, monkeypatch
):
    decode = PlatformFormat.decode_endpoint

    def decode_or_fail(wire, endpoint_id, content):
        if endpoint_id == 'odd':
            raise KeyError('unforeseen')
        return decode(wire, endpoint_id, content)

    monkeypatch.setattr(PlatformFormat, 'decode_endpoint', decode_or_fail)
    node = leave_entry(_entry())
    counters = node.state.counters
    placed_harness.wait_until(lambda: counters['row-failed', 'servers'])
    assert _count_served(placed_harness, node) == REQUESTS
    _wait_until_gone(
        placed_harness, node, placed_harness.engines[5].endpoint_id
    )
    assert not counters['loop-failed', '']


# An entry with a later start hid the endpoint until that time.
@pytest.mark.parametrize('born', [10**30, 10**15])
def test_an_odd_entry_under_a_real_id_ends_with_the_next_real_one(
    placed_harness, born
):
    replica = placed_harness.replicas[0]
    endpoints = placed_harness.node.state.fleet.endpoints
    real = endpoints[replica.endpoint_id]
    odd = _entry(born=born, service='ledger', address='127.0.0.1:9')
    placed_harness.store.put_bytes('servers', replica.endpoint_id, odd)
    placed_harness.wait_until(lambda: replica.endpoint_id not in endpoints, 4.0)
    entry = replica.registry_entry()
    placed_harness.store.put('servers', replica.endpoint_id, entry)
    placed_harness.wait_until(lambda: replica.endpoint_id in endpoints, 4.0)
    assert endpoints[replica.endpoint_id] == real


def test_layers_beyond_the_model_make_no_chain(placed_harness):
    whole = _entry(ENGINE, layers={'from': 0, 'to': 41})
    placed_harness.store.put_bytes('servers', 'odd', whole)
    node = placed_harness.node
    placed_harness.wait_until(lambda: 'odd' in node.state.fleet.endpoints)
    eventlet.sleep(0)
    ids = [chain.endpoint_ids for chain in placed_harness.chains()]
    assert len(ids) == 2
    assert 'odd' not in frozenset().union(*ids)


# Three seconds of entries of another writer, with a later start, hid a sound
# service for good: the entries that its replicas wrote later counted as old.
@pytest.mark.parametrize('service', ['unnamed', 'ledger'])
def test_the_newest_entry_counts_whatever_start_another_writer_named(
    harness, service
):
    fleet = harness.node.state.fleet
    sound = dict(fleet.endpoints)
    odd_ids = ('r-one', 'r-two')
    for replica in harness.replicas:
        entry = replica.registry_entry()
        odd = {
            **entry,
            'service': service,
            'address': ODD_ADDRESS,
            'born': entry['born'] + 60_000,
        }
        harness.store.put('servers', replica.endpoint_id, odd)
    harness.wait_until(
        lambda: all(
            fleet.endpoints[endpoint_id].address == ODD_ADDRESS
            for endpoint_id in odd_ids
        )
    )
    harness.publish_endpoints()
    harness.wait_until(lambda: fleet.endpoints == sound)
    assert send_request(harness, 'GET', '/read/x', 'id1')[0] == 200


# An entry that names another service says nothing of a request that was sent
# to the replica before.
def test_an_entry_of_another_service_is_no_end_of_a_replica(harness):
    replica = harness.replicas[0]
    endpoint = harness.node.state.fleet.endpoints[replica.endpoint_id]
    entry = replica.registry_entry()
    odd = {**entry, 'service': 'unnamed', 'born': entry['born'] + 60_000}
    harness.store.put('servers', replica.endpoint_id, odd)
    fleet = harness.node.state.fleet
    harness.wait_until(
        lambda: fleet.endpoints[replica.endpoint_id].service == 'unnamed'
    )
    assert not harness.node.state.part_watch.has_ended(endpoint)
