"""Small stand-ins of the platform, and a launcher of the project's programs.

Only the standard library is used.  Everything listens on loopback addresses.
The store keeps rows in memory.  Servers write their entries to it and repeat
them as heartbeats; each one is a transaction and takes the next version.
"""

import base64
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = '127.0.0.1'
SITE_HOST = 'shop.example'
API_KEY = 'key-of-acme'
HEARTBEAT_SECONDS = 1.2
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


def has_trouble():
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def free_port():
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what is sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.output = open(pathlib.Path(folder) / 'record.txt', 'w')

    def note(self, text):
        """Write a line with the seconds since the beginning."""
        with self.lock:
            line = f'{time.monotonic() - self.began:8.3f} {text}'
            self.output.write(line + '\n')
            self.output.flush()
            print(line, flush=True)


class Request:
    """A request as received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        """The id that the client gave the request."""
        return self.headers.get('request-id', '')


class Connection:
    """The connection on which a request has arrived."""

    def __init__(self, sock):
        self.sock = sock

    def write(self, payload):
        """Send bytes as they are."""
        self.sock.sendall(payload)

    def respond(self, status, headers=(), body=b''):
        """Send a complete response with a length."""
        lines = [f'HTTP/1.1 {status} Status']
        lines += [f'{name}: {text}' for name, text in dict(headers).items()]
        lines.append(f'Content-Length: {len(body)}')
        self.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    def reset(self):
        """End the connection with a TCP reset."""
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        self.close()

    def close(self):
        """Close the connection at once, also while a reader refers to it."""
        os.close(self.sock.detach())

    def is_closed_by_peer(self):
        """Return whether the peer has closed the connection."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b''
        except BlockingIOError:
            return False
        except OSError:
            return True


