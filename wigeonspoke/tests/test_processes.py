"""Tests of the daemons, run as separate processes."""

import re
import signal
import subprocess
import sys

import eventlet
import pytest
from returns.result import Success

from wigeonspoke.transport import HttpClient

COMMAND = (sys.executable, '-m', 'wigeonspoke')
NODE_ARGUMENTS = (
    'node',
    '--name=n1',
    '--failure-domain=a',
    '--admin-key=admin-key',
    '--cluster-key=cluster-key',
    '--look-away-seconds=0.2',
)
ADDRESS_PATTERN = r'127\.0\.0\.1:\d+'


@pytest.fixture
def start():
    """Return a function that starts a process; kill it after the test."""
    processes = []

    def start_process(*arguments):
        process = subprocess.Popen(
            [*COMMAND, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        processes.append(process)
        return process

    yield start_process
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait()


def _read_addresses(process):
    while line := process.stdout.readline():
        addresses = re.findall(ADDRESS_PATTERN, line)
        if addresses:
            return addresses
    return []


def test_node_starts_without_platform_and_stops_on_sigterm(start):
    node = start(*NODE_ARGUMENTS, '--platform=127.0.0.1:1')
    _, admin, _ = _read_addresses(node)
    client = HttpClient()
    assert client.get(admin, '/healthz').unwrap().is_ok
    assert client.get(admin, '/readyz').unwrap().status == 503
    node.send_signal(signal.SIGTERM)
    assert node.wait(timeout=20) == 0


def test_second_sigterm_ends_the_node_immediately(start):
    node = start(*NODE_ARGUMENTS[:-1], '--platform=127.0.0.1:1')
    _read_addresses(node)
    node.send_signal(signal.SIGTERM)
    eventlet.sleep(0.5)
    node.send_signal(signal.SIGTERM)
    assert node.wait(timeout=20) == 1


def test_invalid_settings_end_the_process(start):
    node = start('node', '--name=n1')
    output, _ = node.communicate(timeout=20)
    assert node.returncode == 2
    assert '--failure-domain (WIGEONSPOKE_NODE_FAILURE_DOMAIN)' in output


def test_standin_platform_serves(start):
    address = _read_addresses(start('standin', 'platform'))[0]
    reply = HttpClient().get(address, '/hosts')
    assert isinstance(reply, Success)
