"""Who holds which layers: a whole copy of the model in a failure domain.

The load pattern it answers: many short answers at once, whose state takes
the memory that weights leave free, on accelerators of unlike size.  Shares
in proportion to memory leave every engine the same room for tokens, so that
no engine is full while others have room.
"""

from collections.abc import Sequence
from functools import partial

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile

BYTES_PER_MEGABYTE = 1000000.0


class Placement(msgspec.Struct, frozen=True):
    """An engine and the layers that it is to hold."""

    endpoint: Endpoint
    layers: LayerRange


def layers_to_load(placement: Placement) -> int:
    """Give how many layers a placing loads."""
    held = placement.endpoint.layers
    layers = placement.layers
    count = layers.end - layers.first
    if held is None:
        return count
    shared = min(held.end, layers.end) - max(held.first, layers.first)
    return count - max(0, shared)


def plan_domain(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
    insert_at: float = 0,
) -> tuple[Placement, ...]:
    """Plan a whole copy of the model over the engines of one domain.

    The plan is empty where the engines together have too little memory.
    Engines that hold layers already keep their order, so that a new plan
    moves boundaries rather than everything; engines that hold nothing come
    in at layer ``insert_at``.

    Examples
    --------
    Two engines of the same kind get a half each::

        plan_domain([one, two], profile)
    """
    ordered = sorted(engines, key=partial(_sort_key, insert_at))
    counts = _layer_counts(ordered, profile)
    placements: list[Placement] = []
    first = 0
    for engine, count in zip(ordered, counts, strict=False):
        if count:
            layers = LayerRange(first, first + count)
            placements.append(Placement(engine, layers))
            first += count
    return tuple(placements)


def token_capacity(
    engine: Endpoint,
    layers: int,
    profile: EngineProfile,
) -> float:
    """Give for how many tokens an engine has memory beside its layers."""
    kind = profile.accelerator(engine.accelerator)
    if kind is None or not layers:
        return 0
    free = (kind.memory_mb - layers * profile.layer_mb) * BYTES_PER_MEGABYTE
    return free / (layers * profile.kv_token_bytes / profile.layers)


def _sort_key(insert_at: float, engine: Endpoint) -> tuple[float, str]:
    if engine.layers is None:
        return (insert_at, engine.endpoint_id)
    return (engine.layers.first, engine.endpoint_id)


def _layer_counts(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> list[int]:
    """Give each engine layers in proportion to its memory.

    Layer by layer, the engine that has the most room for tokens afterwards
    gets the next one, which ends at equal room whatever the sizes.
    """
    limits = [profile.max_layers(engine.accelerator) for engine in engines]
    if sum(limits) < profile.layers:
        return []
    counts = [0 for _ in engines]
    for _ in range(profile.layers):
        capacities = [
            token_capacity(engine, count + 1, profile) if count < limit else -1
            for engine, count, limit in zip(
                engines, counts, limits, strict=True
            )
        ]
        counts[capacities.index(max(capacities))] += 1
    return counts


def max_layers_for_capacity(
    engine: Endpoint,
    tokens: float,
    profile: EngineProfile,
) -> int:
    """Give how many layers an engine can hold beside so many tokens."""
    count = profile.max_layers(engine.accelerator)
    while count and token_capacity(engine, count, profile) < tokens:
        count -= 1
    return count


def balanced_capacity(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> float:
    """Give the least room for tokens in an even plan, 0 without one."""
    capacities = [
        token_capacity(engine, count, profile)
        for engine, count in zip(
            engines,
            _layer_counts(engines, profile),
            strict=False,
        )
        if count
    ]
    return min(capacities, default=0)
