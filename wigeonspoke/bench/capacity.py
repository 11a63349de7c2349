"""Slopes of a node's costs, measured at several sizes.

Each slope is the difference of two measurements over the difference of
their sizes, so that what every process pays anyway drops out.
"""

import random
import time
import tracemalloc
from collections.abc import Callable, Iterable
from functools import partial
from itertools import starmap

import msgspec

from wigeonspoke.core import events
from wigeonspoke.core.deployment import (
    Account,
    Configuration,
    Engine,
    LayerRange,
    Model,
)
from wigeonspoke.core.membership import EndpointLoad, PeerReport
from wigeonspoke.core.router import Router
from wigeonspoke.core.routes import planner
from wigeonspoke.observe import HybridClock, Timeline
from wigeonspoke.standins.model import FIRST_LETTER

LAYERS = 80
STAGES = 4
MODELS = 30
REPLICAS = (34, 91, 273)
ACCOUNTS = (500, 2000, 8000)
SESSIONS = (250, 1000, 2000)
PEERS = (6, 44, 100, 400)
MANY = 10_000
LONG_SECONDS = 600.0
STEP_SECONDS = 0.008
BATCH = 32
CHOICES = 2000
TICKS = 200
EVENTS = 20000
EVENT_COUNTS = (1, 1000, EVENTS)
RING_SIZES = (500, 1000, 2000)
MICROSECONDS = 1_000_000
PROMPT = tuple(range(FIRST_LETTER, FIRST_LETTER + 9))


class Reading(msgspec.Struct, frozen=True):
    """One cost at one size."""

    size: int
    cost: float


class Slope(msgspec.Struct, frozen=True):
    """A cost at several sizes: of what, for each what, in which unit."""

    name: str
    unit: str
    for_each: str
    readings: tuple[Reading, ...]

    @property
    def per_item(self) -> float:
        """Give the cost of one more item, over the whole span of sizes."""
        first, last = self.readings[0], self.readings[-1]
        return (last.cost - first.cost) / (last.size - first.size)


def make_configuration(
    replicas: int,
    accounts: int = 10,
    models: int = MODELS,
) -> Configuration:
    """Make the configuration of one failure domain of a given size."""
    return Configuration(
        generation=1,
        deployment='capacity',
        region='r',
        failure_domains=('a',),
        models=tuple(
            Model(f'model-{number}', LAYERS, MANY, LONG_SECONDS, LONG_SECONDS)
            for number in range(models)
        ),
        engines=tuple(_engines(replicas, models)),
        services=(),
        replicas=(),
        accounts=tuple(
            Account(f'account-{number}', 1.0, MANY, f'{number:064x}')
            for number in range(accounts)
        ),
        links=(),
    )


def measure_all() -> tuple[Slope, ...]:
    """Measure every slope."""
    return tuple(starmap(_slope, MEASURES))


def _slope(
    name: str,
    unit: str,
    for_each: str,
    measure: Callable[[int], float],
    sizes: tuple[int, ...] = REPLICAS,
) -> Slope:
    readings = tuple(Reading(size, measure(size)) for size in sizes)
    return Slope(name, unit, for_each, readings)


def _engines(replicas: int, models: int) -> Iterable[Engine]:
    width = LAYERS // STAGES
    for replica in range(replicas):
        for stage in range(STAGES):
            first = stage * width
            yield Engine(
                name=f'engine-{replica}-{stage}',
                address=f'10.0.{replica}.{stage}:8000',
                failure_domain='a',
                model=f'model-{replica % models}',
                layers=LayerRange(first, first + width),
                accelerator='wide',
                step_seconds=STEP_SECONDS,
                max_batch=BATCH,
                max_streams=BATCH * STAGES * 2,
                checks_fencing=False,
            )


def _router(replicas: int, accounts: int = 10, models: int = MODELS) -> Router:
    router = Router('n1', 'a', random.Random(1))
    configuration = make_configuration(replicas, accounts, models)
    router.handle(events.ConfigurationAdopted(configuration), 0)
    return router


def _microseconds(count: int, work: Callable[[], object]) -> float:
    """Give the time of one call, as the least of three rounds."""
    rounds: list[float] = []
    for _ in range(3):
        start = time.perf_counter()
        for _ in range(count):
            work()
        rounds.append(time.perf_counter() - start)
    return min(rounds) / count * MICROSECONDS


def _kilobytes(build: Callable[[], object]) -> float:
    tracemalloc.start()
    kept = [build()]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return size / 1024


def _choice(replicas: int, models: int) -> float:
    router = _router(replicas, models=models)
    model = router.view.models['model-0']
    return _microseconds(
        CHOICES,
        lambda: router.view.planner.choose_route(model, 0),
    )


def _one_model(replicas: int) -> float:
    return _choice(replicas, 1)


def _thirty_models(replicas: int) -> float:
    return _choice(replicas, MODELS)


def _full_scan(replicas: int) -> float:
    sampled = planner.SAMPLE_SIZE
    planner.SAMPLE_SIZE = replicas
    try:
        return _choice(replicas, 1)
    finally:
        planner.SAMPLE_SIZE = sampled


