"""Crowds of clients that break the limits, against one node process.

A node of less memory and fewer descriptors than an entry host makes a small
crowd enough.  The tests check that the process lives, that its memory and its
descriptors stay within those of the host, and that an ordinary request is
answered beside the crowd and after it.
"""

import signal

import eventlet
import pytest

from wigeonspoke.ingress.relay.relay_head import (
    RELAY_HEADER,
    RELAY_PATH,
    RelayHead,
    encode_head,
)
from wigeonspoke.platform.tests.crowd import Crowd, Shape, request_head
from wigeonspoke.platform.tests.harness import (
    API_KEY,
    HOST,
    make_configuration,
)
from wigeonspoke.platform.tests.node_process import NodeProcess
from wigeonspoke.transport import HttpClient

pytestmark = pytest.mark.alone

# The host of the node under test.
MEMORY_MB = 120
MAX_DESCRIPTORS = 400
# The largest body that the configuration allows, as the users' is.
BODY_BYTES = 4194304
# Clients with large bodies, which together hold more than the host has.
LARGE_CROWD = 40
# More clients than the host has descriptors.
NUMEROUS_CROWD = 450
# Clients with more chunks than a node reads while a caller waits.
TINY_CROWD = 800
# More clients than the listeners for the platform and for peers take.
READY_CROWD = 60
PEERS_CROWD = 300
CROWD_SECONDS = 6.0
ROUTE_MILLISECONDS = 30000
REQUEST_SECONDS = 10.0
# The time that a stop may take.
GRACE_SECONDS = 8.0
# The largest ordinary request of the users.
ORDINARY_BODY = b'x' * 4096

CHUNKED = b'Transfer-Encoding: chunked\r\n'
BLOCK = b'x' * 65536
CHUNK = b'10000\r\n' + BLOCK + b'\r\n'
# A body that fits in the limit, less its last bytes.
BLOCKS = BODY_BYTES // len(BLOCK) - 1
ALMOST_WHOLE = b'Content-Length: %d\r\n' % BODY_BYTES
WHOLE = b'Content-Length: %d\r\n' % (BLOCKS * len(BLOCK))
STREAM = b'Model: m\r\nToken-Usage: 100,100\r\n'
TINY_CHUNKS = b'1\r\na\r\n' * 1000
FIVE_BYTE_CHUNKS = b'5\r\nabcde\r\n' * 8000
PIPELINED = (
    f'GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nCredential: {API_KEY}\r\n'
    'Request-Id: p%d\r\n\r\n'
).encode()

UNFINISHED = {
    'one-chunk': Shape(request_head(CHUNKED) + b'400000\r\n', BLOCK, BLOCKS),
    'chunks': Shape(request_head(CHUNKED), CHUNK, BLOCKS),
    'length': Shape(request_head(ALMOST_WHOLE), BLOCK, BLOCKS),
    'no-route': Shape(request_head(ALMOST_WHOLE, b'/none/x'), BLOCK, BLOCKS),
    'no-key': Shape(request_head(ALMOST_WHOLE, key='nobody'), BLOCK, BLOCKS),
    'past-the-limit': Shape(request_head(CHUNKED), CHUNK),
}
WHOLE_BODIES = {
    'call': Shape(request_head(WHOLE), BLOCK, BLOCKS),
    'stream': Shape(request_head(WHOLE + STREAM, b'/draft/x'), BLOCK, BLOCKS),
}
NUMEROUS = {
    'silent': Shape(b''),
    'head': Shape(request_head(b'')[:-2], b'X-A: ' + b'y' * 120 + b'\r\n', 100),
    'body': Shape(request_head(ALMOST_WHOLE), b'x', 1),
    'pipelined': Shape(b'', PIPELINED * 200, 1),
}


class CrowdedNode:
    """A node process, and what ordinary clients get from it."""

    def __init__(self, harness, folder, **limits) -> None:
        self.harness = harness
        self.process = NodeProcess(
            folder,
            'n',
            'one',
            harness.store.address,
            memory_mb=limits.get('memory_mb', MEMORY_MB),
            max_fds=limits.get('max_fds', MAX_DESCRIPTORS),
        )
        self.max_descriptors = limits.get('max_fds', MAX_DESCRIPTORS)
        self.crowds: list[Crowd] = []
        harness.wait_until(self.process.is_ready, 20.0)
        harness.wait_until(lambda: self.send_ordinary('start') == 200)

    def crowd(self, shape: Shape, size: int, address: str = '') -> Crowd:
        """Return a crowd at a listener, by default that of the clients."""
        crowd = Crowd(address or self.process.front, shape, size)
        self.crowds.append(crowd)
        return crowd

    def send_ordinary(self, request_id: str, body: bytes = ORDINARY_BODY):
        """Send a request inside the limits; return the status, 0 if none."""
        reply = HttpClient().send(
            self.process.front,
            'POST',
            '/read/x',
            body,
            timeout=REQUEST_SECONDS,
            headers={
                'Host': HOST,
                'Credential': API_KEY,
                'Request-Id': request_id,
                'Deadline-Ms': '9000',
            },
            fresh_connection=True,
        )
        return reply.map(lambda found: found.status).value_or(0)

    def check(self) -> None:
        """Check the process, and what it holds."""
        assert not self.process.has_ended()
        assert self.process.peak_mb < MEMORY_MB
        assert self.process.descriptors < self.max_descriptors

    def close(self) -> None:
        """End the clients and the process."""
        for crowd in self.crowds:
            crowd.leave()
        self.process.close()