class HttpServer:
    """Serves requests in a thread for each connection."""

    def __init__(self, handle):
        self.handle = handle
        self.sock = socket.create_server((HOST, 0), backlog=256)
        self.port = self.sock.getsockname()[1]
        self.address = f'{HOST}:{self.port}'
        self.is_open = True
        self.connections = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening and end all connections, as the end of a process."""
        self.is_open = False
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for sock in tuple(self.connections):
            with contextlib.suppress(OSError):
                Connection(sock).reset()

    def reopen(self):
        """Listen at the same address again."""
        self.sock = socket.create_server((HOST, self.port), backlog=256)
        self.is_open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        sock = self.sock
        while self.is_open:
            try:
                connection, _ = sock.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, sock):
        reader = sock.makefile('rb')
        with contextlib.suppress(OSError, ValueError):
            while True:
                request = _read_request(reader)
                if request is None:
                    break
                self.handle(request, Connection(sock))
        self.connections.discard(sock)
        with contextlib.suppress(OSError):
            reader.close()
        with contextlib.suppress(OSError):
            sock.close()


def _read_request(reader):
    line = reader.readline().decode('latin-1')
    if not line.strip():
        return None
    method, target, _ = line.split()
    headers = _read_headers(reader)
    body = reader.read(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


def _read_headers(reader):
    headers = {}
    while True:
        line = reader.readline().decode('latin-1')
        if line in {'\r\n', ''}:
            return headers
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()


class Store:
    """The platform's store: rows, conditional writes and a feed."""

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 0
        self.rows = {}
        # Copies of the rows with their time, oldest first.
        self.copies = []
        self.era = 1
        self.is_away = False
        self.server = HttpServer(self._handle)

    def put(self, table, key, content):
        """Write a row as the operator or a server does; return its version."""
        with self.changed:
            while self.is_away:
                self.changed.wait(0.05)
            self._put(table, key, json.dumps(content).encode())
            self.changed.notify_all()
            return self.version

    def _put(self, table, key, content, is_removed=False):
        self.version += 1
        self.rows[table, key] = (self.version, content, is_removed)
        self.copies.append((time.monotonic(), self.version, dict(self.rows)))

    def go_away(self):
        """Refuse and end all connections."""
        with self.changed:
            self.is_away = True
        self.server.close()

    def come_back_from_copy(self, at):
        """Come back with the rows as they were at an earlier time."""
        with self.changed:
            kept = [copy for copy in self.copies if copy[0] <= at]
            if not kept:
                raise CannotRun('no copy is old enough')
            self.copies = kept
            _, self.version, rows = kept[-1]
            self.rows = dict(rows)
            self.era += 1
            self.is_away = False
            self.changed.notify_all()
        self.server.reopen()

    def _handle(self, request, connection):
        parts = urlsplit(request.target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        if parts.path == '/v1/rows-get':
            self._get(query, connection)
        elif parts.path == '/v1/rows-feed':
            self._feed(query, connection)
        elif parts.path == '/v1/rows-tx':
            self._transact(json.loads(request.body), connection)
        else:
            connection.respond(404)

    def _get(self, query, connection):
        with self.changed:
            rows = [
                (key, row)
                for (table, key), row in sorted(self.rows.items())
                if table == query['table'] and not row[2]
                and key >= query.get('from', '')
            ]
            body = self._page(query['table'], rows)
        self._respond(connection, body)

    def _feed(self, query, connection):
        after = int(query['after'])
        until = time.monotonic() + int(query['wait-ms']) / 1000
        with self.changed:
            if after > self.version:
                body = None
            else:
                rows = self._changes(query['table'], after)
                while not rows and not self.is_away:
                    seconds = until - time.monotonic()
                    if seconds <= 0:
                        break
                    self.changed.wait(seconds)
                    rows = self._changes(query['table'], after)
                body = self._page(query['table'], rows)
        if body is None:
            connection.respond(410, {'Store-Era': str(self.era)})
        else:
            self._respond(connection, body)

    def _changes(self, table, after):
        changes = [
            (key, row)
            for (name, key), row in self.rows.items()
            if name == table and row[0] > after
        ]
        return sorted(changes, key=lambda change: change[1][0])

    def _transact(self, transaction, connection):
        with self.changed:
            is_met = all(
                self._version_of(row['table'], row['key']) == row['ver']
                for row in transaction.get('precondition', ())
            )
            if is_met:
                self.version += 1
                for row in transaction.get('puts', ()):
                    content = base64.b64decode(row['value'])
                    self.rows[row['table'], row['key']] = (
                        self.version, content, False,
                    )
                for row in transaction.get('remove', ()):
                    self.rows[row['table'], row['key']] = (
                        self.version, b'', True,
                    )
                self.copies.append(
                    (time.monotonic(), self.version, dict(self.rows))
                )
                self.changed.notify_all()
            body = self._page('', ())
        self._respond(connection, body, 200 if is_met else 412)

    def _version_of(self, table, key):
        version, _, is_removed = self.rows.get((table, key), (0, b'', True))
        return 0 if is_removed else version

    def _page(self, table, rows):
        return json.dumps({
            'rows': [
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'value': base64.b64encode(content).decode(),
                    'ver': version,
                    'tombstone': is_removed,
                }
                for key, (version, content, is_removed) in rows
            ],
            'truncated': False,
            'ver': self.version,
            'now-ms': time.monotonic() * 1000,
        }).encode()

    def _respond(self, connection, body, status=200):
        headers = {
            'Content-Type': 'application/json', 'Store-Era': str(self.era),
        }
        connection.respond(status, headers, body)


