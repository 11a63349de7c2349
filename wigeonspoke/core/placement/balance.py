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
    Placing,
    even_room,
    free_tokens,
)

# An engine is tight with less than this share of an even plan's room.
TIGHT_SHARE = 0.6
# A move must leave the engine that takes layers this much more room than
# the tight one has.
GAIN = 1.25


def balance_domain(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> tuple[Placing, ...]:
    """Give the next move, at most one order, or none if all is even."""
    holders = [each for each in engines if each.layers is not None]
    if not holders:
        return ()
    tight = min(holders, key=lambda each: _room(each, each.layers, profile))
    room = _room(tight, tight.layers, profile)
    if room >= TIGHT_SHARE * even_room(engines, profile):
        return ()
    trimmed = _trim(tight, holders)
    if trimmed is not None:
        return (Placing(tight, trimmed),)
    empty = [each for each in engines if each.layers is None]
    moves = [_double(each, tight, room, profile) for each in empty]
    moves.extend(
        _extend(each, tight, room, profile)
        for each in holders
        if each is not tight
    )
    found = [move for move in moves if move is not None]
    if not found:
        return ()
    return (max(found, key=lambda move: _after(move, tight, profile)),)


def _trim(
    tight: Endpoint,
    holders: Sequence[Endpoint],
) -> LayerRange | None:
    """Give what a tight engine may keep, if others hold a part of it."""
    held = tight.layers
    for other in holders:
        kept = _without(held, other.layers)
        if other is not tight and kept is not None:
            return kept
    return None


def _without(held: LayerRange, theirs: LayerRange) -> LayerRange | None:
    """Give a range without what another one covers of one of its ends."""
    if theirs.end >= held.end and held.first < theirs.first < held.end:
        return LayerRange(held.first, theirs.first)
    if theirs.first <= held.first and held.first < theirs.end < held.end:
        return LayerRange(theirs.end, held.end)
    return None


def _double(
    empty: Endpoint,
    tight: Endpoint,
    room: float,
    profile: EngineProfile,
) -> Placing | None:
    """Let an engine without layers load the end of a tight engine's."""
    held = tight.layers
    return _best(
        [
            Placing(empty, LayerRange(first, held.end))
            for first in range(held.first + 1, held.end)
        ],
        tight,
        room,
        profile,
    )


def _extend(
    neighbour: Endpoint,
    tight: Endpoint,
    room: float,
    profile: EngineProfile,
) -> Placing | None:
    """Let a neighbour load layers at the border with a tight engine."""
    held = tight.layers
    theirs = neighbour.layers
    inner = range(held.first + 1, held.end)
    if theirs.end == held.first:
        found = [
            Placing(neighbour, LayerRange(theirs.first, at)) for at in inner
        ]
    elif theirs.first == held.end:
        found = [Placing(neighbour, LayerRange(at, theirs.end)) for at in inner]
    else:
        return None
    return _best(found, tight, room, profile)


def _best(
    moves: Sequence[Placing],
    tight: Endpoint,
    room: float,
    profile: EngineProfile,
) -> Placing | None:
    fitting = [
        move
        for move in moves
        if _room(move.endpoint, move.layers, profile) >= GAIN * room
    ]
    return max(
        fitting,
        key=lambda move: _after(move, tight, profile),
        default=None,
    )


def _after(move: Placing, tight: Endpoint, profile: EngineProfile) -> float:
    """Give the lesser room of the two engines when the move is done."""
    held = tight.layers
    taken = move.layers
    shared = min(held.end, taken.end) - max(held.first, taken.first)
    left = held.end - held.first - shared
    return min(
        _room(move.endpoint, taken, profile),
        free_tokens(tight, left, profile),
    )


def _room(
    engine: Endpoint,
    layers: LayerRange,
    profile: EngineProfile,
) -> float:
    return free_tokens(engine, layers.end - layers.first, profile)
