"""Balance the token capacity of a complete copy while it serves requests.

After repairs, some engines may have little memory left for requests, and a
chain can serve only as many as its engine with the least capacity, the
bottleneck.  An engine with spare capacity first loads layers of the
bottleneck, which releases them only afterwards.  Every layer thus stays held
at all times.
"""

from collections.abc import Sequence

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.placement.plan import (
    Placement,
    balanced_capacity,
    count_hops,
    token_capacity,
)

# Layers are moved off an engine whose token capacity is below this fraction
# of that in a balanced plan.
BOTTLENECK_FRACTION = 0.6
# After a move, the engine that takes over layers must have at least this
# multiple of the bottleneck's present capacity.
MIN_CAPACITY_GAIN = 1.25


def balance_copy(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placement, ...]:
    """Return the next placement, or none if the copy is balanced.

    There is at most one placement at a time.
    """
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
    if count_hops(holders, profile.layers) >= profile.max_hops:
        # Another engine would make the chain too long.
        empty = []
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
    """Return the layers the bottleneck keeps if another holds the rest."""
    held = bottleneck.layers
    for other in holders:
        kept = _subtract_overlap(held, other.layers)
        if other is not bottleneck and kept is not None:
            return kept
    return None


def _subtract_overlap(
    held: LayerRange, other_layers: LayerRange
) -> LayerRange | None:
    """Return ``held`` without the end that ``other_layers`` covers.

    The result is None if the ranges are disjoint or nothing would be left.
    """
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
    """Let an engine without layers load the bottleneck's last layers."""
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
    """Let an adjacent engine load the layers next to its own."""
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
    """Return the lesser token capacity of both engines after a move."""
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