def _configure(harness) -> None:
    configuration = make_configuration(version=2)
    for route in configuration['routes']:
        route['timeout-ms'] = ROUTE_MILLISECONDS
    configuration['limits'] = {
        'max-header-bytes': 16384,
        'max-body-bytes': BODY_BYTES,
        'header-timeout-ms': 10000,
        'idle-timeout-ms': 15000,
    }
    harness.configure(configuration)


def _answer_large(replica) -> None:
    """Answer requests for one path with a body of the full size."""
    sound = replica.server.handle

    def handle(request, connection):
        if not request.target.startswith('/read/large'):
            sound(request, connection)
            return
        headers = {
            'Request-Id': request.headers['request-id'],
            'Response-Signature': 's1.2',
        }
        connection.respond(200, headers, b'x' * BODY_BYTES)

    replica.server.handle = handle


def _play(node: CrowdedNode, crowd: Crowd) -> None:
    """Let a crowd send, with an ordinary request beside it and after it."""
    crowd.run(CROWD_SECONDS)
    node.check()
    beside = eventlet.spawn(node.send_ordinary, 'beside')
    crowd.run_beside(beside)
    node.check()
    crowd.leave()
    assert node.send_ordinary('after') == 200
    assert beside.wait() == 200
    node.check()


@pytest.fixture
def node(placed_harness, tmp_path):
    """Yield a node of a small host, before placed engines and replicas."""
    _configure(placed_harness)
    started = CrowdedNode(placed_harness, tmp_path)
    yield started
    started.close()


@pytest.fixture
def wide_node(placed_harness, tmp_path):
    """Yield a node whose host has many descriptors."""
    _configure(placed_harness)
    started = CrowdedNode(placed_harness, tmp_path, max_fds=4200)
    yield started
    started.close()


# Bodies that were being read took the memory of the host.
@pytest.mark.parametrize('shape', UNFINISHED)
def test_bodies_that_are_not_ended(node, shape):
    _play(node, node.crowd(UNFINISHED[shape], LARGE_CROWD))


# Bodies that were held while their requests ran took the memory, twice.
@pytest.mark.parametrize('shape', WHOLE_BODIES)
def test_whole_bodies_of_many_clients(node, shape):
    for replica in node.harness.replicas:
        replica.run_seconds = 1.0
    _play(node, node.crowd(WHOLE_BODIES[shape], LARGE_CROWD))


# The same bodies at the listener for peers, for a path that it does not serve.
def test_large_bodies_at_the_listener_for_peers(node):
    shape = UNFINISHED['no-route']
    _play(node, node.crowd(shape, LARGE_CROWD, node.process.control))


# Bodies that peers hand over for their clients stand in two nodes.
@pytest.mark.parametrize('is_whole', [False, True])
def test_large_bodies_of_relayed_requests(node, is_whole):
    for replica in node.harness.replicas:
        replica.run_seconds = 1.0
    head = RelayHead(
        node='node-1',
        request_id='c%d',
        method='POST',
        target='/read/x',
        host=HOST,
        path='/read/x',
        headers=(('Host', HOST), ('Request-Id', 'c%d')),
        account='acme',
        kind='safe',
        service='ledger',
        remaining_seconds=20.0,
        execution_limit=2,
    )
    framing = f'{RELAY_HEADER}: {encode_head(head)}\r\n'.encode()
    framing += WHOLE if is_whole else ALMOST_WHOLE
    first = request_head(framing, RELAY_PATH.encode())
    crowd = node.crowd(
        Shape(first, BLOCK, BLOCKS), LARGE_CROWD, node.process.control
    )
    _play(node, crowd)


