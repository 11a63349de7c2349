"""Example engines with different accelerators for tests of the core."""

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Accelerator, Endpoint, EngineProfile
from wigeonspoke.core.placement import PlacementController

PROFILE = EngineProfile(
    model='m',
    layers=80,
    layer_mb=1750.0,
    kv_token_bytes=1180000.0,
    load_seconds=14.0,
    loads_at_once=6,
    mean_request_tokens=944.0,
    accelerators=(
        Accelerator('large', 72000.0, 1.4, 1.0),
        Accelerator('middle', 36000.0, 3.1, 3.2),
        Accelerator('small', 21600.0, 16.0, 8.2),
        Accelerator('tiny', 14400.0, 15.0, 15.0),
    ),
    max_hops=32,
)
# Number of engines by accelerator in each failure domain.
DOMAINS = {
    'one': {'middle': 2, 'small': 4, 'tiny': 7},
    'two': {'large': 1, 'middle': 1, 'small': 5, 'tiny': 7},
    'three': {'middle': 1, 'small': 8, 'tiny': 3},
}
# Domains with memory for several copies of the model.  Two of them have one
# more engine than a chain may have hops.
LARGE_PROFILE = msgspec.structs.replace(PROFILE, kv_token_bytes=786000.0)
LARGE_DOMAINS = {
    'four': {'middle': 4, 'small': 11, 'tiny': 18},
    'five': {'large': 1, 'middle': 2, 'small': 13, 'tiny': 17},
    'six': {'large': 1, 'middle': 2, 'small': 20, 'tiny': 9},
    'seven': {'middle': 3, 'small': 9, 'tiny': 13},
}
ENGINE_SLOTS = 96
MAX_PLACEMENT_STEPS = 60
# Longer than a controller waits for registrations, and between two balancing
# orders.
STEP_SECONDS = 2.0


def make_engine(
    name: str,
    accelerator: str = 'small',
    layers: tuple[int, int] | None = None,
    domain: str = 'one',
    **fields: object,
) -> Endpoint:
    """Create an engine, by default without layers."""
    fields.setdefault('slots', ENGINE_SLOTS)
    return Endpoint(
        endpoint_id=name,
        service='drafting',
        address=f'10.0.0.1:{len(name)}',
        failure_domain=domain,
        accelerator=accelerator,
        layers=LayerRange(*layers) if layers else None,
        **fields,
    )


def domain_engines(domain: str) -> list[Endpoint]:
    """Create the engines of a domain, without layers."""
    return [
        make_engine(f'{domain}-{kind}-{index}', kind, domain=domain)
        for kind, count in (DOMAINS | LARGE_DOMAINS)[domain].items()
        for index in range(count)
    ]


def place_engines(
    controller: PlacementController,
    engines: list[Endpoint],
    now: float = 0,
) -> list[Endpoint]:
    """Return the engines once a controller has no more orders for them.

    Every order is carried out at once.
    """
    controller.decide(engines, (), now)
    for step in range(1, MAX_PLACEMENT_STEPS):
        placements = controller.decide(engines, (), now + step * STEP_SECONDS)
        if not placements:
            break
        engines = apply_placements(engines, placements)
    return engines


def apply_placements(
    engines: list[Endpoint],
    placements: tuple,
) -> list[Endpoint]:
    """Return the engines as they are after all placements."""
    layers_by_id = {
        placement.endpoint.endpoint_id: placement.layers
        for placement in placements
    }
    return [
        msgspec.structs.replace(
            engine,
            layers=layers_by_id.get(engine.endpoint_id, engine.layers),
        )
        for engine in engines
    ]
