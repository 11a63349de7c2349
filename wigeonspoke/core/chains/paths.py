"""Chains of engines that run every layer once and in order."""

import heapq
from collections.abc import Iterable

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile

MAX_HOPS = 32
# Activations of whole prompts cross a pipe that all domains share, so a
# chain leaves its domain only where no other is whole.
CROSSING_COST = 1000.0
HOP_COST = 0.1


class Hop(msgspec.Struct, frozen=True):
    """An engine and the layers that it runs in a chain."""

    endpoint: Endpoint
    layers: LayerRange


class Chain(msgspec.Struct, frozen=True):
    """Engines whose ranges tile the model, the first one the head."""

    hops: tuple[Hop, ...]

    @property
    def head(self) -> Endpoint:
        """Give the engine that takes the request."""
        return self.hops[0].endpoint

    @property
    def endpoint_ids(self) -> frozenset[str]:
        """Give the ids of all engines of the chain."""
        return frozenset(hop.endpoint.endpoint_id for hop in self.hops)

    @property
    def domains(self) -> frozenset[str]:
        """Give the failure domains that the chain touches."""
        return frozenset(hop.endpoint.failure_domain for hop in self.hops)


class _Step(msgspec.Struct, frozen=True, order=True):
    cost: float
    covered: int
    domain: str
    order: int


def find_chain(
    engines: Iterable[Endpoint],
    profile: EngineProfile,
) -> Chain | None:
    """Find the cheapest chain through engines, if there is a whole one.

    Slow accelerators cost more for each layer, and a step from one failure
    domain to another far more than that.
    """
    holders = [engine for engine in engines if engine.layers is not None]
    search = _Search(holders, profile)
    return search.run()


class _Search:
    """Dijkstra's search over how many layers are covered, and where."""

    __slots__ = ('best', 'heap', 'holders', 'origins', 'profile')

    def __init__(
        self,
        holders: list[Endpoint],
        profile: EngineProfile,
    ) -> None:
        self.holders = holders
        self.profile = profile
        self.heap: list[_Step] = [_Step(0, 0, '', -1)]
        self.best: dict[tuple[int, str], float] = {}
        self.origins: dict[tuple[int, str], tuple[int, str, int]] = {}

    def run(self) -> Chain | None:
        """Search until all layers are covered."""
        while self.heap:
            step = heapq.heappop(self.heap)
            if step.covered >= self.profile.layers:
                return self._trace(step)
            if step.cost > self.best.get(_place(step), step.cost):
                continue
            for index, engine in enumerate(self.holders):
                self._extend(step, index, engine)
        return None

    def _extend(self, step: _Step, index: int, engine: Endpoint) -> None:
        layers = engine.layers
        if not layers.first <= step.covered < layers.end:
            return
        cost = step.cost + self._cost(step, engine)
        reached = _Step(cost, layers.end, engine.failure_domain, index)
        place = _place(reached)
        if cost < self.best.get(place, float('inf')):
            self.best[place] = cost
            self.origins[place] = (step.covered, step.domain, index)
            heapq.heappush(self.heap, reached)

    def _cost(self, step: _Step, engine: Endpoint) -> float:
        kind = self.profile.accelerator(engine.accelerator)
        pace = kind.step_time_factor if kind else 1.0
        share = (engine.layers.end - step.covered) / self.profile.layers
        crossing = step.domain not in {'', engine.failure_domain}
        return HOP_COST + pace * share + CROSSING_COST * crossing

    def _trace(self, last: _Step) -> Chain | None:
        hops: list[Hop] = []
        place = _place(last)
        while place in self.origins:
            covered, domain, index = self.origins[place]
            layers = LayerRange(covered, place[0])
            hops.append(Hop(self.holders[index], layers))
            place = (covered, domain)
        if len(hops) > MAX_HOPS:
            return None
        return Chain(tuple(reversed(hops)))


def _place(step: _Step) -> tuple[int, str]:
    return (step.covered, step.domain)