class Replica:
    """A replica of a plain service, registered in the store.

    ``serve`` answers a request that is for this replica.
    """

    def __init__(self, store, record, name, service, zone, serve=None):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.serve = serve or self.answer
        self.state = 'ready'
        self.sequence = 0
        self.is_alive = True
        self.born = int(time.time() * 1000)
        self.runs = []
        self.server = HttpServer(self._handle)
        self.beat()
        threading.Thread(target=self._beat_on, daemon=True).start()

    @property
    def address(self):
        """The address at which it listens."""
        return self.server.address

    def beat(self):
        """Write the entry; return the version of the write."""
        self.sequence += 1
        return self.store.put('servers', self.name, {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'cold-remaining-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        })

    def headers(self, request):
        """Return the headers of an answer."""
        return {
            'Request-Id': request.request_id,
            'Response-Signature': f'stamp.{self.name}.{request.request_id}',
        }

    def body(self, request):
        """Return the whole body of the answer to a request."""
        return f'answer of {self.name} to {request.request_id} '.encode() * 60

    def answer(self, request, connection):
        """Run a request and answer it."""
        self.note_run(request)
        time.sleep(0.03)
        connection.respond(200, self.headers(request), self.body(request))

    def note_run(self, request):
        """Note that the replica runs a request."""
        self.runs.append(request.request_id)
        self.record.note(f'{self.name} runs {request.request_id} {request.target}')

    def refuse(self, request, connection, note):
        """Answer that the request has not run."""
        self.record.note(f'{self.name} refuses {request.request_id}: {note}')
        connection.respond(
            503, {'Request-Id': request.request_id, 'Not-Executed': '1'}
        )

    def _beat_on(self):
        while self.is_alive:
            time.sleep(HEARTBEAT_SECONDS)
            # A heartbeat that the store does not take is lost.
            if self.is_alive and not self.store.is_away:
                self.beat()

    def _handle(self, request, connection):
        if request.target == '/healthz':
            status = 200 if self.state == 'ready' else 503
            connection.respond(status, {'Instance-Id': self.name})
        elif request.headers.get('expect-instance', self.name) != self.name:
            self.record.note(f'{self.name} misdirected {request.request_id}')
            connection.respond(421, {'Request-Id': request.request_id})
        else:
            self.serve(request, connection)


class Node:
    """The program of the deploy file as a process of its own."""

    def __init__(self, folder, name, zone, store, zones, seeds=(), **extra):
        self.name = name
        self.front = f'{HOST}:{free_port()}'
        self.ready = f'{HOST}:{free_port()}'
        self.control = extra.pop('control', '') or f'{HOST}:{free_port()}'
        first, last = free_port(), free_port()
        settings = pathlib.Path(folder) / f'{name}.toml'
        listed = ', '.join(f'"{seed}"' for seed in seeds)
        named = '\n'.join(f'{one} = "region"' for one in zones)
        settings.write_text(f'''
node = "{name}"
role = "ingress"
machine-class = "edge"
serves = ["edge", "control_plane"]
ip = "{HOST}"
zone = "{zone}"
region = "region"
internal-ports = [{first}, {last}]
seeds = [{listed}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
[zones]
{named}
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
[limits]
memory-mb = 300
max-fds = 1000
[bounds]
stable-window-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
retry-budget-ratio = 0.2
retry-budget-extra = 196
budget-window-s = 10
pass-ms = 120
enforce-fencing = true
[platform]
address = "{store}"
form = "table"
''')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        kept = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env['WIGEONSPOKE_CONFIG'] = str(settings)
        env['PYTHONPATH'] = 'target/deps'
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self.log = pathlib.Path(folder) / f'{name}.log'
        with self.log.open('w') as output:
            self.process = subprocess.Popen(
                shlex.split(role['run']),
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def is_ready(self):
        """Return whether the node says that it is ready."""
        try:
            return send(self.ready, 'GET', '/v1/readyz', {}, seconds=1)[0] == 200
        except (OSError, ValueError):
            return False

    def wait_ready(self, seconds=20):
        """Wait until the node is ready."""
        until = time.monotonic() + seconds
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f'{self.name} is not ready: {self.tail()}')
            time.sleep(0.1)

    def tail(self):
        """Return the end of the log."""
        return self.log.read_text()[-600:]

    def end(self):
        """End the process at once."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def send(address, method, path, headers, body=b'', seconds=10.0):
    """Send a request on a new connection; return the answer as read.

    The result is (status, headers, body, is_complete); status is None if the
    connection ended without an answer.
    """
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=seconds) as sock:
        lines = [f'{method} {path} HTTP/1.1']
        named = {'Host': SITE_HOST, 'Connection': 'close', **headers}
        if body or method == 'POST':
            named['Content-Length'] = str(len(body))
        lines += [f'{name}: {text}' for name, text in named.items()]
        sock.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        return read_answer(sock.makefile('rb'))


def read_answer(reader):
    """Read an answer with a length or in chunks."""
    line = reader.readline().decode('latin-1')
    if not line:
        return None, {}, b'', False
    status = int(line.split()[1])
    headers = _read_headers(reader)
    if headers.get('transfer-encoding') == 'chunked':
        body, is_complete = _read_chunks(reader)
        return status, headers, body, is_complete
    length = int(headers.get('content-length', 0))
    body = reader.read(length)
    return status, headers, body, len(body) == length


def _read_chunks(reader):
    body = b''
    while True:
        try:
            line = reader.readline()
            size = int(line, 16)
            part = reader.read(size)
            reader.readline()
        except (OSError, ValueError):
            return body, False
        body += part
        if len(part) < size:
            return body, False
        if not size:
            return body, True


def client_headers(request_id, deadline_ms=2500, key=API_KEY, **more):
    """Return the headers of a client's request."""
    named = {
        'Request-Id': request_id,
        'Deadline-Ms': str(deadline_ms),
        'Credential': key,
    }
    return named | {name.replace('_', '-'): text for name, text in more.items()}


def route(prefix, service, kind, **more):
    """Return a route of the configuration."""
    return {
        'name': prefix.strip('/'),
        'host': SITE_HOST,
        'path-prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout-ms': 2500,
        'target-latency-ms': 200,
        'max-attempts': 2,
        'priority': 2,
    } | {name.replace('_', '-'): value for name, value in more.items()}


def configuration(version, routes, services=('filing-app',), keys=(API_KEY,)):
    """Return a configuration with one tenant."""
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {'name': name, 'health-path': '/healthz', 'max-connections': 96}
            for name in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'acme', 'api-keys': list(keys)}],
    }


