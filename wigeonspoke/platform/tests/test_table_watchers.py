"""In a large domain, few nodes read the registry for all others."""

import time
from collections.abc import Iterator
from functools import partial

import eventlet
import pytest

from wigeonspoke.core.membership import choose_watchers
from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress import IngressNode
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.tables.table_followers import WATCHER_WAIT_SECONDS
from wigeonspoke.platform.standins import StoreFault, StoreStandin
from wigeonspoke.platform.tests.harness import (
    Harness,
    start_node,
    stop_node,
)

NODES = 12
DOMAIN = 'one'
SETTLE_SECONDS = 20.0
# The target is the drain time of the smallest large deployment, 3 s; a change
# must leave half of it to the requests.
CHANGE_SECONDS = 1.5
CHANGES = 4
TABLE = 'servers'


class LargeDomain:
    """Twelve nodes of one domain, each at its own view of one store."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.stores: list[StoreStandin] = []
        self.nodes = [harness.node]
        for number in range(1, NODES):
            self.nodes.append(start_node(harness, f'node-{number + 1}'))
        self.restart_number = 0

    def settle(self) -> None:
        """Wait until all but the watchers and lease holders follow others."""
        self.harness.wait_until(self._is_settled, seconds=SETTLE_SECONDS)

    def followers(self) -> list[IngressNode]:
        """Return the nodes that do not read the registry from the store."""
        return [node for node in self.nodes if _is_fresh(node)]

    def watchers(self) -> list[IngressNode]:
        """Return the nodes that read it for the others."""
        names = [node.state.settings.name for node in self.nodes]
        chosen = choose_watchers(DOMAIN, names)
        return [
            node for node in self.nodes if node.state.settings.name in chosen
        ]

    def change(self, state: str) -> float:
        """Change the entry of a replica; return the time until all know."""
        replica = self.harness.replicas[0]
        self.harness.store.put(
            TABLE, replica.endpoint_id, replica.registry_entry(state)
        )
        changed_at = time.monotonic()
        for node in self.nodes:
            self.harness.wait_until(
                partial(_knows, node, replica.endpoint_id, state)
            )
        return time.monotonic() - changed_at

    def close(self) -> None:
        """Stop all nodes but the first."""
        for node in self.nodes:
            if node is not self.harness.node:
                stop_node(node)
        for store in self.stores:
            store.server.close()

    def _is_settled(self) -> bool:
        direct = {
            node.state.settings.name
            for node in self.nodes
            if not _is_fresh(node) and not node.state.holds_lease
        }
        watchers = {node.state.settings.name for node in self.watchers()}
        return direct <= watchers and len(self.followers()) >= NODES - 4


def _is_fresh(node: IngressNode) -> bool:
    return node.tables[TABLE].fresh_until > time.monotonic()


def _knows(node: IngressNode, endpoint_id: str, state: str) -> bool:
    endpoint = node.state.fleet.endpoints.get(endpoint_id)
    is_leaving = state == 'draining'
    return endpoint is not None and endpoint.is_leaving is is_leaving


def _alternate(number: int) -> str:
    return ('draining', 'ready')[number % 2]


@pytest.fixture
def domain(harness) -> Iterator[LargeDomain]:
    """Yield a domain in which most nodes follow a watcher."""
    started = LargeDomain(harness)
    started.settle()
    yield started
    started.close()


def test_a_change_reaches_all_nodes_by_few_calls(domain):
    store = domain.harness.store
    # Polls that began before the nodes followed a watcher end with a change.
    domain.change('draining')
    domain.change('ready')
    eventlet.sleep(CHANGE_SECONDS)
    before = len(store.requested_tables)
    for number in range(CHANGES):
        assert domain.change(_alternate(number)) < CHANGE_SECONDS
        eventlet.sleep(0.7)
    calls = store.requested_tables[before:].count(TABLE)
    readers = NODES - len(domain.followers())
    # A call for each change and reader, and the polls that time out.
    assert calls <= 2 * readers * (CHANGES + 1)
    assert calls < NODES * CHANGES


def _kill(domain: LargeDomain, node: IngressNode) -> None:
    stop_node(node)
    domain.nodes.remove(node)


def _cut_from_store(_domain: LargeDomain, node: IngressNode) -> None:
    # Its next calls fail; the one that waits breaks.
    client = node.tables[TABLE].store.client
    node.tables[TABLE].store.address = '127.0.0.1:1'
    client.pool.clear()


@pytest.mark.parametrize('fault', [_kill, _cut_from_store])
@pytest.mark.parametrize('count', [1, 2])
def test_changes_arrive_in_time_without_watchers(domain, fault, count):
    for node in domain.watchers()[:count]:
        if node is domain.harness.node:
            continue
        fault(domain, node)
    for number in range(CHANGES):
        assert domain.change(_alternate(number)) < CHANGE_SECONDS


def test_entries_that_expire_in_an_outage_are_kept_by_followers(domain):
    store = domain.harness.store
    replica = domain.harness.replicas[0]
    store.fault = StoreFault.UNAVAILABLE
    # The polls of watchers that were open end and are repeated meanwhile.
    eventlet.sleep(WATCHER_WAIT_SECONDS + 1.0)
    # The entry lapsed meanwhile, and is back a second after the store.
    store.remove(TABLE, replica.endpoint_id)
    store.fault = StoreFault.NONE
    deadline = time.monotonic() + 1.0
    while time.monotonic() < deadline:
        for node in domain.nodes:
            assert replica.endpoint_id in node.state.fleet.endpoints
        eventlet.sleep(0.05)
    domain.change('ready')


# What a watcher tells of an outage may be older than what the node saw itself.
@pytest.mark.parametrize(
    ('failures', 'last'),
    [((5.0,), 5.0), ((5.0, 3.0), 5.0), ((3.0, 5.0), 5.0)],
)
def test_the_last_failure_of_the_store_is_kept(harness, failures, last):
    state = IngressState(
        harness.node.state.settings, harness.node.state.wire, DecisionLog('x')
    )
    for failed_at in failures:
        state.record_store_failure(failed_at)
    assert state.store_outages.failed_at == pytest.approx(last)


def test_a_small_domain_has_no_watchers(harness):
    nodes = [start_node(harness, f'node-{number}') for number in range(2, 5)]
    eventlet.sleep(4.0)
    assert not any(map(_is_fresh, (harness.node, *nodes)))
    for node in nodes:
        stop_node(node)


@pytest.mark.parametrize(
    ('count', 'expected'),
    [(0, 0), (1, 0), (5, 0), (6, 2), (40, 2), (400, 2)],
)
def test_the_number_of_watchers_does_not_grow(count, expected):
    nodes = [f'node-{number}' for number in range(count)]
    watchers = choose_watchers(DOMAIN, nodes)
    assert len(watchers) == expected
    assert set(watchers) <= set(nodes)
    # Few places change with a node.
    if count > 6:
        other = next(name for name in nodes if name not in watchers)
        nodes.remove(other)
        assert choose_watchers(DOMAIN, nodes) == watchers
