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

MEGABYTE = 1000000.0


class Placing(msgspec.Struct, frozen=True):
    """An engine and the layers that it is to hold."""

    endpoint: Endpoint
    layers: LayerRange


def loaded_layers(placing: Placing) -> int:
    """Give how many layers a placing loads."""
    held = placing.endpoint.layers
    layers = placing.layers
    count = layers.end - layers.first
    if held is None:
        return count
    shared = min(held.end, layers.end) - max(held.first, layers.first)
    return count - max(0, shared)


def plan_domain(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
    empty_at: float = 0,
) -> tuple[Placing, ...]:
    """Plan a whole copy of the model over the engines of one domain.

    The plan is empty where the engines together have too little memory.
    Engines that hold layers already keep their order, so that a new plan
    moves boundaries rather than everything; engines that hold nothing come
    in at layer ``empty_at``.

    Examples
    --------
    Two engines of the same kind get a half each::

        plan_domain([one, two], profile)
    """
    ordered = sorted(engines, key=partial(_position, empty_at))
    counts = _shares(ordered, profile)
    placings: list[Placing] = []
    first = 0
    for engine, count in zip(ordered, counts, strict=False):
        if count:
            layers = LayerRange(first, first + count)
            placings.append(Placing(engine, layers))
            first += count
    return tuple(placings)


def free_tokens(
    engine: Endpoint,
    layers: int,
    profile: EngineProfile,
) -> float:
    """Give for how many tokens an engine has memory beside its layers."""
    kind = profile.accelerator(engine.accelerator)
    if kind is None or not layers:
        return 0
    free = (kind.memory_mb - layers * profile.layer_mb) * MEGABYTE
    return free / (layers * profile.state_bytes / profile.layers)


def _position(empty_at: float, engine: Endpoint) -> tuple[float, str]:
    if engine.layers is None:
        return (empty_at, engine.endpoint_id)
    return (engine.layers.first, engine.endpoint_id)


def _shares(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> list[int]:
    """Give each engine layers in proportion to its memory.

    Layer by layer, the engine that has the most room for tokens afterwards
    gets the next one, which ends at equal room whatever the sizes.
    """
    most = [profile.most_layers(engine.accelerator) for engine in engines]
    if sum(most) < profile.layers:
        return []
    counts = [0 for _ in engines]
    for _ in range(profile.layers):
        rooms = [
            free_tokens(engine, count + 1, profile) if count < limit else -1
            for engine, count, limit in zip(engines, counts, most, strict=True)
        ]
        counts[rooms.index(max(rooms))] += 1
    return counts


def layers_for_room(
    engine: Endpoint,
    tokens: float,
    profile: EngineProfile,
) -> int:
    """Give how many layers an engine can hold beside so many tokens."""
    most = profile.most_layers(engine.accelerator)
    while most and free_tokens(engine, most, profile) < tokens:
        most -= 1
    return most


def even_room(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> float:
    """Give the least room for tokens in an even plan, 0 without one."""
    rooms = [
        free_tokens(engine, count, profile)
        for engine, count in zip(
            engines,
            _shares(engines, profile),
            strict=False,
        )
        if count
    ]
    return min(rooms, default=0)
