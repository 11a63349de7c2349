"""Plan a complete copy of a model over a set of engines.

The plan is made for many short, concurrent generations on accelerators of
different sizes.  Their key-value caches occupy the memory that the weights
leave free.  Layers are distributed so that every engine has about the same
token capacity; otherwise one engine would be full while others had free
memory.
"""

from collections.abc import Iterable, Sequence
from functools import partial

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile


class Placement(msgspec.Struct, frozen=True):
    """Assignment of a range of layers to an engine."""

    endpoint: Endpoint
    layers: LayerRange


def layers_to_load(placement: Placement) -> int:
    """Return the number of layers that the engine does not hold yet."""
    held = placement.endpoint.layers
    layers = placement.layers
    count = layers.end - layers.first
    if held is None:
        return count
    shared = min(held.end, layers.end) - max(held.first, layers.first)
    return count - max(0, shared)


def plan_copy(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
    insert_at: float = 0,
) -> tuple[Placement, ...]:
    """Plan a complete copy of the model over the given engines.

    The plan is empty if the engines together have too little memory.  If there
    are more engines than a chain may have hops, those with the most memory are
    used.  Engines that already hold layers keep their order, so that a new plan
    shifts boundaries instead of reloading everything.  Engines without
    layers are inserted at layer ``insert_at``.

    Examples
    --------
    Two engines with the same accelerator get half of the layers each::

        plan_copy([one, two], profile)
    """
    ordered = sorted(
        _largest_engines(engines, profile), key=partial(_sort_key, insert_at)
    )
    counts = _layer_counts(ordered, profile)
    placements: list[Placement] = []
    first = 0
    for engine, count in zip(ordered, counts, strict=False):
        if count:
            layers = LayerRange(first, first + count)
            placements.append(Placement(engine, layers))
            first += count
    return tuple(placements)


def count_hops(engines: Iterable[Endpoint], layers: int) -> int:
    """Return the fewest hops of a chain, 0 if the engines hold a gap."""
    hops = 0
    covered = 0
    while covered < layers:
        reached = max(
            (
                engine.layers.end
                for engine in engines
                if engine.layers is not None and engine.layers.first <= covered
            ),
            default=0,
        )
        if reached <= covered:
            return 0
        covered = reached
        hops += 1
    return hops


def token_capacity(
    engine: Endpoint,
    layers: int,
    profile: EngineProfile,
) -> float:
    """Return how many tokens fit into the memory that the layers leave free.

    The capacity is 0 for an unknown accelerator or an engine without layers.
    """
    if not layers:
        return 0
    return profile.cache_capacity(engine.accelerator, layers) / layers


def _largest_engines(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> list[Endpoint]:
    """Return as many engines as a chain may have, those with most memory.

    Among engines of equal size, those that already hold layers come first.
    """
    by_size = sorted(
        engines,
        key=lambda engine: (
            -profile.max_layers(engine.accelerator),
            engine.layers is None,
            engine.endpoint_id,
        ),
    )
    return by_size[: profile.max_hops]


def _sort_key(insert_at: float, engine: Endpoint) -> tuple[float, str]:
    if engine.layers is None:
        return (insert_at, engine.endpoint_id)
    return (engine.layers.first, engine.endpoint_id)


def _layer_counts(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> list[int]:
    """Return the number of layers for each engine, by its memory.

    Each layer in turn goes to the engine that has the greatest token
    capacity after taking it.  This evens out the capacities for any
    mix of accelerators.  The list is empty if the model does not fit.
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
    """Return how many layers fit beside the caches of so many tokens."""
    count = profile.max_layers(engine.accelerator)
    while count and token_capacity(engine, count, profile) < tokens:
        count -= 1
    return count


def balanced_capacity(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> float:
    """Return the least token capacity of any engine in a balanced plan.

    The capacity is 0 if the engines cannot hold the whole model.
    """
    largest = _largest_engines(engines, profile)
    capacities = [
        token_capacity(engine, count, profile)
        for engine, count in zip(
            largest,
            _layer_counts(largest, profile),
            strict=False,
        )
        if count
    ]
    return min(capacities, default=0)
