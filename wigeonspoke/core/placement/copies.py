"""Division of a domain's engines into several copies of the model.

An engine at the head of a chain serves a limited number of requests at once,
and the token time of a chain does not fall with more engines in it.  A domain
with much memory therefore holds several copies, each with a head of its own.

The division is derived from the layers that the engines hold, so that a new
lease holder continues with the copies of the previous one.
"""

import heapq
from collections.abc import Iterable, Sequence

import msgspec

from wigeonspoke.core.fleet import (
    BYTES_PER_MEGABYTE,
    Endpoint,
    EngineProfile,
)
from wigeonspoke.core.placement.plan import Placement, balanced_capacity
from wigeonspoke.core.placement.repair import relieve_engines

# Costs of a layer that a copy lacks, and of a layer that one of its engines
# holds in vain because another engine of the copy runs it.  Taking an engine
# with other boundaries from another copy should not pay.
MISSING_LAYER_COST = 1.0
WASTED_LAYER_COST = 2.0
# Prefers the copy with fewer engines among equals.
ENGINE_COST = 0.01
# A domain holds as many copies as leave memory for this fraction of the
# requests of full heads.  A new copy is formed only if there is memory for all
# of them, an existing one is kept with less.
NEW_COPY_FRACTION = 1.0
KEPT_COPY_FRACTION = 0.5
# A copy exists if at least this fraction of its layers are held.
EXISTING_LAYER_FRACTION = 0.5
# Engines that together have a smaller fraction than this of the token capacity
# for a full head do not form a further copy; they assist the others.
MIN_CAPACITY_FRACTION = 0.25


