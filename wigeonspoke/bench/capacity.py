"""Measurement of how the costs of a node grow with its configuration.

Each slope is the difference of two measurements divided by the difference of
their sizes, so that the fixed costs of a process cancel out.
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
REPLICA_COUNTS = (34, 91, 273)
ACCOUNT_COUNTS = (500, 2000, 8000)
SESSION_COUNTS = (250, 1000, 2000)
PEER_COUNTS = (6, 44, 100, 400)
# High enough that no measurement reaches these limits.
UNLIMITED = 10_000
LONG_TIMEOUT_SECONDS = 600.0
STEP_SECONDS = 0.008
MAX_BATCH = 32
CHOICE_COUNT = 2000
TICK_COUNT = 200
MAX_EVENT_COUNT = 20000
EVENT_COUNTS = (1, 1000, MAX_EVENT_COUNT)
RING_SIZES = (500, 1000, 2000)
MICROSECONDS_PER_SECOND = 1_000_000
PROMPT = tuple(range(FIRST_LETTER, FIRST_LETTER + 9))


class Measurement(msgspec.Struct, frozen=True):
    """A cost measured at one size."""

    size: int
    cost: float


class Slope(msgspec.Struct, frozen=True):
    """A cost measured at several sizes.

    ``item_name`` names the items that the sizes count.
    """

    name: str
    unit: str
    item_name: str
    measurements: tuple[Measurement, ...]

    @property
    def per_item(self) -> float:
        """The cost per item between the smallest and the largest size."""
        first, last = self.measurements[0], self.measurements[-1]
        return (last.cost - first.cost) / (last.size - first.size)


def make_configuration(
    replicas: int,
    accounts: int = 10,
    models: int = MODELS,
) -> Configuration:
    """Create a configuration with one failure domain of a given size."""
    return Configuration(
        generation=1,
        deployment='capacity',
        region='r',
        failure_domains=('a',),
        models=tuple(
            Model(
                f'model-{number}',
                LAYERS,
                UNLIMITED,
                LONG_TIMEOUT_SECONDS,
                LONG_TIMEOUT_SECONDS,
            )
            for number in range(models)
        ),
        engines=tuple(_engines(replicas, models)),
        services=(),
        replicas=(),
        accounts=tuple(
            Account(f'account-{number}', 1.0, UNLIMITED, f'{number:064x}')
            for number in range(accounts)
        ),
        links=(),
    )


def measure_all() -> tuple[Slope, ...]:
    """Measure every slope."""
    return tuple(starmap(_measure_slope, SLOPE_DEFINITIONS))


def _measure_slope(
    name: str,
    unit: str,
    item_name: str,
    measure: Callable[[int], float],
    sizes: tuple[int, ...] = REPLICA_COUNTS,
) -> Slope:
    measurements = tuple(Measurement(size, measure(size)) for size in sizes)
    return Slope(name, unit, item_name, measurements)


def _engines(replicas: int, models: int) -> Iterable[Engine]:
    layers_per_stage = LAYERS // STAGES
    for replica in range(replicas):
        for stage in range(STAGES):
            first = stage * layers_per_stage
            yield Engine(
                name=f'engine-{replica}-{stage}',
                address=f'10.0.{replica}.{stage}:8000',
                failure_domain='a',
                model=f'model-{replica % models}',
                layers=LayerRange(first, first + layers_per_stage),
                accelerator='wide',
                step_seconds=STEP_SECONDS,
                max_batch=MAX_BATCH,
                max_streams=MAX_BATCH * STAGES * 2,
                checks_fencing=False,
            )


def _router(replicas: int, accounts: int = 10, models: int = MODELS) -> Router:
    router = Router('n1', 'a', random.Random(1))
    configuration = make_configuration(replicas, accounts, models)
    router.handle(events.ConfigurationAdopted(configuration), 0)
    return router


def _time_per_call(count: int, function: Callable[[], object]) -> float:
    """Return the time of one call in microseconds, the best of 3 rounds."""
    rounds: list[float] = []
    for _ in range(3):
        start = time.perf_counter()
        for _ in range(count):
            function()
        rounds.append(time.perf_counter() - start)
    return min(rounds) / count * MICROSECONDS_PER_SECOND


def _allocated_kilobytes(build: Callable[[], object]) -> float:
    tracemalloc.start()
    held_objects = [build()]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    held_objects.clear()
    return size / 1024


def _route_choice_time(replicas: int, models: int) -> float:
    router = _router(replicas, models=models)
    model = router.view.models['model-0']
    return _time_per_call(
        CHOICE_COUNT,
        lambda: router.view.planner.choose_route(model, 0),
    )


def _one_model_choice_time(replicas: int) -> float:
    return _route_choice_time(replicas, 1)


def _thirty_models_choice_time(replicas: int) -> float:
    return _route_choice_time(replicas, MODELS)


def _full_scan_choice_time(replicas: int) -> float:
    default_sample_size = planner.SAMPLE_SIZE
    planner.SAMPLE_SIZE = replicas
    try:
        return _route_choice_time(replicas, 1)
    finally:
        planner.SAMPLE_SIZE = default_sample_size


def _idle_tick_time(replicas: int) -> float:
    router = _router(replicas)
    return _time_per_call(
        TICK_COUNT,
        lambda: router.handle(events.TimerFired(), 0),
    )


def _router_with_sessions(sessions: int) -> Router:
    router = _router(REPLICA_COUNTS[-1], models=1)
    for number in range(sessions):
        _open_session(router, number)
    return router


def _open_session(router: Router, number: int) -> events.StepReplied:
    request = events.GenerationRequested(
        f'r{number}',
        'account-0',
        'model-0',
        PROMPT,
        1000,
    )
    step = router.handle(request, 0)[0]
    return events.StepReplied(step.key, step.endpoint, step.inputs, None)


def _tick_time_with_sessions(sessions: int) -> float:
    router = _router_with_sessions(sessions)
    return _time_per_call(
        TICK_COUNT,
        lambda: router.handle(events.TimerFired(), 0),
    )


def _step_time(sessions: int) -> float:
    """Return the time in microseconds to handle the reply of a step."""
    router = _router(REPLICA_COUNTS[-1], models=1)
    replies = [_open_session(router, number) for number in range(sessions)]
    rounds = max(4, MAX_EVENT_COUNT // sessions)
    start = time.perf_counter()
    for _ in range(rounds):
        replies = [_reply_to_step(router, reply) for reply in replies]
    elapsed = time.perf_counter() - start
    return elapsed / (rounds * sessions) * MICROSECONDS_PER_SECOND


def _reply_to_step(
    router: Router,
    reply: events.StepReplied,
) -> events.StepReplied:
    step = router.handle(reply, 0)[-1]
    token = FIRST_LETTER if step.layers.end == LAYERS else None
    return events.StepReplied(step.key, step.endpoint, step.inputs, token)


def _endpoint_memory(replicas: int) -> float:
    return _allocated_kilobytes(lambda: _router(replicas))


def _account_memory(accounts: int) -> float:
    return _allocated_kilobytes(lambda: _router(1, accounts, 1))


def _session_memory(sessions: int) -> float:
    return _allocated_kilobytes(lambda: _router_with_sessions(sessions))


def _peer_memory(nodes: int) -> float:
    return _allocated_kilobytes(lambda: _router_with_peers(nodes))


def _router_with_peers(nodes: int) -> Router:
    router = _router(1, models=1)
    for number in range(nodes):
        loads = tuple(
            EndpointLoad(STAGES * number + stage, 1) for stage in range(STAGES)
        )
        report = PeerReport(f'node-{number}', 'b', 'x', 1, 1, loads)
        router.view.peers.update(report, 0)
    return router


def _configuration_size(replicas: int) -> float:
    return len(msgspec.json.encode(make_configuration(replicas))) / 1024


def _adoption_time(replicas: int) -> float:
    body = msgspec.json.encode(make_configuration(replicas))
    return _time_per_call(3, partial(_decode_and_adopt, body))


def _decode_and_adopt(body: bytes) -> None:
    configuration = msgspec.json.decode(body, type=Configuration)
    router = Router('n1', 'a', random.Random(1))
    router.handle(events.ConfigurationAdopted(configuration), 0)


def _loaded_router(replicas: int) -> Router:
    router = _router(replicas)
    for state in router.view.registry.endpoints.values():
        state.streams = 100
    return router


def _report_size(replicas: int) -> float:
    return len(msgspec.json.encode(_loaded_router(replicas).report('x'))) / 1024


def _report_exchange_time(replicas: int) -> float:
    return _time_per_call(
        10, partial(_exchange_own_report, _loaded_router(replicas))
    )


def _exchange_own_report(router: Router) -> None:
    body = msgspec.json.encode(router.report('x'))
    report = msgspec.json.decode(body, type=PeerReport)
    router.handle(events.PeerReported(report), 0)


def _fill_timeline(count: int) -> Timeline:
    timeline = Timeline('n1', 'a', HybridClock(time.time))
    for number in range(count):
        timeline.add('kind', f'peer-{number}', f'request-{number}')
    return timeline


def _timeline_event_time(count: int) -> float:
    start = time.perf_counter()
    _fill_timeline(count)
    return (time.perf_counter() - start) * MICROSECONDS_PER_SECOND


def _timeline_memory(count: int) -> float:
    return _allocated_kilobytes(lambda: _fill_timeline(count))


SLOPE_DEFINITIONS = (
    ('route choice, one model', 'µs', 'replica', _one_model_choice_time),
    ('route choice, 30 models', 'µs', 'replica', _thirty_models_choice_time),
    ('route choice, full scan', 'µs', 'replica', _full_scan_choice_time),
    ('idle tick', 'µs', 'replica', _idle_tick_time),
    (
        'tick with sessions',
        'µs',
        'session',
        _tick_time_with_sessions,
        SESSION_COUNTS,
    ),
    ('step of a session', 'µs', 'session', _step_time, SESSION_COUNTS),
    ('memory of endpoints', 'KB', 'replica', _endpoint_memory),
    ('memory of accounts', 'KB', 'account', _account_memory, ACCOUNT_COUNTS),
    ('memory of sessions', 'KB', 'session', _session_memory, SESSION_COUNTS),
    ('memory of peers', 'KB', 'node', _peer_memory, PEER_COUNTS),
    ('configuration body', 'KB', 'replica', _configuration_size),
    ('adopting a configuration', 'µs', 'replica', _adoption_time),
    ('load report', 'KB', 'replica', _report_size),
    ('exchange of a load report', 'µs', 'replica', _report_exchange_time),
    ('time line event', 'µs', 'event', _timeline_event_time, EVENT_COUNTS),
    ('memory of the time line', 'KB', 'event', _timeline_memory, RING_SIZES),
)
