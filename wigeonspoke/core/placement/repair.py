"""Closing gaps in a domain's copy of the model.

The fault it answers: engines leave one by one, each with its range.  The
neighbours of a gap and engines that hold nothing take the missing layers,
each about the same number at once, since loading takes time for each layer.
Only where they have no room is the domain planned anew.
"""

from collections.abc import Sequence

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.placement.plan import (
    Placing,
    free_tokens,
    plan_domain,
)

# An engine that takes more layers must keep room for this many requests of
# the usual size.
KEPT_REQUESTS = 12


class _Taker(msgspec.Struct):
    """An engine that can take layers of a gap, at its left or right end."""

    endpoint: Endpoint
    held: LayerRange | None
    side: str
    most: int
    taken: int = 0


def repair_domain(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placing, ...]:
    """Give the placings that make a domain's copy whole again.

    ``engines`` bear the layers that they hold or are loading.  Nothing is
    given where the copy is whole, or where memory is too little for one.
    """
    gaps = find_gaps(engines, profile.layers)
    if not gaps:
        return ()
    if len(gaps) == 1 and gaps[0] != LayerRange(0, profile.layers):
        placings = _close_gap(gaps[0], engines, profile)
        if placings:
            return placings
    return _replan(gaps[0], engines, profile)


def find_gaps(
    engines: Sequence[Endpoint],
    layers: int,
) -> tuple[LayerRange, ...]:
    """Give the ranges of layers that no engine holds."""
    held = sorted(
        engine.layers for engine in engines if engine.layers is not None
    )
    gaps: list[LayerRange] = []
    covered = 0
    for part in held:
        if part.first > covered:
            gaps.append(LayerRange(covered, part.first))
        covered = max(covered, part.end)
    if covered < layers:
        gaps.append(LayerRange(covered, layers))
    return tuple(gaps)


def _close_gap(
    gap: LayerRange,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placing, ...]:
    takers = _find_takers(gap, engines, profile)
    missing = gap.end - gap.first
    for _ in range(missing):
        able = [taker for taker in takers if taker.taken < taker.most]
        if not able:
            return ()
        least = min(able, key=lambda taker: taker.taken)
        least.taken += 1
    return _placings(gap, takers)


def _find_takers(
    gap: LayerRange,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> list[_Taker]:
    """Find takers in the order of the layers that they would take."""
    left: list[_Taker] = []
    middle: list[_Taker] = []
    right: list[_Taker] = []
    for engine in engines:
        held = engine.layers
        most = _most_more(engine, profile)
        if held is None:
            middle.append(_Taker(engine, held, 'middle', most))
        elif held.end == gap.first:
            left.append(_Taker(engine, held, 'left', most))
        elif held.first == gap.end:
            right.append(_Taker(engine, held, 'right', most))
    return [*_roomiest(left), *middle, *_roomiest(right)]


def _roomiest(takers: list[_Taker]) -> list[_Taker]:
    """Keep one neighbour of a side: two would take the same layers."""
    ordered = sorted(takers, key=lambda taker: taker.most, reverse=True)
    return ordered[:1]


def _most_more(engine: Endpoint, profile: EngineProfile) -> int:
    """Give how many layers more an engine can take and still be of use."""
    held = engine.layers.end - engine.layers.first if engine.layers else 0
    kept = KEPT_REQUESTS * profile.usual_tokens
    most = profile.most_layers(engine.accelerator)
    while most > held and free_tokens(engine, most, profile) < kept:
        most -= 1
    return max(0, most - held)


def _placings(
    gap: LayerRange,
    takers: list[_Taker],
) -> tuple[Placing, ...]:
    placings: list[Placing] = []
    at = gap.first
    for taker in takers:
        end = at + taker.taken
        if taker.taken:
            placings.append(Placing(taker.endpoint, _extended(taker, at, end)))
        at = end
    return tuple(placings)


def _extended(taker: _Taker, first: int, end: int) -> LayerRange:
    if taker.held is None:
        return LayerRange(first, end)
    return LayerRange(
        min(first, taker.held.first),
        max(end, taker.held.end),
    )


def _replan(
    gap: LayerRange,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placing, ...]:
    return tuple(
        placing
        for placing in plan_domain(engines, profile, gap.first)
        if placing.layers != placing.endpoint.layers
    )
