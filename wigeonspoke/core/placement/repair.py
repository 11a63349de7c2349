"""Closing gaps in a domain's copy of the model.

The fault it answers: engines leave one by one, each with its range.  An
engine that takes much more than its share has no memory left for requests
and starves the whole chain, so the missing layers are passed on from
neighbour to neighbour until every engine keeps near the room for tokens
that an even plan would leave it.
"""

from collections.abc import Iterable, Sequence

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.placement.plan import (
    Placement,
    balanced_capacity,
    layers_to_load,
    max_layers_for_capacity,
    plan_domain,
)


class CapacityGoal(msgspec.Struct, frozen=True):
    """A share of an even plan's room to leave, and what less of it costs.

    ``penalty_seconds`` weighs the lack of room against the time of loads.
    """

    fraction: float
    penalty_seconds: float


AMPLE_FRACTION = 0.75
FAIR_FRACTION = 0.5
FAIR_PENALTY_SECONDS = 0.4
SCANT_FRACTION = 0.35
SCANT_PENALTY_SECONDS = 1.2
CAPACITY_GOALS = (
    CapacityGoal(AMPLE_FRACTION, 0),
    CapacityGoal(FAIR_FRACTION, FAIR_PENALTY_SECONDS),
    CapacityGoal(SCANT_FRACTION, SCANT_PENALTY_SECONDS),
)
# Layers that are let go wait for the streams that pass through them, and
# what is loaded in their place waits with them.
RELEASE_SECONDS = 2.0


class _Candidate(msgspec.Struct, frozen=True):
    """The placings of one way of closing a gap, and what it costs."""

    placements: tuple[Placement, ...]
    seconds: float

    def cost(self) -> tuple[float, int]:
        """Give the time it takes, then the number of orders."""
        return (self.seconds, len(self.placements))


def repair_domain(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placement, ...]:
    """Give the placings that make a domain's copy whole again.

    ``engines`` bear the layers that they hold or are loading.  Nothing is
    given where the copy is whole, or where memory is too little for one.
    """
    gaps = find_gaps(engines, profile.layers)
    if not gaps:
        return ()
    repaired = list(engines)
    while gaps and gaps[0] != LayerRange(0, profile.layers):
        candidate = _best_candidate(gaps[0], repaired, profile)
        if candidate is None:
            break
        repaired = [
            _with_placements(engine, candidate.placements)
            for engine in repaired
        ]
        gaps = find_gaps(repaired, profile.layers)
    if gaps:
        return _replan(gaps[0], engines, profile)
    return tuple(
        Placement(engine, repaired_engine.layers)
        for engine, repaired_engine in zip(engines, repaired, strict=True)
        if engine.layers != repaired_engine.layers
    )


def offload_slow_engines(
    fast: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placement, ...]:
    """Let other engines load what the slow ones hold, if they have room.

    The chain works, if slowly: nobody lets go of layers for it, and nothing
    is done where that would be needed.
    """
    placements = repair_domain(fast, profile)
    return () if any(map(releases_layers, placements)) else placements


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
    for held_range in held:
        if held_range.first > covered:
            gaps.append(LayerRange(covered, held_range.first))
        covered = max(covered, held_range.end)
    if covered < layers:
        gaps.append(LayerRange(covered, layers))
    return tuple(gaps)


