"""Hosts are replaced one after the other, so that two builds run together.

Each node is a process of its own.  The first ones run the sources of an earlier
commit; each is stopped, and a node of the present build takes its place.
"""

import collections
import signal
import time

import eventlet
import pytest

from wigeonspoke.platform.tests.harness import (
    API_KEY,
    HOST,
    ZONES,
    make_configuration,
)
from wigeonspoke.platform.tests.node_process import (
    NodeProcess,
    extract_build,
)
from wigeonspoke.platform.tests.stream_requests import ALL_EVENTS, event_ids
from wigeonspoke.transport import HttpClient

START_SECONDS = 15.0
# The target of the users' deployments: a configuration is in force by then.
APPLY_SECONDS = 2.0
SEND_INTERVAL_SECONDS = 0.2
DEADLINE_SECONDS = 3.0
CALLS = (('GET', '/read/x'), ('POST', '/write/x'), ('POST', '/draft/x'))
HEADERS = {
    'Host': HOST,
    'Credential': API_KEY,
    'Deadline-Ms': f'{DEADLINE_SECONDS * 1000:.0f}',
    'Model': 'm',
    'Token-Usage': '100,100',
}


class Upgrade:
    """Processes behind one store, and the answers of all clients."""

    def __init__(self, harness, folder) -> None:
        self.harness = harness
        self.folder = folder
        self.client = HttpClient()
        self.nodes: list[NodeProcess] = []
        self.started: list[NodeProcess] = []
        self.number = 0
        self.answers: collections.Counter = collections.Counter()
        self.unserved: list[tuple] = []

    def start(self, name: str, zone: str, **options) -> NodeProcess:
        """Start a node, and wait until it is ready."""
        node = NodeProcess(
            self.folder, name, zone, self.harness.store.address, **options
        )
        self.started.append(node)
        self.harness.wait_until(lambda: self.is_ready(node), START_SECONDS)
        self.nodes.append(node)
        return node

    def is_ready(self, node: NodeProcess) -> bool:
        """Return whether a node says that it is ready."""
        reply = self.client.get(node.ready, '/v1/readyz')
        return reply.map(lambda found: found.is_ok).value_or(False)

    def send_all(self) -> None:
        """Send requests to all nodes in rotation; never returns."""
        while True:
            for node in tuple(self.nodes):
                for method, path in CALLS:
                    eventlet.spawn(self.send, node, method, path)
            eventlet.sleep(SEND_INTERVAL_SECONDS)

    def send(self, node: NodeProcess, method: str, path: str) -> int:
        """Send a request; return the status, 0 without a whole answer."""
        self.number += 1
        name = f'id{self.number}'
        reply = self.client.send(
            node.front,
            method,
            path,
            b'prompt' if method == 'POST' else None,
            timeout=4.0,
            headers={**HEADERS, 'Request-Id': name},
            fresh_connection=True,
        )
        status = reply.map(lambda found: found.status).value_or(0)
        body = reply.map(lambda found: found.body).value_or(b'')
        if path.startswith('/draft') and status == 200:
            assert event_ids(body) == ALL_EVENTS
        self.answers[status] += 1
        if status != 200:
            self.unserved.append((node.name, name, path, status))
        return status

    def replace(self, node: NodeProcess, name: str, zone: str) -> None:
        """Stop a node in favour of one of the present build."""
        node.send_signals(signal.SIGTERM)
        eventlet.sleep(1.0)
        self.nodes.remove(node)
        self.harness.wait_until(node.has_ended)
        assert node.process.returncode == 0
        self.start(name, zone)

    def change(self, version: int, prefix: str) -> None:
        """Add a route, and check when it is in force at each node."""
        configuration = make_configuration(version)
        route = {**configuration['routes'][0], 'path-prefix': prefix}
        configuration['routes'].append({**route, 'name': prefix.strip('/')})
        self.harness.store.put('op', 'config', configuration)
        changed_at = time.monotonic()
        for node in self.nodes:
            while self.send(node, 'GET', f'{prefix}x') != 200:
                assert time.monotonic() < changed_at + APPLY_SECONDS
                eventlet.sleep(0.05)

    def close(self) -> None:
        """End all processes."""
        for node in self.started:
            node.close()


@pytest.mark.parametrize('commit', ['0de2c9a', 'a40f63a'])
def test_requests_are_served_while_hosts_are_replaced(
    placed_harness, tmp_path, commit
):
    source = extract_build(commit, tmp_path)
    if source is None:
        pytest.skip('the history of the sources is not there')
    harness = placed_harness
    upgrade = Upgrade(harness, tmp_path)
    for zone in ZONES:
        upgrade.start(f'old-{zone}', zone, source=source)
    sender = eventlet.spawn(upgrade.send_all)
    eventlet.sleep(2.0)
    for number, zone in enumerate(ZONES):
        upgrade.change(10 + number, f'/added{number}/')
        upgrade.replace(upgrade.nodes[0], f'new-{zone}', zone)
    upgrade.change(20, '/last/')
    sender.kill()
    eventlet.sleep(DEADLINE_SECONDS)
    upgrade.close()
    lost = [one for one in upgrade.unserved if one[-1] not in {404, 503}]
    assert not lost, upgrade.answers
    runs = collections.Counter(
        received.request_id
        for replica in harness.replicas
        for received in replica.runs
        if received.method == 'POST'
    )
    assert max(runs.values()) == 1


# Signals come in series: the second SIGTERM, or a reload during the stop, cut
# off requests or ended the process.
def test_signals_during_a_stop_cut_off_no_request(harness, tmp_path):
    for replica in harness.replicas:
        replica.run_seconds = 1.2
    upgrade = Upgrade(harness, tmp_path)
    node = upgrade.start('node-2', 'one')
    calls = [
        eventlet.spawn(upgrade.send, node, method, path)
        for method, path in CALLS[:2]
    ]
    eventlet.sleep(0.3)
    node.send_signals(signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
    calls.append(eventlet.spawn(upgrade.send, node, 'GET', '/read/late'))
    eventlet.sleep(0.3)
    node.send_signals(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
    assert [call.wait() for call in calls] == [200, 200, 200]
    harness.wait_until(node.has_ended)
    assert node.process.returncode == 0
    upgrade.close()
