"""Configuration and engines of the model, in the types that policies see."""

from collections.abc import Iterator

from wigeonspoke.bench.line.patterns import LoadPattern
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import (
    Accelerator,
    Endpoint,
    EngineProfile,
    EngineSpeeds,
)
from wigeonspoke.core.routing import (
    ClientAccount,
    ClientLimits,
    RequestKind,
    RoutingConfiguration,
    Rule,
    ServiceProfile,
    Target,
)

SERVICE = 'drafting'
HOST = 'line.example'
LAYERS = 80
ENGINES_PER_CHAIN = 2
SLOTS = 6
STREAM_TIMEOUT_SECONDS = 20.0
EVENT_GAP_SECONDS = 0.25
# With this accelerator and link, a chain with 6 slots serves about 9 streams
# per second, so that two have the capacity of the stated targets.
ACCELERATOR = Accelerator(
    name='medium',
    memory_mb=96000,
    step_time_factor=2.25,
    read_time_factor=2.7,
)
SPEEDS = EngineSpeeds(
    step_seconds=1.02e-3,
    request_step_seconds=9.18e-6,
    context_token_seconds=1.23e-8,
    read_token_seconds=1 / 164000,
    token_pair_seconds=1.99e-10,
    chunk_tokens=512,
    steps_per_pass=5,
    # 59,000 bytes of activations over 100,000 and 10,400 Mbit/s.
    link_token_seconds=4.72e-6,
    shared_link_token_seconds=4.54e-5,
    prompt_tokens=775,
    answer_tokens=221,
)
PROFILE = EngineProfile(
    model='m',
    layers=LAYERS,
    layer_mb=1750,
    kv_token_bytes=1180000,
    load_seconds=8,
    loads_at_once=6,
    mean_request_tokens=SPEEDS.prompt_tokens + SPEEDS.answer_tokens,
    accelerators=(ACCELERATOR,),
    max_hops=32,
    speeds=SPEEDS,
)


def make_configuration(pattern: LoadPattern) -> RoutingConfiguration:
    """Return the configuration with a rule for each kind of streams."""
    names = sorted({kind.account_name for kind in pattern.kinds})
    return RoutingConfiguration(
        version=1,
        rules=tuple(
            _make_rule(kind.name, kind.target, kind.priority)
            for kind in pattern.kinds
        ),
        services=(ServiceProfile(SERVICE, '/', 1, PROFILE),),
        accounts=tuple(ClientAccount(name, (name,)) for name in names),
        has_accounts=True,
        limits=ClientLimits(),
    )


def _make_rule(name: str, target_seconds: float, priority: int) -> Rule:
    return Rule(
        name=name,
        host=HOST,
        prefix=f'/{name}/',
        kind=RequestKind.STREAM,
        timeout_seconds=STREAM_TIMEOUT_SECONDS,
        target_latency_seconds=target_seconds,
        max_attempts=2,
        priority=priority,
        allows_anonymous=False,
        is_resumable=True,
        target_event_gap_seconds=EVENT_GAP_SECONDS,
        targets=(Target(SERVICE, 1),),
    )


def make_engines(pattern: LoadPattern) -> list[Endpoint]:
    """Return the engines of all chains; each holds an equal part."""
    engines: list[Endpoint] = []
    for domain, chains in pattern.chains.items():
        for chain in range(chains):
            engines.extend(_engines_of_chain(domain, f'{domain}{chain}'))
    return engines


def _engines_of_chain(domain: str, name: str) -> Iterator[Endpoint]:
    part = LAYERS // ENGINES_PER_CHAIN
    for position in range(ENGINES_PER_CHAIN):
        engine_id = f'{name}-{position}'
        yield Endpoint(
            endpoint_id=engine_id,
            service=SERVICE,
            address=f'{engine_id}:1',
            failure_domain=domain,
            slots=SLOTS,
            accelerator=ACCELERATOR.name,
            layers=LayerRange(part * position, part * (position + 1)),
        )