def _best_candidate(
    gap: LayerRange,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> _Candidate | None:
    """Find the way of closing a gap that loads fastest."""
    capacity = balanced_capacity(engines, profile)
    candidates: list[_Candidate] = []
    for goal in CAPACITY_GOALS:
        filler = _GapFiller(gap, engines, profile, goal.fraction * capacity)
        for split in filler.splits:
            placements = filler.fill_at(split)
            if placements is not None:
                seconds = goal.penalty_seconds + _estimate_load_seconds(
                    placements, profile
                )
                candidates.append(_Candidate(placements, seconds))
    return min(candidates, key=_Candidate.cost, default=None)


def _estimate_load_seconds(
    placements: tuple[Placement, ...],
    profile: EngineProfile,
) -> float:
    """Estimate how long placings take until all layers are there."""
    longest = max(map(layers_to_load, placements), default=0)
    contention = max(1, len(placements) / profile.loads_at_once)
    seconds = profile.load_seconds * longest / profile.layers * contention
    return seconds + RELEASE_SECONDS * any(map(releases_layers, placements))


def releases_layers(placement: Placement) -> bool:
    """Tell whether an engine gives up layers that it holds."""
    held = placement.endpoint.layers
    if held is None:
        return False
    layers = placement.layers
    return held.first < layers.first or layers.end < held.end


def _with_placements(
    engine: Endpoint, placements: tuple[Placement, ...]
) -> Endpoint:
    for placement in placements:
        if placement.endpoint.endpoint_id == engine.endpoint_id:
            return msgspec.structs.replace(engine, layers=placement.layers)
    return engine


class _GapFiller:
    """Ways of closing one gap so that a room for tokens is left."""

    __slots__ = (
        'engines',
        'from_empty',
        'gap',
        'min_capacity',
        'profile',
        'remaining_start',
    )

    def __init__(
        self,
        gap: LayerRange,
        engines: Sequence[Endpoint],
        profile: EngineProfile,
        min_capacity: float,
    ) -> None:
        self.gap = gap
        self.profile = profile
        self.min_capacity = min_capacity
        self.engines = [
            engine for engine in engines if engine.layers is not None
        ]
        self.remaining_start = gap.first
        self.from_empty = self._place_empty(
            engine for engine in engines if engine.layers is None
        )

    @property
    def splits(self) -> range:
        """Give where the two sides may meet, behind what is filled."""
        if self.from_empty:
            return range(self.remaining_start, self.remaining_start + 1)
        return range(self.gap.first, self.gap.end + 1)

    def fill_at(self, split: int) -> tuple[Placement, ...] | None:
        """Let the engines before the gap take it up to a split."""
        preceding = [
            engine
            for engine in self.engines
            if engine.layers.end <= self.gap.first
        ]
        following = [
            engine
            for engine in self.engines
            if engine.layers.first >= self.gap.end
        ]
        left_edge = split
        if self.from_empty:
            left_edge = self.gap.first
        left = self._move_boundaries(preceding, left_edge)
        mirrored = [
            _mirror_engine(engine, self.profile) for engine in following
        ]
        right = self._move_boundaries(mirrored, self.profile.layers - split)
        if left is None or right is None:
            return None
        unmirrored = [
            _unmirror_placement(placement, following, self.profile)
            for placement in right
        ]
        return (*self.from_empty, *left, *unmirrored)

    def _place_empty(self, empty: Iterable[Endpoint]) -> list[Placement]:
        """Give engines without layers the start of the gap."""
        from_empty: list[Placement] = []
        for engine in sorted(empty, key=self._max_layers, reverse=True):
            end = min(
                self.gap.end, self.remaining_start + self._max_layers(engine)
            )
            if end > self.remaining_start:
                layers = LayerRange(self.remaining_start, end)
                from_empty.append(Placement(engine, layers))
                self.remaining_start = end
        return from_empty

    def _move_boundaries(
        self,
        engines: Sequence[Endpoint],
        edge: int,
    ) -> list[Placement] | None:
        """Move the ends of engines so that they reach an edge.

        Each lets go of what no longer fits at its start, and the engine
        before it then takes that.
        """
        placements: list[Placement] = []
        for engine in sorted(engines, key=_end_layer, reverse=True):
            held = engine.layers
            if held.end >= edge:
                return placements
            first = max(held.first, edge - max(1, self._max_layers(engine)))
            placements.append(Placement(engine, LayerRange(first, edge)))
            if first == held.first:
                return placements
            edge = first
        return None if edge > 0 else placements

    def _max_layers(self, engine: Endpoint) -> int:
        return max_layers_for_capacity(engine, self.min_capacity, self.profile)


def _replan(
    gap: LayerRange,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placement, ...]:
    return tuple(
        placement
        for placement in plan_domain(engines, profile, gap.first)
        if placement.layers != placement.endpoint.layers
    )


def _mirror_range(layers: LayerRange, profile: EngineProfile) -> LayerRange:
    """Count layers from the other end of the model."""
    return LayerRange(
        profile.layers - layers.end,
        profile.layers - layers.first,
    )


def _mirror_engine(engine: Endpoint, profile: EngineProfile) -> Endpoint:
    return msgspec.structs.replace(
        engine,
        layers=_mirror_range(engine.layers, profile),
    )


def _unmirror_placement(
    placement: Placement,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> Placement:
    endpoint_id = placement.endpoint.endpoint_id
    original = next(
        engine for engine in engines if engine.endpoint_id == endpoint_id
    )
    return Placement(original, _mirror_range(placement.layers, profile))


def _end_layer(engine: Endpoint) -> int:
    return engine.layers.end
