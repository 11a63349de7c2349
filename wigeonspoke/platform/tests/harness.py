"""A node between a client and the platform's stand-ins, on real sockets."""

import socket
import time
from typing import Any

import eventlet

from wigeonspoke.ingress import IngressSettings
from wigeonspoke.platform.program import build_node
from wigeonspoke.platform.standins import (
    EngineStandin,
    ReplicaStandin,
    StoreStandin,
)

HOST = 'shop.example'
KEY = 'key-of-acme'
ZONES = ('one', 'two')
WAIT_SECONDS = 10.0
FOREIGN_LAYERS = ((0, 14), (14, 28), (28, 40))


def route(prefix: str, service: str, kind: str, **given: Any) -> dict[str, Any]:
    """Make a route of the operator's configuration."""
    return {
        'name': prefix.strip('/'),
        'host': HOST,
        'path-prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout-ms': 1500,
        'target-latency-ms': 500,
        'max-attempts': 2,
        'priority': 1,
        **{name.replace('_', '-'): setting for name, setting in given.items()},
    }


def configuration(version: int = 1, **given: Any) -> dict[str, Any]:
    """Make a configuration of two services."""
    return {
        'version': version,
        'routes': [
            route('/read/', 'ledger', 'safe'),
            route('/write/', 'ledger', 'unsafe', max_attempts=1),
            route(
                '/draft/',
                'drafting',
                'streaming',
                resumable=True,
                gap_aim_ms=200,
                timeout_ms=5000,
            ),
        ],
        'services': [
            {'name': 'ledger', 'health-path': '/healthz'},
            {
                'name': 'drafting',
                'engine': {
                    'layers': 40,
                    'layer-mb': 1750.0,
                    'kv-token-bytes': 590000,
                    'usual': {'prompt': 100, 'answer': 100},
                    'models': [{'name': 'm', 'load-s': 0.2}],
                    'kinds': [
                        {'name': 'small', 'mb': 36000.0, 'pace': 1.0},
                    ],
                },
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 100000,
            'header-timeout-ms': 2000,
            'idle-timeout-ms': 5000,
        },
        'tenants': [
            {'name': 'acme', 'api-keys': [KEY]},
            {'name': 'bond', 'api-keys': ['key-of-bond']},
        ],
        **given,
    }


class World:
    """One node in domain ``one``, two replicas and three engines a domain."""

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.store.put('op', 'config', configuration())
        self.replicas = [
            ReplicaStandin(f'r-{zone}', 'ledger', zone) for zone in ZONES
        ]
        self.by_address: dict[str, EngineStandin] = {}
        self.engines = [
            EngineStandin(
                f'e-{zone}-{index}', zone, self.by_address, max_layers=20
            )
            for zone in ZONES
            for index in range(3)
        ]
        self.publish()
        self.node = build_node(self._settings())
        self.node.start()

    def publish(self) -> None:
        """Write all replicas and engines into the registry."""
        for each in (*self.replicas, *self.engines):
            self.store.put('servers', each.endpoint_id, each.entry())

    def place(self) -> None:
        """Wait until the steward has placed both domains."""
        # The other domain has no node here: its engines hold layers.
        for each, layers in zip(self.engines[3:], FOREIGN_LAYERS, strict=True):
            each.layers = layers
        self.publish()
        self.wait(lambda: len(self.chains()) == 2)

    def chains(self) -> tuple:
        """Give the chains that the node knows."""
        state = self.node.state
        service = state.routing_table.services.get('drafting')
        if service is None:
            return ()
        return state.chains.chains('drafting', service.engine)

    def wait(self, condition, seconds: float = WAIT_SECONDS) -> None:
        """Wait until a condition holds."""
        until = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < until, 'waited in vain'
            eventlet.sleep(0.01)

    def wait_for_service(self) -> None:
        """Wait until the node knows its configuration and replicas."""
        self.wait(lambda: len(self.node.state.fleet.endpoints) == 8)

    def close(self) -> None:
        """Stop everything."""
        for loop in self.node.greenlets:
            loop.kill()
        self.node.front.abort()
        self.node.ready.abort()
        self.node.metrics.abort()
        self.node.peers.abort()
        for each in (self.store, *self.replicas, *self.engines):
            each.server.close()

    def _settings(self) -> IngressSettings:
        return IngressSettings(
            name='node-1',
            failure_domain='one',
            failure_domains=ZONES,
            host='127.0.0.1',
            front='127.0.0.1:0',
            ready='127.0.0.1:0',
            peers='127.0.0.1:0',
            seeds=(),
            metrics_port=0,
            store=self.store.address,
            max_sockets=1024,
            stop_seconds=8.0,
            retry_ratio=0.2,
            retry_extra=400.0,
            retry_window_seconds=10.0,
        )


class Client:
    """A client's connection to the node, byte by byte."""

    def __init__(self, world: World) -> None:
        host, _, port = world.node.front.address.rpartition(':')
        self.sock = socket.create_connection((host, int(port)))
        self.sock.settimeout(WAIT_SECONDS)
        self.source = self.sock.makefile('rb')

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b'',
        **headers: str,
    ) -> None:
        """Send a request with the usual headers."""
        given = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': '3000',
            'Credential': KEY,
        }
        given.update(
            {name.replace('_', '-'): text for name, text in headers.items()},
        )
        if body:
            given['Content-Length'] = str(len(body))
        lines = [f'{method} {path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in given.items())
        head = '\r\n'.join(lines)
        self.sock.sendall(f'{head}\r\n\r\n'.encode() + body)

    def send_raw(self, payload: bytes) -> None:
        """Send bytes as they are."""
        self.sock.sendall(payload)

    def answer(self) -> tuple[int, dict[str, str], bytes]:
        """Read a whole answer; one that is cut off raises."""
        status, headers = self.head()
        if headers.get('transfer-encoding') == 'chunked':
            return status, headers, b''.join(self.chunks())
        length = int(headers['content-length'])
        body = self.source.read(length)
        assert len(body) == length, 'cut off'
        return status, headers, body

    def head(self) -> tuple[int, dict[str, str]]:
        """Read the head of an answer."""
        line = self.source.readline().decode()
        assert line, 'closed without an answer'
        headers: dict[str, str] = {}
        while True:
            header = self.source.readline().decode().strip()
            if not header:
                return int(line.split()[1]), headers
            name, _, text = header.partition(':')
            headers[name.lower()] = text.strip()

    def chunks(self):
        """Read the chunks of a body as they come."""
        while True:
            size_line = self.source.readline()
            assert size_line, 'cut off'
            size = int(size_line, 16)
            chunk = self.source.read(size)
            assert len(chunk) == size, 'cut off'
            self.source.readline()
            if not size:
                return
            yield chunk

    def is_closed(self) -> bool:
        """Tell whether the node has closed the connection."""
        return self.source.read(1) == b''

    def close(self) -> None:
        """Leave."""
        self.source.close()
        self.sock.close()


def ask(world: World, method: str, path: str, request_id: str, **given: Any):
    """Send one request on a connection of its own; give the answer."""
    client = Client(world)
    client.send(method, path, request_id, **given)
    answer = client.answer()
    client.close()
    return answer
