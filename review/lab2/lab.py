"""Stand-ins and helpers of the scripts of the second review.

Everything runs in one asyncio loop, on loopback addresses and the real clock:
the platform's store, replicas of a service, and clients.  The nodes are
processes of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
SITE = 'shop.example'
KEY = 'key-of-acme'
TENANT = 'acme'
HEARTBEAT_SECONDS = 1.2
# A node that has started serves within this time.
START_SECONDS = 30.0

SETTINGS = """
node = "{name}"
role = "ingress"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{host}"
zone = "{zone}"
region = "r"
internal-ports = [{internal},{metrics}]
seeds = [{seeds}]
bootstrap = true
in-tolerance = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
one = "r"
two = "r"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
lost-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
outer-ms = 5000
strict-revocation = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-extra = 196
recover-s = 12
pass-ms = 120
again-s = 0
stall_ms = 2000
enforce-fencing = true
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 8.0
part-writes-per-s = 150
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-per-s = 80.0
"""


# The exit status of a script that broke the rule; `run.sh` makes it 1, and any
# other failure 2.
BROKEN_STATUS = 10


# Ports that were given out: their processes may not listen yet.
GIVEN_PORTS: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that nobody uses now."""
    socks = []
    ports: list[int] = []
    while len(ports) < count:
        sock = socket.socket()
        sock.bind((HOST, 0))
        socks.append(sock)
        port = sock.getsockname()[1]
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            ports.append(port)
    for sock in socks:
        sock.close()
    return ports


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self.file = (folder / 'record.txt').open('w')

    def write(self, *parts: object) -> None:
        """Write one line."""
        at = time.monotonic() - self.started_at
        print(f'{at:8.3f}', *parts, file=self.file, flush=True)

    def say(self, *parts: object) -> None:
        """Write one line, and print it."""
        self.write(*parts)
        print(*parts, flush=True)


def make_route(prefix: str, service: str, kind: str, **options: object) -> dict:
    """Return a route as the operator writes it."""
    return {
        'name': prefix.strip('/'),
        'host': SITE,
        'path-prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout-ms': 2500,
        'target-latency-ms': 150,
        'max-attempts': 2,
        'priority': 2,
        **{name.replace('_', '-'): value for name, value in options.items()},
    }