# What a crowd held is free after its connections were reset.
def test_crowds_that_reset_their_connections(node):
    for _ in range(4):
        crowd = node.crowd(UNFINISHED['chunks'], LARGE_CROWD)
        crowd.run(1.0)
        crowd.reset()
    assert node.send_ordinary('after') == 200
    node.check()


# A node that parsed small chunks answered nobody meanwhile.
def test_small_chunks_of_clients_that_stay(node):
    shape = Shape(request_head(CHUNKED), FIVE_BYTE_CHUNKS, 50)
    _play(node, node.crowd(shape, LARGE_CROWD))


# It went on with the chunks of clients that had left.
def test_small_chunks_of_clients_that_have_left(wide_node):
    shape = Shape(request_head(CHUNKED), TINY_CHUNKS, 10)
    crowd = wide_node.crowd(shape, TINY_CROWD)
    crowd.run(CROWD_SECONDS)
    crowd.leave()
    assert wide_node.send_ordinary('after') == 200
    wide_node.check()


# Clients that only held their connections took all descriptors and places.
@pytest.mark.parametrize('shape', NUMEROUS)
def test_more_clients_than_descriptors(node, shape):
    _play(node, node.crowd(NUMEROUS[shape], NUMEROUS_CROWD))


# The platform's question whether the node is ready got no answer, so that the
# node would have been taken out of service.
@pytest.mark.parametrize('shape', ['silent', 'body'])
def test_a_crowd_at_the_listener_for_readiness(node, shape):
    crowd = node.crowd(NUMEROUS[shape], READY_CROWD, node.process.ready)
    crowd.run(CROWD_SECONDS)
    assert node.process.is_ready()
    node.check()


# The requests of peers got no answer.
def test_a_crowd_at_the_listener_for_peers(node):
    crowd = node.crowd(NUMEROUS['silent'], PEERS_CROWD, node.process.control)
    crowd.run(CROWD_SECONDS)
    reply = HttpClient().get(node.process.control, '/peers/v1/tables/servers')
    assert reply.map(lambda found: found.status).value_or(0) == 200
    node.check()


# The refusal of a client that is still sending must reach it.
@pytest.mark.parametrize('shape', ['past-the-limit', 'no-route', 'no-key'])
def test_refusals_reach_clients_that_still_send(node, shape):
    crowd = node.crowd(UNFINISHED[shape], LARGE_CROWD)
    crowd.run(CROWD_SECONDS)
    assert crowd.statuses <= {b'413', b'404', b'401', b'503', b'408'}
    assert all(member.answer for member in crowd.members)
    node.check()


# Clients that ask for large answers and do not read them take the memory for
# answers, beside which small ones have room.
@pytest.mark.parametrize('size', [LARGE_CROWD, NUMEROUS_CROWD])
def test_readers_that_stop(node, size):
    for replica in node.harness.replicas:
        _answer_large(replica)
    shape = Shape(
        request_head(b'Content-Length: 0\r\n', b'/read/large'), reads=False
    )
    _play(node, node.crowd(shape, size))


# A stop must end in its time beside a crowd.
@pytest.mark.parametrize('shape', ['chunks', 'length'])
def test_a_planned_stop_beside_a_crowd(node, shape):
    crowd = node.crowd(UNFINISHED[shape], LARGE_CROWD)
    crowd.run(1.0)
    node.process.send_signals(signal.SIGTERM)
    stopped = eventlet.spawn(
        node.harness.wait_until, node.process.has_ended, GRACE_SECONDS
    )
    crowd.run_beside(stopped)
    stopped.wait()
    assert not node.process.process.returncode


# A body of the full size is no fault, also on a slow link and just after a
# crowd has left.
@pytest.mark.parametrize('framing', ['length', 'chunks'])
@pytest.mark.parametrize('pause', [0, 0.05])
def test_one_body_of_the_full_size_is_served(node, framing, pause):
    crowd = node.crowd(UNFINISHED['chunks'], LARGE_CROWD)
    crowd.run(1.0)
    crowd.leave()
    body = BLOCK * (BODY_BYTES // len(BLOCK))
    first = {
        'length': request_head(b'Content-Length: %d\r\n' % len(body)),
        'chunks': request_head(CHUNKED),
    }
    shape = {
        'length': Shape(first['length'], BLOCK, len(body) // len(BLOCK)),
        'chunks': Shape(first['chunks'], CHUNK, len(body) // len(BLOCK)),
    }[framing]
    honest = node.crowd(shape, 1)
    member = honest.members[0]
    while member.left > 0 or member.pending:
        member.step()
        eventlet.sleep(pause)
    if framing == 'chunks':
        member.pending = memoryview(b'0\r\n\r\n')
    honest.run(CROWD_SECONDS)
    assert honest.statuses == {b'200'}
    node.check()