def run_case(folder, play):
    """Play a case; exit with 1 if the rule broke, 0 if not, 2 if it can't run.

    ``play`` gets the record, a temporary folder and a list of nodes to end, and
    returns whether the rule was broken.
    """
    # A caller that ends the case ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = Record(folder)
    record.note('TROUBLE=1' if has_trouble() else 'TROUBLE=0')
    nodes = []
    status = CANNOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                status = 1 if play(record, temporary, nodes) else 0
            except CannotRun as error:
                record.note(f'cannot run: {error}')
            finally:
                for node in nodes:
                    node.end()
                    keep = os.environ.get('KEEP_LOGS')
                    if keep:
                        text = node.log.read_text()
                        pathlib.Path(keep, node.log.name).write_text(text)
    except Exception as error:
        record.note(f'cannot run: {error!r}')
        status = CANNOT_RUN
    verdict = {0: 'the rule held', 1: 'the rule was broken', 2: 'not run'}
    record.note(f'exit {status}: {verdict[status]}')
    sys.stdout.flush()
    os._exit(status)


class Engine:
    """A replica of a model service that can hold all layers of the model.

    ``serve`` answers a stream; it gets the engine, the request and the
    connection.
    """

    def __init__(self, store, record, name, service, zone, serve):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.serve = serve
        self.layers = None
        self.sequence = 0
        self.fence = 0
        self.is_busy = False
        self.born = int(time.time() * 1000)
        self.server = HttpServer(self._handle)
        self.beat()
        threading.Thread(target=self._beat_on, daemon=True).start()

    def beat(self):
        """Write the entry."""
        self.store.put('servers', self.name, {
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 96,
            'state': 'ready',
            'kind': 'big',
            'cold-remaining-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'layers': self._held(),
        })

    def head(self, request, *lines):
        """Return the head of a stream with further header lines."""
        return '\r\n'.join([
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            *lines,
            f'Request-Id: {request.request_id}',
            f'Response-Signature: stamp.{self.name}.{request.request_id}',
            '',
            '',
        ]).encode()

    def _held(self):
        if self.layers is None:
            return None
        return {'from': self.layers[0], 'to': self.layers[1], 'version': 1}

    def _beat_on(self):
        while True:
            time.sleep(HEARTBEAT_SECONDS)
            if not self.store.is_away:
                self.beat()

    def _handle(self, request, connection):
        if request.target == '/v1/report':
            connection.respond(200, {}, json.dumps({
                'stage': 'both',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'layers': self._held(),
                'busy': self.is_busy,
                'sequence': self.sequence,
                'born': self.born,
                'pace': 1.0,
                'waiting': 0,
                'running': 0,
                'kv-used': 0,
                'kv-total': 100000,
                'handles': 0,
            }).encode())
        elif request.target == '/healthz':
            connection.respond(200, {'Instance-Id': self.name})
        elif request.target == '/v1/order':
            self._order(json.loads(request.body), connection)
        elif request.headers.get('expect-instance') != self.name:
            connection.respond(421, {'Request-Id': request.request_id})
        else:
            self.serve(self, request, connection)

    def _order(self, order, connection):
        if order['fence'] < self.fence:
            connection.respond(412)
        elif order['precondition'] != self.sequence:
            connection.respond(409)
        else:
            self.fence = order['fence']
            self.sequence += 1
            self.is_busy = True
            connection.respond(202)
            threading.Timer(0.2, self._hold, [(order['from'], order['to'])]).start()

    def _hold(self, layers):
        self.layers = layers
        self.is_busy = False
        self.beat()


def model_service(name, layers=40):
    """Return a model service of the configuration, with one kind of card."""
    return {
        'name': name,
        'health-path': '/healthz',
        'max-connections': 968,
        'engine': {
            'layers': layers,
            'layer-mb': 1750.0,
            'kv-token-bytes': 590000,
            'usual': {'prompt': 100, 'answer': 100},
            'models': [{'name': 'm', 'load-s': 0.2}],
            'kinds': [{'name': 'big', 'mb': 90000.0, 'pace': 1.0}],
        },
    }
