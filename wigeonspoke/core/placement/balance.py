"""Evening out a copy that is whole, while it serves.

The load pattern it answers: after repairs some engines have little memory
left for requests, and the chain can hold only as many as the tightest of
them.  Layers are first loaded by an engine with room, then let go by the
tight one, so that every layer is held at every moment.
"""

from collections.abc import Sequence

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.placement.plan import (
    Placement,
    balanced_capacity,
    token_capacity,
)

# An engine is tight with less than this share of an even plan's room.
BOTTLENECK_FRACTION = 0.6
# A move must leave the engine that takes layers this much more room than
# the tight one has.
MIN_CAPACITY_GAIN = 1.25


def balance_domain(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placement, ...]:
    """Give the next move, at most one order, or none if all is even."""
    holders = [engine for engine in engines if engine.layers is not None]
    if not holders:
        return ()
    bottleneck = min(
        holders,
        key=lambda engine: _placement_capacity(engine, engine.layers, profile),
    )
    capacity = _placement_capacity(bottleneck, bottleneck.layers, profile)
    if capacity >= BOTTLENECK_FRACTION * balanced_capacity(engines, profile):
        return ()
    trimmed = _trim(bottleneck, holders)
    if trimmed is not None:
        return (Placement(bottleneck, trimmed),)
    empty = [engine for engine in engines if engine.layers is None]
    moves = [
        _replicate_end(engine, bottleneck, capacity, profile)
        for engine in empty
    ]
    moves.extend(
        _extend_neighbour(engine, bottleneck, capacity, profile)
        for engine in holders
        if engine is not bottleneck
    )
    feasible = [move for move in moves if move is not None]
    if not feasible:
        return ()
    return (
        max(
            feasible,
            key=lambda move: _capacity_after(move, bottleneck, profile),
        ),
    )


def _trim(
    bottleneck: Endpoint,
    holders: Sequence[Endpoint],
) -> LayerRange | None:
    """Give what a tight engine may keep, if others hold a part of it."""
    held = bottleneck.layers
    for other in holders:
        kept = _subtract_overlap(held, other.layers)
        if other is not bottleneck and kept is not None:
            return kept
    return None


def _subtract_overlap(
    held: LayerRange, other_layers: LayerRange
) -> LayerRange | None:
    """Give a range without what another one covers of one of its ends."""
    if (
        other_layers.end >= held.end
        and held.first < other_layers.first < held.end
    ):
        return LayerRange(held.first, other_layers.first)
    if (
        other_layers.first <= held.first
        and held.first < other_layers.end < held.end
    ):
        return LayerRange(other_layers.end, held.end)
    return None


def _replicate_end(
    empty: Endpoint,
    bottleneck: Endpoint,
    capacity: float,
    profile: EngineProfile,
) -> Placement | None:
    """Let an engine without layers load the end of a tight engine's."""
    held = bottleneck.layers
    return _best_move(
        [
            Placement(empty, LayerRange(first, held.end))
            for first in range(held.first + 1, held.end)
        ],
        bottleneck,
        capacity,
        profile,
    )


def _extend_neighbour(
    neighbour: Endpoint,
    bottleneck: Endpoint,
    capacity: float,
    profile: EngineProfile,
) -> Placement | None:
    """Let a neighbour load layers at the border with a tight engine."""
    held = bottleneck.layers
    other_layers = neighbour.layers
    inner = range(held.first + 1, held.end)
    if other_layers.end == held.first:
        moves = [
            Placement(neighbour, LayerRange(other_layers.first, at))
            for at in inner
        ]
    elif other_layers.first == held.end:
        moves = [
            Placement(neighbour, LayerRange(at, other_layers.end))
            for at in inner
        ]
    else:
        return None
    return _best_move(moves, bottleneck, capacity, profile)


def _best_move(
    moves: Sequence[Placement],
    bottleneck: Endpoint,
    capacity: float,
    profile: EngineProfile,
) -> Placement | None:
    fitting = [
        move
        for move in moves
        if _placement_capacity(move.endpoint, move.layers, profile)
        >= MIN_CAPACITY_GAIN * capacity
    ]
    return max(
        fitting,
        key=lambda move: _capacity_after(move, bottleneck, profile),
        default=None,
    )


def _capacity_after(
    move: Placement, bottleneck: Endpoint, profile: EngineProfile
) -> float:
    """Give the lesser room of the two engines when the move is done."""
    held = bottleneck.layers
    new_layers = move.layers
    shared = min(held.end, new_layers.end) - max(held.first, new_layers.first)
    left = held.end - held.first - shared
    return min(
        _placement_capacity(move.endpoint, new_layers, profile),
        token_capacity(bottleneck, left, profile),
    )


def _placement_capacity(
    engine: Endpoint,
    layers: LayerRange,
    profile: EngineProfile,
) -> float:
    return token_capacity(engine, layers.end - layers.first, profile)