def make_configuration(version: int = 1, **options: object) -> dict:
    """Return a configuration: two routes of one service, and a tenant."""
    return {
        'version': version,
        'routes': [
            make_route('/status/', 'filing', 'safe'),
            make_route('/submit/', 'filing', 'unsafe', max_attempts=1),
        ],
        'services': [
            {'name': 'filing', 'health-path': '/healthz',
             'max-connections': 96},
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 10000,
            'idle-timeout-ms': 30000,
        },
        'tenants': [{'name': TENANT, 'api-keys': [KEY]}],
        **options,
    }


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict] | None:
    """Read a first line and headers, None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError('the head ends early') from error
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Read a body with a length or in chunks, or up to the end."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                await reader.readuntil(b'\r\n')
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return b''


class Server:
    """An HTTP server of a stand-in; ``handle`` answers each request."""

    def __init__(self) -> None:
        self.address = ''
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, HOST, port, backlog=1024, limit=1 << 20
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def handle(self, method, target, headers, body, writer) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                found = await read_head(reader)
                if found is None:
                    break
                method, target, _ = found[0].split(' ', 2)
                body = b''
                if method != 'GET' or 'content-length' in found[1]:
                    body = await read_body(reader, found[1])
                if not await self.handle(
                    method, target, found[1], body, writer
                ):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()


def encode_answer(status: int, headers: dict, body: bytes) -> bytes:
    """Return a complete answer."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Store(Server):
    """The platform's metadata store, with one table of rows.

    ``refuses`` returns whether a call is turned away with 503.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str], dict] = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.is_down = False

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row, as the operator or a replica does."""
        self.put_bytes(table, key, json.dumps(content).encode())

    def put_bytes(self, table: str, key: str, content: bytes) -> None:
        """Write a row of any bytes."""
        self._set(table, key, base64.b64encode(content).decode(), False)
        self._tell()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._set(table, key, '', True)
        self._tell()

    def _set(self, table: str, key: str, value: str, gone: bool) -> None:
        self.version += 1
        self.rows[table, key] = {
            'table': table, 'part': '', 'key': key, 'value': value,
            'ver': self.version, 'tombstone': gone,
        }

    def _tell(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _of_table(self, table: str) -> list[dict]:
        return [row for row in self.rows.values() if row['table'] == table]

    async def handle(self, method, target, headers, body, writer) -> bool:
        if self.is_down:
            writer.write(encode_answer(503, {}, b'{}'))
            return True
        path, _, query = target.partition('?')
        found = {}
        for pair in query.split('&'):
            name, _, text = pair.partition('=')
            found[name] = text.replace('%00', '\0')
        rows: list[dict] = []
        status = 200
        if path == '/v1/rows-get':
            rows = sorted(
                (row for row in self._of_table(found['table'])
                 if not row['tombstone'] and row['key'] >= found.get('from', '')),
                key=lambda row: row['key'],
            )
        elif path == '/v1/rows-feed':
            until = time.monotonic() + int(found['wait-ms']) / 1000
            after = int(found['after'])
            while True:
                rows = sorted(
                    (row for row in self._of_table(found['table'])
                     if row['ver'] > after),
                    key=lambda row: row['ver'],
                )
                remaining = until - time.monotonic()
                if rows or remaining <= 0:
                    break
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), remaining)
                except TimeoutError:
                    pass
        elif path == '/v1/rows-tx':
            await asyncio.sleep(0.008)
            status, rows = self._write(json.loads(body))
        else:
            status = 404
        answer = {
            'rows': rows, 'truncated': False, 'ver': self.version,
            'now-ms': time.monotonic() * 1000,
        }
        content = json.dumps(answer).encode()
        writer.write(
            encode_answer(status, {'Content-Type': 'application/json',
                                   'Store-Era': '1'}, content)
        )
        return True

    def _write(self, call: dict) -> tuple[int, list[dict]]:
        for wanted in call['precondition']:
            row = self.rows.get((wanted['table'], wanted['key']))
            version = row['ver'] if row and not row['tombstone'] else 0
            if version != wanted['ver']:
                return 412, [row] if row else []
        for put in call['puts']:
            self._set(put['table'], put['key'], put['value'], False)
        for gone in call['remove']:
            self._set(gone['table'], gone['key'], '', True)
        self._tell()
        return 200, []


class Replica(Server):
    """A replica of a plain service; it runs each request for some time.

    ``runs`` lists the ids of the requests that it began to run.
    """

    def __init__(self, replica_id: str, zone: str, record: Record,
                 work_seconds: float = 0.03, slots: int = 6) -> None:
        super().__init__()
        self.replica_id = replica_id
        self.zone = zone
        self.record = record
        self.work_seconds = work_seconds
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.runs: list[str] = []
        self.busy = 0

    def entry(self, state: str = 'ready') -> dict:
        """Return the entry of this replica in the store."""
        return {
            'service': 'filing', 'address': self.address, 'zone': self.zone,
            'version': 'v1', 'slots': self.slots, 'state': state,
            'cold-remaining-ms': 0, 'sequence': 1, 'born': self.born,
        }

    async def handle(self, method, target, headers, body, writer) -> bool:
        if target == '/healthz':
            writer.write(
                encode_answer(200, {'Instance-Id': self.replica_id}, b'')
            )
            return True
        request_id = headers.get('request-id', '')
        echo = {'Request-Id': request_id}
        if headers.get('expect-instance', self.replica_id) != self.replica_id:
            writer.write(encode_answer(421, echo, b''))
            return True
        return await self.run(request_id, method, target, headers, body, writer)

    async def run(
        self, request_id, method, target, headers, body, writer
    ) -> bool:
        """Run one request, and answer it."""
        echo = {'Request-Id': request_id}
        deadline = time.monotonic() + int(headers.get('deadline-ms', 0)) / 1000
        while self.busy >= self.slots:
            if time.monotonic() > deadline:
                writer.write(
                    encode_answer(503, {**echo, 'Not-Executed': '1'}, b'')
                )
                return True
            await asyncio.sleep(0.002)
        self.busy += 1
        try:
            self.runs.append(request_id)
            self.record.write('run', self.replica_id, request_id, method,
                              target, f'{len(body)} bytes')
            await asyncio.sleep(self.work_seconds)
        finally:
            self.busy -= 1
        answer = {**echo, 'Response-Signature': f's.{self.replica_id}'}
        writer.write(
            encode_answer(200, answer, f'answer to {request_id}'.encode())
        )
        return True


