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
    Placing,
    even_room,
    layers_for_room,
    loaded_layers,
    plan_domain,
)


class RoomGoal(msgspec.Struct, frozen=True):
    """A share of an even plan's room to leave, and what less of it costs.

    ``penalty_seconds`` weighs the lack of room against the time of loads.
    """

    share: float
    penalty_seconds: float


AMPLE_SHARE = 0.75
FAIR_SHARE = 0.5
FAIR_PENALTY_SECONDS = 0.4
SCANT_SHARE = 0.35
SCANT_PENALTY_SECONDS = 1.2
ROOM_GOALS = (
    RoomGoal(AMPLE_SHARE, 0),
    RoomGoal(FAIR_SHARE, FAIR_PENALTY_SECONDS),
    RoomGoal(SCANT_SHARE, SCANT_PENALTY_SECONDS),
)
# Layers that are let go wait for the streams that pass through them, and
# what is loaded in their place waits with them.
LET_GO_SECONDS = 2.0


class _Wave(msgspec.Struct, frozen=True):
    """The placings of one way of closing a gap, and what it costs."""

    placings: tuple[Placing, ...]
    seconds: float

    def cost(self) -> tuple[float, int]:
        """Give the time it takes, then the number of orders."""
        return (self.seconds, len(self.placings))


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
    repaired = list(engines)
    while gaps and gaps[0] != LayerRange(0, profile.layers):
        wave = _best_wave(gaps[0], repaired, profile)
        if wave is None:
            break
        repaired = [_moved(engine, wave.placings) for engine in repaired]
        gaps = find_gaps(repaired, profile.layers)
    if gaps:
        return _replan(gaps[0], engines, profile)
    return tuple(
        Placing(engine, after.layers)
        for engine, after in zip(engines, repaired, strict=True)
        if engine.layers != after.layers
    )


def replace_slow(
    fast: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placing, ...]:
    """Let other engines load what the slow ones hold, if they have room.

    The chain works, if slowly: nobody lets go of layers for it, and nothing
    is done where that would be needed.
    """
    placings = repair_domain(fast, profile)
    return () if any(map(lets_go, placings)) else placings


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


def _best_wave(
    gap: LayerRange,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> _Wave | None:
    """Find the way of closing a gap that loads fastest."""
    room = even_room(engines, profile)
    waves: list[_Wave] = []
    for goal in ROOM_GOALS:
        closing = _Closing(gap, engines, profile, goal.share * room)
        for split in closing.splits:
            placings = closing.close_at(split)
            if placings is not None:
                seconds = goal.penalty_seconds + _seconds(placings, profile)
                waves.append(_Wave(placings, seconds))
    return min(waves, key=_Wave.cost, default=None)


def _seconds(
    placings: tuple[Placing, ...],
    profile: EngineProfile,
) -> float:
    """Estimate how long placings take until all layers are there."""
    longest = max(map(loaded_layers, placings), default=0)
    crowd = max(1, len(placings) / profile.loads_at_once)
    seconds = profile.load_seconds * longest / profile.layers * crowd
    return seconds + LET_GO_SECONDS * any(map(lets_go, placings))


def lets_go(placing: Placing) -> bool:
    """Tell whether an engine gives up layers that it holds."""
    held = placing.endpoint.layers
    if held is None:
        return False
    layers = placing.layers
    return held.first < layers.first or layers.end < held.end


def _moved(engine: Endpoint, placings: tuple[Placing, ...]) -> Endpoint:
    for placing in placings:
        if placing.endpoint.endpoint_id == engine.endpoint_id:
            return msgspec.structs.replace(engine, layers=placing.layers)
    return engine


class _Closing:
    """Ways of closing one gap so that a room for tokens is left."""

    __slots__ = ('engines', 'filled', 'first', 'gap', 'profile', 'room')

    def __init__(
        self,
        gap: LayerRange,
        engines: Sequence[Endpoint],
        profile: EngineProfile,
        room: float,
    ) -> None:
        self.gap = gap
        self.profile = profile
        self.room = room
        self.engines = [each for each in engines if each.layers is not None]
        self.first = gap.first
        self.filled = self._fill(
            each for each in engines if each.layers is None
        )

    @property
    def splits(self) -> range:
        """Give where the two sides may meet, behind what is filled."""
        if self.filled:
            return range(self.first, self.first + 1)
        return range(self.gap.first, self.gap.end + 1)

    def close_at(self, split: int) -> tuple[Placing, ...] | None:
        """Let the engines before the gap take it up to a split."""
        before = [
            each for each in self.engines if each.layers.end <= self.gap.first
        ]
        after = [
            each for each in self.engines if each.layers.first >= self.gap.end
        ]
        left_edge = split
        if self.filled:
            left_edge = self.gap.first
        left = self._push(before, left_edge)
        mirrored = [_mirror_engine(each, self.profile) for each in after]
        right = self._push(mirrored, self.profile.layers - split)
        if left is None or right is None:
            return None
        back = [_mirror_back(each, after, self.profile) for each in right]
        return (*self.filled, *left, *back)

    def _fill(self, empty: Iterable[Endpoint]) -> list[Placing]:
        """Give engines without layers the start of the gap."""
        filled: list[Placing] = []
        for engine in sorted(empty, key=self._most, reverse=True):
            end = min(self.gap.end, self.first + self._most(engine))
            if end > self.first:
                layers = LayerRange(self.first, end)
                filled.append(Placing(engine, layers))
                self.first = end
        return filled

    def _push(
        self,
        engines: Sequence[Endpoint],
        edge: int,
    ) -> list[Placing] | None:
        """Move the ends of engines so that they reach an edge.

        Each lets go of what no longer fits at its start, and the engine
        before it then takes that.
        """
        placings: list[Placing] = []
        for engine in sorted(engines, key=_end, reverse=True):
            held = engine.layers
            if held.end >= edge:
                return placings
            first = max(held.first, edge - max(1, self._most(engine)))
            placings.append(Placing(engine, LayerRange(first, edge)))
            if first == held.first:
                return placings
            edge = first
        return None if edge > 0 else placings

    def _most(self, engine: Endpoint) -> int:
        return layers_for_room(engine, self.room, self.profile)


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


def _mirror(layers: LayerRange, profile: EngineProfile) -> LayerRange:
    """Count layers from the other end of the model."""
    return LayerRange(
        profile.layers - layers.end,
        profile.layers - layers.first,
    )


def _mirror_engine(engine: Endpoint, profile: EngineProfile) -> Endpoint:
    return msgspec.structs.replace(
        engine,
        layers=_mirror(engine.layers, profile),
    )


def _mirror_back(
    placing: Placing,
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> Placing:
    wanted = placing.endpoint.endpoint_id
    original = next(each for each in engines if each.endpoint_id == wanted)
    return Placing(original, _mirror(placing.layers, profile))


def _end(engine: Endpoint) -> int:
    return engine.layers.end