def _idle_tick(replicas: int) -> float:
    router = _router(replicas)
    return _microseconds(
        TICKS,
        lambda: router.handle(events.TimerFired(), 0),
    )


def _with_sessions(sessions: int) -> Router:
    router = _router(REPLICAS[-1], models=1)
    for number in range(sessions):
        _open(router, number)
    return router


def _open(router: Router, number: int) -> events.StepReplied:
    request = events.GenerationRequested(
        f'r{number}',
        'account-0',
        'model-0',
        PROMPT,
        1000,
    )
    step = router.handle(request, 0)[0]
    return events.StepReplied(step.key, step.endpoint, step.inputs, None)


def _busy_tick(sessions: int) -> float:
    router = _with_sessions(sessions)
    return _microseconds(
        TICKS,
        lambda: router.handle(events.TimerFired(), 0),
    )


def _step(sessions: int) -> float:
    """Take sessions through their stages and give the time of a step."""
    router = _router(REPLICAS[-1], models=1)
    replies = [_open(router, number) for number in range(sessions)]
    rounds = max(4, EVENTS // sessions)
    start = time.perf_counter()
    for _ in range(rounds):
        replies = [_answer(router, reply) for reply in replies]
    spent = time.perf_counter() - start
    return spent / (rounds * sessions) * MICROSECONDS


def _answer(
    router: Router,
    reply: events.StepReplied,
) -> events.StepReplied:
    step = router.handle(reply, 0)[-1]
    token = FIRST_LETTER if step.layers.end == LAYERS else None
    return events.StepReplied(step.key, step.endpoint, step.inputs, token)


def _endpoint_memory(replicas: int) -> float:
    return _kilobytes(lambda: _router(replicas))


def _accounts(accounts: int) -> float:
    return _kilobytes(lambda: _router(1, accounts, 1))


def _session_kb(sessions: int) -> float:
    return _kilobytes(lambda: _with_sessions(sessions))


def _peer_memory(nodes: int) -> float:
    return _kilobytes(lambda: _with_peers(nodes))


def _with_peers(nodes: int) -> Router:
    router = _router(1, models=1)
    for number in range(nodes):
        loads = tuple(
            EndpointLoad(STAGES * number + stage, 1) for stage in range(STAGES)
        )
        report = PeerReport(f'node-{number}', 'b', 'x', 1, 1, loads)
        router.view.peers.update(report, 0)
    return router


def _body_size(replicas: int) -> float:
    return len(msgspec.json.encode(make_configuration(replicas))) / 1024


def _adoption(replicas: int) -> float:
    body = msgspec.json.encode(make_configuration(replicas))
    return _microseconds(3, partial(_adopt, body))


def _adopt(body: bytes) -> None:
    found = msgspec.json.decode(body, type=Configuration)
    router = Router('n1', 'a', random.Random(1))
    router.handle(events.ConfigurationAdopted(found), 0)


def _loaded_router(replicas: int) -> Router:
    router = _router(replicas)
    for state in router.view.registry.endpoints.values():
        state.streams = 100
    return router


def _report_size(replicas: int) -> float:
    return len(msgspec.json.encode(_loaded_router(replicas).report('x'))) / 1024


def _exchange(replicas: int) -> float:
    return _microseconds(10, partial(_hear_itself, _loaded_router(replicas)))


def _hear_itself(router: Router) -> None:
    body = msgspec.json.encode(router.report('x'))
    report = msgspec.json.decode(body, type=PeerReport)
    router.handle(events.PeerReported(report), 0)


def _fill_timeline(count: int) -> Timeline:
    timeline = Timeline('n1', 'a', HybridClock(time.time))
    for number in range(count):
        timeline.add('kind', f'peer-{number}', f'request-{number}')
    return timeline


def _timeline(count: int) -> float:
    start = time.perf_counter()
    _fill_timeline(count)
    return (time.perf_counter() - start) * MICROSECONDS


def _ring_memory(count: int) -> float:
    return _kilobytes(lambda: _fill_timeline(count))


MEASURES = (
    ('route choice, one model', 'µs', 'replica', _one_model),
    ('route choice, 30 models', 'µs', 'replica', _thirty_models),
    ('route choice, full scan', 'µs', 'replica', _full_scan),
    ('idle tick', 'µs', 'replica', _idle_tick),
    ('tick with sessions', 'µs', 'session', _busy_tick, SESSIONS),
    ('step of a session', 'µs', 'session', _step, SESSIONS),
    ('memory of endpoints', 'KB', 'replica', _endpoint_memory),
    ('memory of accounts', 'KB', 'account', _accounts, ACCOUNTS),
    ('memory of sessions', 'KB', 'session', _session_kb, SESSIONS),
    ('memory of peers', 'KB', 'node', _peer_memory, PEERS),
    ('configuration body', 'KB', 'replica', _body_size),
    ('adopting a configuration', 'µs', 'replica', _adoption),
    ('load report', 'KB', 'replica', _report_size),
    ('exchange of a load report', 'µs', 'replica', _exchange),
    ('time line event', 'µs', 'event', _timeline, EVENT_COUNTS),
    ('memory of the time line', 'KB', 'event', _ring_memory, RING_SIZES),
)