class Node:
    """A node as a process, started with the command of the deploy file."""

    def __init__(self, folder: pathlib.Path, name: str, zone: str, store: str,
                 seeds: tuple[str, ...] = ()) -> None:
        self.name = name
        self.zone = zone
        ports = free_ports(5)
        names = ('front', 'ready', 'control', 'internal', 'metrics')
        self.ports = dict(zip(names, ports, strict=True))
        self.front = ports[0]
        self.ready = ports[1]
        self.control = f'{HOST}:{ports[2]}'
        self.settings = folder / f'{name}.toml'
        listed = ','.join(f'"{seed}"' for seed in (seeds or (self.control,)))
        self.settings.write_text(
            SETTINGS.format(name=name, zone=zone, host=HOST, store=store,
                            seeds=listed, **self.ports)
        )
        self.log = folder / f'{name}.log'
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['ingress']['run'])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['WIGEONSPOKE_CONFIG'] = str(self.settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=output, stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process.poll() is not None

    async def is_ready(self, seconds: float = 1.0) -> bool:
        """Ask as the platform does; return whether the answer is 200."""
        try:
            status, _, _ = await asyncio.wait_for(
                exchange(self.ready, b'GET /v1/readyz HTTP/1.1\r\n'
                         b'Host: n\r\nConnection: close\r\n\r\n'), seconds)
        except (OSError, TimeoutError, ValueError,
                asyncio.IncompleteReadError):
            return False
        return status == 200

    async def wait_ready(self) -> None:
        """Wait until the node is ready."""
        until = time.monotonic() + START_SECONDS
        while not await self.is_ready():
            if time.monotonic() > until or self.has_ended():
                raise Unplayed(f'{self.name} was not ready in time')
            await asyncio.sleep(0.1)

    def end(self) -> None:
        """End the process at once."""
        if self.process is not None and not self.has_ended():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Lag:
    """How long this script was held up at most, as on a busy machine."""

    def __init__(self) -> None:
        self.most = 0.0
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.1)
            self.most = max(self.most, time.monotonic() - at - 0.1)


async def beat(store: 'Store', replicas: list) -> None:
    """Write the entries of replicas again with each heartbeat, as they do."""
    sequence = 1
    while True:
        for replica in replicas:
            entry = {**replica.entry(), 'sequence': sequence}
            store.put('servers', replica.replica_id, entry)
        sequence += 1
        await asyncio.sleep(HEARTBEAT_SECONDS)


class Unplayed(Exception):
    """The case could not be played."""


async def exchange(port: int, request: bytes) -> tuple[int, dict, bytes]:
    """Send a request on a new connection; return the whole answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(request)
        return await read_answer(reader)
    finally:
        writer.transport.abort()


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict, bytes]:
    """Read one answer."""
    found = await read_head(reader)
    if found is None:
        raise ConnectionError('closed without an answer')
    status = int(found[0].split()[1])
    return status, found[1], await read_body(reader, found[1])


def encode_request(method: str, path: str, request_id: str, body: bytes = b'',
                   deadline_ms: int = 2500, **headers: str) -> bytes:
    """Return a request of a client with a key."""
    lines = [
        f'{method} {path} HTTP/1.1', f'Host: {SITE}',
        f'Request-Id: {request_id}', f'Deadline-Ms: {deadline_ms}',
        f'Credential: {KEY}',
    ]
    lines += [f'{name.replace("_", "-")}: {text}'
              for name, text in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def play(script, file: str) -> int:
    """Run a script; return its exit status.

    ``script`` is a coroutine function with the record, a temporary folder and
    a list for what has to be ended.  It returns whether the rule held.
    """
    folder = pathlib.Path(file).resolve().parent
    record = Record(folder)
    ends: list = []
    # Stand-ins need some descriptors more than usual.
    with tempfile.TemporaryDirectory(prefix='review-') as temporary:
        try:
            held = asyncio.run(
                asyncio.wait_for(
                    script(record, pathlib.Path(temporary), ends), 108
                )
            )
        except Unplayed as reason:
            record.say('not played:', reason)
            return 2
        except Exception as error:
            record.say('not played:', repr(error))
            return 2
        finally:
            for one in ends:
                one.end()
    record.say('the rule held' if held else 'THE RULE WAS BROKEN')
    return 0 if held else BROKEN_STATUS


if __name__ == '__main__':
    sys.exit('not a script')
