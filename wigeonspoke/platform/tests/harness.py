"""A node between clients and test doubles of the platform, on sockets."""

import socket
import time
from typing import Any

import eventlet
import msgspec

from wigeonspoke.ingress import IngressNode, IngressSettings
from wigeonspoke.platform.program import build_node
from wigeonspoke.platform.standins import (
    EngineStandin,
    ReplicaStandin,
    StoreStandin,
)

HOST = 'shop.example'
API_KEY = 'key-of-acme'
ZONES = ('one', 'two')
TIMEOUT_SECONDS = 10.0
REGISTRY_SECONDS = 0.1
OTHER_DOMAIN_LAYERS = ((0, 14), (14, 28), (28, 40))


def make_route(
    prefix: str, service: str, kind: str, **options: Any
) -> dict[str, Any]:
    """Return a route of the configuration, with defaults for its fields."""
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
        **{
            name.replace('_', '-'): setting for name, setting in options.items()
        },
    }


def make_configuration(version: int = 1, **options: Any) -> dict[str, Any]:
    """Return a configuration of a plain service and one with engines."""
    return {
        'version': version,
        'routes': [
            make_route('/read/', 'ledger', 'safe'),
            make_route('/write/', 'ledger', 'unsafe', max_attempts=1),
            make_route(
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
            {'name': 'acme', 'api-keys': [API_KEY]},
            {'name': 'bond', 'api-keys': ['key-of-bond']},
        ],
        **options,
    }


def make_settings(store: str) -> IngressSettings:
    """Return the settings of a node with its own ports, at a store."""
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
        store=store,
        max_sockets=1024,
        stop_seconds=8.0,
        retry_ratio=0.2,
        retry_extra=400.0,
        retry_window_seconds=10.0,
    )


class Harness:
    """A node, two replicas and six engines, with the store.

    The node is in domain ``one``; each of the two domains has one replica and
    three engines.
    """

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.store.put('op', 'config', make_configuration())
        self.replicas = [
            ReplicaStandin(f'r-{zone}', 'ledger', zone) for zone in ZONES
        ]
        self.engines_by_address: dict[str, EngineStandin] = {}
        self.engines = [
            EngineStandin(
                f'e-{zone}-{index}',
                zone,
                self.engines_by_address,
                max_layers=20,
            )
            for zone in ZONES
            for index in range(3)
        ]
        self.publish_endpoints()
        self.node = build_node(make_settings(self.store.address))
        self.node.start()

    def publish_endpoints(self) -> None:
        """Register all replicas and engines."""
        for endpoint in (*self.replicas, *self.engines):
            self.store.put(
                'servers', endpoint.endpoint_id, endpoint.registry_entry()
            )

    def follow_engines(self) -> None:
        """Keep the engines' registry entries as they are; never returns.

        The entry of an engine that has ended stays until it starts again.
        """
        while True:
            for engine in self.engines:
                known = self.store.rows.get(('servers', engine.endpoint_id))
                entry = msgspec.json.encode(engine.registry_entry())
                if engine.is_up and (known is None or known.content != entry):
                    self.store.put_bytes('servers', engine.endpoint_id, entry)
            eventlet.sleep(REGISTRY_SECONDS)

    def follow_replicas(self) -> None:
        """Keep the replicas' registry entries as they are; never returns.

        The entry of a replica that has ended stays until it starts again.
        """
        listed: dict[str, str] = {}
        while True:
            for replica in self.replicas:
                if not replica.is_up:
                    continue
                self._follow_replica(replica, listed.get(replica.address))
                listed[replica.address] = replica.endpoint_id
            eventlet.sleep(REGISTRY_SECONDS)

    def configure(self, configuration: dict[str, Any]) -> None:
        """Publish a configuration, and wait until it is in force."""
        self.store.put('op', 'config', configuration)
        table = self.node.state.routing_table
        self.wait_until(lambda: table.version == configuration['version'])

    def place_layers(self) -> None:
        """Wait until both domains have a complete chain.

        The lease holder places the layers in domain ``one``.  Domain ``two``
        has no node, so the layers of its engines are set here.
        """
        for engine, layers in zip(
            self.engines[3:], OTHER_DOMAIN_LAYERS, strict=True
        ):
            engine.layers = layers
        self.publish_endpoints()
        self.wait_until(lambda: len(self.chains()) == 2)

    def chains(self) -> tuple:
        """Return the chains that the node can use."""
        state = self.node.state
        service = state.routing_table.services.get('drafting')
        if service is None:
            return ()
        return state.chains.chains('drafting', service.engine)

    def wait_until(self, condition, seconds: float = TIMEOUT_SECONDS) -> None:
        """Wait until a condition holds, and fail after ``seconds``."""
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, 'condition not met in time'
            eventlet.sleep(0.01)

    def wait_for_endpoints(self) -> None:
        """Wait until the node knows all eight endpoints."""
        self.wait_until(lambda: len(self.node.state.fleet.endpoints) == 8)

    def close(self) -> None:
        """Stop the node and all test doubles."""
        stop_node(self.node)
        for standin in (self.store, *self.replicas, *self.engines):
            standin.server.close()

    def _follow_replica(
        self, replica: ReplicaStandin, last_id: str | None
    ) -> None:
        endpoint_id = replica.endpoint_id
        if last_id not in {None, endpoint_id}:
            self.store.remove('servers', last_id)
        known = self.store.rows.get(('servers', endpoint_id))
        entry = msgspec.json.encode(replica.registry_entry())
        if known is None or known.content != entry:
            self.store.put_bytes('servers', endpoint_id, entry)


