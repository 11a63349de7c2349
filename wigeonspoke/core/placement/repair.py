"""Fill gaps in a copy of the model.

A gap is left when an engine goes away with the layers that it held.  If one
engine took over the whole gap, it could have too little memory left for
requests and would limit the whole chain.  The missing layers are therefore
passed on from neighbour to neighbour until every engine keeps about the
token capacity that a balanced plan would give it.
"""

from collections.abc import Iterable, Sequence

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.placement.plan import (
    Placement,
    balanced_capacity,
    count_hops,
    layers_to_load,
    max_layers_for_capacity,
    plan_copy,
)


class CapacityGoal(msgspec.Struct, frozen=True):
    """A target for token capacity and the cost of settling for it.

    ``fraction`` is relative to the capacity of a balanced plan.
    ``penalty_seconds`` is added to the load time of a candidate, which
    weighs the missing capacity against faster repair.
    """

    fraction: float
    penalty_seconds: float


# A repair may leave less token capacity if that saves more load time than the
# penalty.
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
# Estimated delay of a placement that releases layers: streams that still use
# them have to finish first, and the layers loaded in their place wait too.
RELEASE_SECONDS = 2.0


class _Candidate(msgspec.Struct, frozen=True):
    """Placements that fill a gap, and their estimated cost in seconds."""

    placements: tuple[Placement, ...]
    seconds: float

    def cost(self) -> tuple[float, int]:
        """Return the sort key: the time, then the number of orders."""
        return (self.seconds, len(self.placements))


def repair_copy(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placement, ...]:
    """Return the placements that complete a copy of the model.

    ``layers`` of each engine must be the layers that it holds or is loading.
    The result is empty if the copy is complete, or if the engines together
    have too little memory for one.
    """
    gaps = find_gaps(engines, profile.layers)
    if not gaps:
        return ()
    repaired = _fill_gaps(engines, profile)
    is_complete = not find_gaps(repaired, profile.layers)
    hops = count_hops(repaired, profile.layers)
    if not is_complete or hops > profile.max_hops:
        return _replan(gaps[0], engines, profile)
    return tuple(
        Placement(engine, repaired_engine.layers)
        for engine, repaired_engine in zip(engines, repaired, strict=True)
        if engine.layers != repaired_engine.layers
    )


def _fill_gaps(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> list[Endpoint]:
    """Return the engines with as many gaps filled as possible, in turn."""
    filled = list(engines)
    gaps = find_gaps(filled, profile.layers)
    while gaps and gaps[0] != LayerRange(0, profile.layers):
        candidate = _best_candidate(gaps[0], filled, profile)
        if candidate is None:
            break
        filled = [
            _with_placements(engine, candidate.placements) for engine in filled
        ]
        missing = _count_layers(gaps)
        gaps = find_gaps(filled, profile.layers)
        if _count_layers(gaps) >= missing:
            # Layers released for this gap have left another one.
            break
    return filled


def relieve_engines(
    others: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placement, ...]:
    """Return placements that load the layers of some engines elsewhere.

    ``others`` lists the other engines of the copy.  The copy is complete, so
    none of them releases layers for this: the result is empty if one would
    have to.
    """
    placements = repair_copy(others, profile)
    return () if any(map(releases_layers, placements)) else placements


def find_gaps(
    engines: Sequence[Endpoint],
    layers: int,
) -> tuple[LayerRange, ...]:
    """Return the ranges of layers that no engine holds."""
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


def _count_layers(gaps: Iterable[LayerRange]) -> int:
    return sum(gap.end - gap.first for gap in gaps)


def _best_candidate(
    gap: LayerRange,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> _Candidate | None:
    """Return the cheapest placements that fill a gap, if there are any."""
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
    """Estimate the time until all placements have been carried out."""
    longest = max(map(layers_to_load, placements), default=0)
    contention = max(1, len(placements) / profile.loads_at_once)
    seconds = profile.load_seconds * longest / profile.layers * contention
    return seconds + RELEASE_SECONDS * any(map(releases_layers, placements))


def releases_layers(placement: Placement) -> bool:
    """Tell whether the engine drops layers that it holds."""
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
    """Finds placements that fill one gap with a minimum token capacity.

    Engines without layers are placed first, from the start of the gap.
    Engines on either side of the gap then extend into the rest of it.
    ``min_capacity`` is the number of tokens that an engine should still
    have memory for afterwards.
    """

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
        """Return the layers at which the two sides may meet.

        If engines without layers fill the start of the gap, the rest is left
        to the engines after the gap.
        """
        if self.from_empty:
            return range(self.remaining_start, self.remaining_start + 1)
        return range(self.gap.first, self.gap.end + 1)

    def fill_at(self, split: int) -> tuple[Placement, ...] | None:
        """Return placements that fill the gap, meeting at layer ``split``.

        Engines before the gap extend to ``split``, those after it extend
        back to ``split``.  The result is None if a side cannot reach it.
        """
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
        """Place engines without layers from the start of the gap.

        The engines that can hold the most layers come first.
        """
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
        """Extend the last engine to layer ``edge``, shifting others.

        An engine releases the layers at its start that no longer fit, and
        the engine before it extends to take them over.  The result is None
        if layers are left over at the start of the model.
        """
        placements: list[Placement] = []
        for engine in sorted(engines, key=_end_layer, reverse=True):
            held = engine.layers
            if held.first >= edge:
                # Another engine runs all of its layers, so it does not adjoin
                # the layers still to be taken over.
                continue
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
        for placement in plan_copy(engines, profile, gap.first)
        if placement.layers != placement.endpoint.layers
    )


def _mirror_range(layers: LayerRange, profile: EngineProfile) -> LayerRange:
    """Return the range counted from the other end of the model.

    Extending an engine towards the start of the model is the mirror image of
    extending one towards its end, so one algorithm serves both sides.
    """
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
