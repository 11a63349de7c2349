"""A node on real sockets against a forwarder that decides nothing.

Both run in turn in this process, between the same stand-in engine and the
same callers, so their rates compare whatever the machine does meanwhile.
"""

import http
import time
from statistics import median_low

import msgspec
from eventlet.greenpool import GreenPool
from returns.result import Success
from werkzeug.wrappers import Request, Response

from wigeonspoke.demo.world import World, load_document
from wigeonspoke.load import LoadDriver, LoadPlan, LoadSummary
from wigeonspoke.node import step_batcher
from wigeonspoke.transport import HttpClient, HttpListener
from wigeonspoke.webapp import HttpApp, read_body

CALLERS = 16
SECONDS = 3.0
ROUND_SECONDS = 1.0
ROUNDS = 7
TOKEN_CALLERS = 96
TOKENS = 16
MILLISECONDS = 1000
FAST_STEP_SECONDS = 0.002
QUESTION = '/status/1'
SERVICE_PATH = f'/v1/services/filing{QUESTION}'
SHARED_STEPS = step_batcher.MAX_BATCH_SIZE


class WireRate(msgspec.Struct, frozen=True):
    """Requests a second and processor time for each."""

    requests_per_second: float
    core_milliseconds: float

    def over(self, other: 'WireRate') -> float:
        """Give this rate over another one."""
        ratio = self.requests_per_second / other.requests_per_second
        return round(ratio, 3)


class WireReport(msgspec.Struct, frozen=True):
    """What the comparison found.

    ``over_forwarder`` is the node's rate over the bare forwarder's, the
    median of several rounds in turn; the rates are of that round.
    """

    node: WireRate
    forwarder: WireRate
    over_forwarder: float
    least: float
    greatest: float
    tokens_shared: float
    tokens_alone: float


class BareForwarder(HttpApp):
    """Passes every request on to one address: WSGI in, urllib3 out."""

    __slots__ = ('address', 'client')

    def __init__(self, address: str) -> None:
        super().__init__([('GET', '/<path:path>', self.forward)])
        self.address = address
        self.client = HttpClient()

    def forward(self, request: Request, path: str) -> Response:
        """Pass a request on."""
        read_body(request)
        reply = self.client.get(self.address, f'/{path}')
        if not isinstance(reply, Success):
            return Response(status=http.HTTPStatus.BAD_GATEWAY)
        whole = reply.unwrap()
        return Response(whole.body, whole.status)


def measure_wire() -> WireReport:
    """Compare a node with a bare forwarder, then lanes with and without."""
    rounds = _forwarding_rounds()
    ratios = [node.over(bare) for node, bare in rounds]
    node_rate, bare_rate = rounds[ratios.index(median_low(ratios))]
    return WireReport(
        node=node_rate,
        forwarder=bare_rate,
        over_forwarder=median_low(ratios),
        least=min(ratios),
        greatest=max(ratios),
        tokens_shared=_tokens_per_second(SHARED_STEPS),
        tokens_alone=_tokens_per_second(1),
    )


def _forwarding_rounds() -> list[tuple[WireRate, WireRate]]:
    """Measure node and forwarder in turn, a few times over."""
    world = _start_world()
    for other in world.nodes[1:]:
        other.kill()
    for replica in world.services:
        replica.work_seconds = 0
    forwarder = HttpListener(BareForwarder(world.services[0].address))
    node = world.nodes[0].callers.address
    rounds = [
        (
            _rate(node, SERVICE_PATH, world),
            _rate(forwarder.address, QUESTION, world),
        )
        for _ in range(ROUNDS)
    ]
    forwarder.abort()
    world.close()
    return rounds


def _start_world() -> World:
    document = load_document('consorcio.toml')
    for kind in document['accelerators']:
        kind['step_seconds'] = FAST_STEP_SECONDS
    world = World(document)
    world.start()
    return world


def _rate(address: str, path: str, world: World) -> WireRate:
    client = HttpClient({'Authorization': f'Bearer {world.keys[0]}'})
    counts: list[int] = []
    end = time.monotonic() + ROUND_SECONDS
    spent = time.process_time()
    pool = GreenPool()
    for _ in range(CALLERS):
        pool.spawn(_call_until, end, client, address, path, counts)
    pool.waitall()
    spent = time.process_time() - spent
    total = sum(counts)
    return WireRate(
        round(total / ROUND_SECONDS, 1),
        round(MILLISECONDS * spent / total, 3),
    )


def _call_until(
    end: float,
    client: HttpClient,
    address: str,
    path: str,
    counts: list[int],
) -> None:
    count = 0
    while time.monotonic() < end:
        reply = client.get(address, path)
        count += isinstance(reply, Success) and reply.unwrap().is_ok
    counts.append(count)


def _tokens_per_second(steps_in_a_call: int) -> float:
    """Give the tokens a second with so many steps at most in a call."""
    world = _start_world()
    step_batcher.MAX_BATCH_SIZE = steps_in_a_call
    try:
        summary = _drive(world)
    finally:
        step_batcher.MAX_BATCH_SIZE = SHARED_STEPS
        world.close()
    return round(summary.tokens_per_second, 1)


def _drive(world: World) -> LoadSummary:
    plan = LoadPlan(
        model=world.model['name'],
        layers=world.layers,
        seconds=SECONDS,
        concurrency=TOKEN_CALLERS,
        max_tokens=TOKENS,
    )
    driver = LoadDriver(plan, world.balancer, world.keys)
    driver.run()
    return driver.summary()