def count_copies(
    engines: Iterable[Endpoint],
    profile: EngineProfile,
    head_fraction: float = NEW_COPY_FRACTION,
) -> int:
    """Return how many copies the engines of a domain can hold, at least 1.

    Each copy needs memory for the weights and for a fraction of the requests,
    of mean length, that its head may serve at once.
    """
    listed = list(engines)
    if not listed:
        return 1
    request_mb = (
        head_fraction
        * _full_head_tokens(listed, profile)
        * profile.kv_token_bytes
        / BYTES_PER_MEGABYTE
    )
    copy_mb = profile.layers * profile.layer_mb + request_mb
    return max(1, int(_memory_mb(listed, profile) // copy_mb))


class Division(msgspec.Struct, frozen=True):
    """The engines of each copy, and those reserved for a further copy.

    ``wanted_copies`` is the number of copies that the domain should hold.
    """

    copies: tuple[tuple[Endpoint, ...], ...] = ()
    reserve: tuple[Endpoint, ...] = ()
    wanted_copies: int = 1


def divide_engines(
    engines: Sequence[Endpoint],
    profile: EngineProfile,
) -> Division:
    """Divide the engines of a domain into copies and at most one reserve.

    Engines whose layers make up a copy, or most of one, stay together.  The
    others go to the copies with the least memory.  If the engines of a copy
    have too little memory, they are reserved for it while the domain as a whole
    has enough, and join the other copies otherwise.
    """
    wanted = count_copies(engines, profile)
    kept = count_copies(engines, profile, KEPT_COPY_FRACTION)
    holders = [engine for engine in engines if engine.layers is not None]
    copies, spare = _find_copies(holders, profile, wanted, kept)
    copies.extend([] for _ in range(len(copies), wanted))
    spare.extend(engine for engine in engines if engine.layers is None)
    while True:
        extended = _assign_spare(copies, spare, profile)
        too_small = [
            index
            for index, copy in enumerate(extended)
            if not _is_viable(copy, profile)
        ]
        if not too_small or len(copies) == 1:
            return Division(tuple(map(tuple, extended)), (), wanted)
        # Copies found later hold fewer layers.
        last = too_small[-1]
        if len(too_small) == 1 and len(copies) <= kept:
            reserve = tuple(extended.pop(last))
            return Division(tuple(map(tuple, extended)), reserve, kept)
        spare.extend(copies.pop(last))


def relieve_engine(
    division: Division,
    profile: EngineProfile,
) -> tuple[Placement, ...]:
    """Return placements that relieve an engine, for a copy that is wanted.

    Other engines of its copy load its layers, and release none for this.  The
    copy keeps the memory that a copy needs.  The engine is then not used there
    any more and joins the reserve.
    """
    has_all_copies = len(division.copies) >= division.wanted_copies
    if has_all_copies or not division.copies:
        return ()
    richest = max(
        division.copies,
        key=lambda copy: balanced_capacity(copy, profile),
    )
    needed = KEPT_COPY_FRACTION * _full_head_tokens(richest, profile)
    by_layers = sorted(
        (engine for engine in richest if engine.layers is not None),
        key=lambda engine: engine.layers.end - engine.layers.first,
    )
    for engine in by_layers:
        others = [each for each in richest if each is not engine]
        if balanced_capacity(others, profile) >= needed:
            placements = relieve_engines(others, profile)
            if placements:
                return placements
    return ()


def _find_copies(
    holders: list[Endpoint],
    profile: EngineProfile,
    wanted: int,
    kept: int,
) -> tuple[list[list[Endpoint]], list[Endpoint]]:
    """Return the copies that engines with layers make up, and the others.

    Beyond the copies wanted, a copy has to be complete, or to exist and be
    within the number of copies kept.
    """
    remaining = holders
    max_missing = (1 - EXISTING_LAYER_FRACTION) * profile.layers
    copies: list[list[Endpoint]] = []
    while remaining:
        copy = _Tiling(remaining, profile.layers).run()
        is_kept = len(copies) < kept and copy.missing_layers <= max_missing
        if copy.missing_layers and len(copies) >= wanted and not is_kept:
            break
        copies.append(copy.engines)
        used = {engine.endpoint_id for engine in copy.engines}
        remaining = [
            engine for engine in remaining if engine.endpoint_id not in used
        ]
    return copies, remaining


def _assign_spare(
    copies: list[list[Endpoint]],
    spare: list[Endpoint],
    profile: EngineProfile,
) -> list[list[Endpoint]]:
    """Add each spare engine, the largest first, to the smallest copy."""
    extended = [list(copy) for copy in copies]
    memory = [
        (_memory_mb(copy, profile), index)
        for index, copy in enumerate(extended)
    ]
    heapq.heapify(memory)
    by_size = sorted(
        spare,
        key=lambda engine: (
            -_memory_mb((engine,), profile),
            engine.endpoint_id,
        ),
    )
    for engine in by_size:
        size, index = heapq.heappop(memory)
        extended[index].append(engine)
        heapq.heappush(memory, (size + _memory_mb((engine,), profile), index))
    return extended


def _is_viable(copy: Sequence[Endpoint], profile: EngineProfile) -> bool:
    needed = MIN_CAPACITY_FRACTION * _full_head_tokens(copy, profile)
    return balanced_capacity(copy, profile) > needed


def _full_head_tokens(
    engines: Sequence[Endpoint], profile: EngineProfile
) -> float:
    """Return the tokens of the requests that a head may serve at once."""
    slots = max((engine.slots for engine in engines), default=1)
    return slots * profile.mean_request_tokens


def _memory_mb(engines: Iterable[Endpoint], profile: EngineProfile) -> float:
    kinds = [profile.accelerator(engine.accelerator) for engine in engines]
    return sum(kind.memory_mb for kind in kinds if kind is not None)


class _Copy(msgspec.Struct):
    """Engines that hold a copy of the model, except for missing layers."""

    engines: list[Endpoint]
    missing_layers: int


class _Tiling:
    """Finds the engines whose ranges cover the layers best.

    This is a shortest path over the number of covered layers.  Every engine
    leads from any lower number to the end of its range.
    """

    __slots__ = ('costs', 'engines', 'layers', 'predecessors')

    def __init__(self, engines: Sequence[Endpoint], layers: int) -> None:
        self.engines = sorted(
            engines,
            key=lambda engine: (engine.layers.end, engine.endpoint_id),
        )
        self.layers = layers
        self.costs: dict[int, float] = {0: 0}
        self.predecessors: dict[int, tuple[int, Endpoint]] = {}

    def run(self) -> _Copy:
        """Return the best copy that the engines hold."""
        for engine in self.engines:
            self._extend_to(engine)
        end = min(self.costs, key=self._total_cost)
        missing = self.layers - end
        engines: list[Endpoint] = []
        while end:
            start, last = self.predecessors[end]
            missing += max(0, last.layers.first - start)
            engines.append(last)
            end = start
        engines.reverse()
        return _Copy(engines, missing)

    def _total_cost(self, end: int) -> float:
        return self.costs[end] + MISSING_LAYER_COST * (self.layers - end)

    def _extend_to(self, engine: Endpoint) -> None:
        """Find the cheapest path whose last engine is ``engine``."""
        layers = engine.layers
        cost, start = min(
            (known + _joining_cost(covered, layers.first), covered)
            for covered, known in self.costs.items()
            if covered < layers.end
        )
        if cost < self.costs.get(layers.end, float('inf')):
            self.costs[layers.end] = cost
            self.predecessors[layers.end] = (start, engine)


def _joining_cost(covered: int, first: int) -> float:
    """Return the cost of an engine from layer ``first`` on after a path."""
    missing = MISSING_LAYER_COST * max(0, first - covered)
    wasted = WASTED_LAYER_COST * max(0, covered - first)
    return ENGINE_COST + missing + wasted