def start_node(harness: Harness, name: str, **overrides: Any) -> IngressNode:
    """Start a further node, whose settings are those of the first but these.

    It has the first node as its seed.
    """
    changes = {'seeds': (harness.node.peers.address,), **overrides}
    settings = msgspec.structs.replace(
        harness.node.state.settings, name=name, **changes
    )
    node = build_node(settings)
    node.start()
    return node


def stop_node(node: IngressNode) -> None:
    """End a node at once, as a kill does."""
    for greenlet in node.greenlets:
        greenlet.kill()
    for listener in (node.front, node.ready, node.metrics, node.peers):
        listener.abort()


class Client:
    """A client connection that sends and reads raw HTTP.

    The connection is to ``node``, or to the first node of the harness.
    """

    def __init__(
        self, harness: Harness, node: IngressNode | None = None
    ) -> None:
        front = (node or harness.node).front
        host, _, port = front.address.rpartition(':')
        self.sock = socket.create_connection((host, int(port)))
        self.sock.settimeout(TIMEOUT_SECONDS)
        self.reader = self.sock.makefile('rb')

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b'',
        **headers: str,
    ) -> None:
        """Send a request with default headers, which ``headers`` override.

        Underscores in the names of ``headers`` stand for hyphens.
        """
        all_headers = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Ms': '3000',
            'Credential': API_KEY,
        }
        all_headers.update(
            {name.replace('_', '-'): value for name, value in headers.items()},
        )
        if body:
            all_headers['Content-Length'] = str(len(body))
        lines = [f'{method} {path} HTTP/1.1']
        lines.extend(f'{name}: {value}' for name, value in all_headers.items())
        head = '\r\n'.join(lines)
        self.sock.sendall(f'{head}\r\n\r\n'.encode() + body)

    def send_raw(self, payload: bytes) -> None:
        """Send bytes unchanged."""
        self.sock.sendall(payload)

    def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Read a complete response; a truncated one fails the test."""
        status, headers = self.read_head()
        if headers.get('transfer-encoding') == 'chunked':
            return status, headers, b''.join(self.read_chunks())
        length = int(headers['content-length'])
        body = self.reader.read(length)
        assert len(body) == length, 'truncated response'
        return status, headers, body

    def read_head(self) -> tuple[int, dict[str, str]]:
        """Read the status and the headers of a response."""
        status_line = self.reader.readline().decode()
        assert status_line, 'connection closed without a response'
        headers: dict[str, str] = {}
        while True:
            header = self.reader.readline().decode().strip()
            if not header:
                return int(status_line.split()[1]), headers
            name, _, value = header.partition(':')
            headers[name.lower()] = value.strip()

    def read_chunks(self):
        """Yield the chunks of a body as they arrive."""
        while True:
            size_line = self.reader.readline()
            assert size_line, 'truncated response'
            size = int(size_line, 16)
            chunk = self.reader.read(size)
            assert len(chunk) == size, 'truncated response'
            self.reader.readline()
            if not size:
                return
            yield chunk

    def is_closed(self) -> bool:
        """Return whether the node has closed the connection.

        Blocks until the node closes it or sends a byte.
        """
        return self.reader.read(1) == b''

    def close(self) -> None:
        """Close the connection."""
        self.reader.close()
        self.sock.close()


def send_request(
    harness: Harness,
    method: str,
    path: str,
    request_id: str,
    node: IngressNode | None = None,
    **options: Any,
):
    """Send a request on a new connection and return the response."""
    client = Client(harness, node)
    client.send(method, path, request_id, **options)
    response = client.read_response()
    client.close()
    return response
