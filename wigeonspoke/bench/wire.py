"""Comparison of a node with a plain HTTP forwarder on real sockets.

Both run alternately in this process, with the same stand-in service and the
same callers, so that other load on the machine affects both in the same way.
"""

import http
import time
from statistics import median_low

import msgspec
from eventlet.greenpool import GreenPool
from returns.result import Success
from werkzeug.wrappers import Request, Response

from wigeonspoke.demo.local_deployment import LocalDeployment, load_document
from wigeonspoke.load import LoadDriver, LoadPlan, LoadSummary
from wigeonspoke.node import step_batcher
from wigeonspoke.transport import HttpClient, HttpListener
from wigeonspoke.webapp import HttpApp, read_body

CALLER_COUNT = 16
TOKEN_RUN_SECONDS = 3.0
ROUND_SECONDS = 1.0
ROUNDS = 7
TOKEN_CALLER_COUNT = 96
MAX_TOKENS = 16
MILLISECONDS_PER_SECOND = 1000
FAST_STEP_SECONDS = 0.002
REQUEST_PATH = '/status/1'
SERVICE_PATH = f'/v1/services/filing{REQUEST_PATH}'
# The limit of steps per HTTP request outside this benchmark.
DEFAULT_MAX_STEPS = step_batcher.MAX_BATCH_SIZE


class RequestRate(msgspec.Struct, frozen=True):
    """Request rate and processor time per request."""

    requests_per_second: float
    core_milliseconds: float

    def ratio_to(self, other: 'RequestRate') -> float:
        """Return the ratio of this request rate to another one."""
        ratio = self.requests_per_second / other.requests_per_second
        return round(ratio, 3)


class WireReport(msgspec.Struct, frozen=True):
    """Results of the comparison.

    ``over_forwarder`` is the median over all rounds of the ratio of the node's
    request rate to the forwarder's; ``node`` and ``forwarder`` are the rates of
    the round with that ratio, ``least`` and ``greatest`` the extreme ratios.
    ``tokens_shared`` and ``tokens_alone`` are tokens per second with several
    steps per HTTP request and with one.
    """

    node: RequestRate
    forwarder: RequestRate
    over_forwarder: float
    least: float
    greatest: float
    tokens_shared: float
    tokens_alone: float


class BareForwarder(HttpApp):
    """Forwards every request to one address, from WSGI to urllib3."""

    __slots__ = ('address', 'client')

    def __init__(self, address: str) -> None:
        super().__init__([('GET', '/<path:path>', self.forward)])
        self.address = address
        self.client = HttpClient()

    def forward(self, request: Request, path: str) -> Response:
        """Forward a request and return the response."""
        read_body(request)
        reply = self.client.get(self.address, f'/{path}')
        if not isinstance(reply, Success):
            return Response(status=http.HTTPStatus.BAD_GATEWAY)
        response = reply.unwrap()
        return Response(response.body, response.status)


def measure_wire() -> WireReport:
    """Compare a node with a forwarder, and steps sent together and singly."""
    rounds = _measure_rounds()
    ratios = [node.ratio_to(bare) for node, bare in rounds]
    node_rate, bare_rate = rounds[ratios.index(median_low(ratios))]
    return WireReport(
        node=node_rate,
        forwarder=bare_rate,
        over_forwarder=median_low(ratios),
        least=min(ratios),
        greatest=max(ratios),
        tokens_shared=_measure_token_rate(DEFAULT_MAX_STEPS),
        tokens_alone=_measure_token_rate(1),
    )


def _measure_rounds() -> list[tuple[RequestRate, RequestRate]]:
    """Measure the node and the forwarder alternately."""
    deployment = _start_deployment()
    for other in deployment.nodes[1:]:
        other.kill()
    for replica in deployment.service_replicas:
        replica.work_seconds = 0
    forwarder = HttpListener(
        BareForwarder(deployment.service_replicas[0].address)
    )
    node = deployment.nodes[0].callers.address
    rounds = [
        (
            _measure_rate(node, SERVICE_PATH, deployment),
            _measure_rate(forwarder.address, REQUEST_PATH, deployment),
        )
        for _ in range(ROUNDS)
    ]
    forwarder.abort()
    deployment.close()
    return rounds


def _start_deployment() -> LocalDeployment:
    document = load_document('consorcio.toml')
    for accelerator in document['accelerators']:
        accelerator['step_seconds'] = FAST_STEP_SECONDS
    deployment = LocalDeployment(document)
    deployment.start()
    return deployment


def _measure_rate(
    address: str, path: str, deployment: LocalDeployment
) -> RequestRate:
    client = HttpClient({'Authorization': f'Bearer {deployment.api_keys[0]}'})
    counts: list[int] = []
    end = time.monotonic() + ROUND_SECONDS
    cpu_seconds = time.process_time()
    pool = GreenPool()
    for _ in range(CALLER_COUNT):
        pool.spawn(_call_until, end, client, address, path, counts)
    pool.waitall()
    cpu_seconds = time.process_time() - cpu_seconds
    total = sum(counts)
    return RequestRate(
        round(total / ROUND_SECONDS, 1),
        round(MILLISECONDS_PER_SECOND * cpu_seconds / total, 3),
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


def _measure_token_rate(max_steps: int) -> float:
    """Return the tokens per second with a limit of steps per HTTP request."""
    deployment = _start_deployment()
    step_batcher.MAX_BATCH_SIZE = max_steps
    try:
        summary = _run_load(deployment)
    finally:
        step_batcher.MAX_BATCH_SIZE = DEFAULT_MAX_STEPS
        deployment.close()
    return round(summary.tokens_per_second, 1)


def _run_load(deployment: LocalDeployment) -> LoadSummary:
    plan = LoadPlan(
        model=deployment.model['name'],
        layers=deployment.layers,
        seconds=TOKEN_RUN_SECONDS,
        concurrency=TOKEN_CALLER_COUNT,
        max_tokens=MAX_TOKENS,
    )
    driver = LoadDriver(plan, deployment.balancer, deployment.api_keys)
    driver.run()
    return driver.summary()
