"""An endpoint that was removed from the registry got calls for too long.

An entry that lapsed while the store was away is kept for a while, since a live
endpoint writes it again.  One that is removed while the store answers is not.
"""

import time
from collections.abc import Iterator

import eventlet
import pytest
from returns.result import Success

from wigeonspoke.ingress import IngressNode
from wigeonspoke.platform.standins import ReplicaStandin, StoreFault
from wigeonspoke.platform.tests.harness import (
    Harness,
    send_request,
    start_node,
    stop_node,
)
from wigeonspoke.store import FeedStore, RowPage

# The target: no call later than this after the removal.
DRAIN_SECONDS = 2.0
WATCHED_SECONDS = DRAIN_SECONDS + 1.5
# Live endpoints are listed again this long after the store's return.
RETURN_SECONDS = 2.0
# Evidence of the start is no longer of account after this.
SETTLE_SECONDS = 3.0
CALL_INTERVAL_SECONDS = 0.05
EVENT_INTERVAL_SECONDS = 0.75


class LatePolls:
    """A store whose polls return nothing, as if its answers were late."""

    def __init__(self, store: FeedStore) -> None:
        self.store = store

    def read_table(self, table: str):
        """Read the table from the store."""
        return self.store.read_table(table)

    def follow(self, _table: str, after: int, wait_seconds: float):
        """Wait, and return no change."""
        eventlet.sleep(wait_seconds)
        return Success(RowPage((), after, 0))


@pytest.fixture
def second_node(harness) -> Iterator[IngressNode]:
    """Yield a second node at the same store, peered with the first."""
    node = start_node(harness, 'node-2')
    harness.node.state.peer_addresses.add(node.peers.address)
    harness.wait_until(lambda: node.is_ready)
    harness.wait_until(lambda: len(node.state.fleet.endpoints) == 8)
    yield node
    stop_node(node)


def _change_another_entry(
    harness: Harness, _node: IngressNode, number: int
) -> None:
    engine = harness.engines[3]
    entry = {**engine.registry_entry(), 'sequence': number}
    harness.store.put('servers', engine.endpoint_id, entry)


def _refuse_a_call(_harness: Harness, node: IngressNode, _number: int) -> None:
    node.state.record_store_failure(time.monotonic())


def _do_nothing(_harness: Harness, _node: IngressNode, _number: int) -> None:
    """Leave all as it is."""


def _call_and_find_last(
    harness: Harness, node: IngressNode, replica: ReplicaStandin, event
) -> float:
    """Send calls for a while; return when the last one reached a replica.

    It is in seconds after the beginning, 0 if none did.
    """
    began_at = time.monotonic()
    event_at = began_at + EVENT_INTERVAL_SECONDS
    number = 0
    while time.monotonic() < began_at + WATCHED_SECONDS:
        number += 1
        if time.monotonic() >= event_at:
            event_at += EVENT_INTERVAL_SECONDS
            event(harness, node, number)
        send_request(harness, 'GET', '/read/x', f'call{number}', node=node)
        eventlet.sleep(CALL_INTERVAL_SECONDS)
    times = [
        received.received_at - began_at
        for received in replica.received
        if received.received_at > began_at
    ]
    return max(times, default=0)


@pytest.mark.parametrize(
    ('polls_late', 'event', 'state'),
    [
        (False, _do_nothing, 'removed'),
        (False, _refuse_a_call, 'removed'),
        (True, _do_nothing, 'removed'),
        (True, _change_another_entry, 'removed'),
        (True, _change_another_entry, 'draining'),
        (True, _refuse_a_call, 'removed'),
    ],
    ids=[
        'own-poll',
        'refused-calls',
        'told-by-peer',
        'told-beside-changes',
        'drains-beside-changes',
        'told-beside-refused-calls',
    ],
)
def test_no_call_reaches_an_endpoint_after_its_removal(
    harness, second_node, polls_late, event, state
):
    if polls_late:
        follower = second_node.tables['servers']
        follower.store = LatePolls(follower.store)
    eventlet.sleep(SETTLE_SECONDS)
    replica = harness.replicas[0]
    event(harness, second_node, 0)
    if state == 'removed':
        harness.store.remove('servers', replica.endpoint_id)
    else:
        entry = replica.registry_entry('draining')
        harness.store.put('servers', replica.endpoint_id, entry)
    last = _call_and_find_last(harness, second_node, replica, event)
    assert last <= DRAIN_SECONDS


# An entry that lapsed while the store was away was dropped by nodes that heard
# of it from a peer, or kept by no evidence but that it came from a peer.
def test_a_lapsed_entry_is_kept_by_all_until_it_may_be_back(
    harness, second_node
):
    follower = second_node.tables['servers']
    follower.store = LatePolls(follower.store)
    eventlet.sleep(SETTLE_SECONDS)
    replica = harness.replicas[0]
    nodes = (harness.node, second_node)
    harness.store.fault = StoreFault.UNAVAILABLE
    harness.wait_until(lambda: not harness.node.tables['servers'].is_reachable)
    eventlet.sleep(1.0)
    harness.store.remove('servers', replica.endpoint_id)
    harness.store.fault = StoreFault.NONE
    until = time.monotonic() + RETURN_SECONDS
    while time.monotonic() < until:
        for node in nodes:
            assert 'r-one' in node.state.fleet.endpoints
        eventlet.sleep(0.05)
    for node in nodes:
        harness.wait_until(
            lambda node=node: 'r-one' not in node.state.fleet.endpoints
        )
