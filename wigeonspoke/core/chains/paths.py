"""Search for chains of engines that run every layer once and in order."""

import heapq
from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint, EngineProfile

# Activations of whole prompts cross a link that all failure domains share, so
# a chain crosses domains only if no chain within one domain is complete.
DOMAIN_CROSSING_COST = 10000.0
HOP_COST = 0.1
# Cost of each layer that an engine holds and another engine of the chain runs.
# It keeps a chain to the engines that were placed to form a copy together.
WASTED_LAYER_COST = 10.0
# Cost of an engine that another chain uses already.  Chains share an engine
# rather than use a slow one, but only where they have to.
SHARED_ENGINE_COST = 100.0
SLOW_ENGINE_COST = 1000.0
# With this cost, hops outweigh everything else in the cost of a chain.
DOMINANT_HOP_COST = 1000000.0


class Hop(msgspec.Struct, frozen=True):
    """An engine and the layers that it runs in a chain."""

    endpoint: Endpoint
    layers: LayerRange


class Chain(msgspec.Struct, frozen=True):
    """Engines whose layer ranges cover the model without overlap.

    The first engine is the head: it receives the requests.
    """

    hops: tuple[Hop, ...]

    @property
    def head(self) -> Endpoint:
        """Return the engine that receives the requests."""
        return self.hops[0].endpoint

    @property
    def endpoint_ids(self) -> frozenset[str]:
        """Return the endpoint ids of all engines of the chain."""
        return frozenset(hop.endpoint.endpoint_id for hop in self.hops)

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains of the engines of the chain."""
        return frozenset(hop.endpoint.failure_domain for hop in self.hops)


class _SearchState(msgspec.Struct, frozen=True, order=True):
    """An entry of the search heap, ordered by cost.

    Layers below ``covered`` have been assigned, the last of them to the engine
    at ``engine_index``, which is in ``domain``.
    """

    cost: float
    covered: int
    domain: str
    engine_index: int


class SearchCosts:
    """What the cost of a chain depends on beside its engines' accelerators.

    ``uses`` counts the chains that use an engine already, by endpoint id.
    ``slow_ids`` are engines that are slower than their accelerator should be.
    ``heads`` may not be the head of a further chain.
    """

    __slots__ = ('heads', 'slow_ids', 'uses')

    def __init__(self, slow_ids: Collection[str] = ()) -> None:
        self.slow_ids = slow_ids
        self.uses: Counter[str] = Counter()
        self.heads: set[str] = set()

    def record_chain(self, chain: Chain) -> None:
        """Let further chains use other engines where possible."""
        self.uses.update(chain.endpoint_ids)
        self.heads.add(chain.head.endpoint_id)

    def engine_cost(self, engine: Endpoint) -> float:
        """Return the cost of using an engine, apart from hop and layers."""
        is_slow = engine.endpoint_id in self.slow_ids
        shared_cost = SHARED_ENGINE_COST * self.uses[engine.endpoint_id]
        return shared_cost + SLOW_ENGINE_COST * is_slow


def find_chains(
    engines: Iterable[Endpoint],
    profile: EngineProfile,
    slow_ids: Collection[str] = (),
) -> tuple[Chain, ...]:
    """Find one chain for each engine that can be the head of one.

    The chains share an engine only if they could not be complete otherwise,
    or if the alternative is a slow engine.
    """
    listed = list(engines)
    costs = SearchCosts(slow_ids)
    chains: list[Chain] = []
    chain = find_chain(listed, profile, costs)
    while chain is not None:
        chains.append(chain)
        costs.record_chain(chain)
        chain = find_chain(listed, profile, costs)
    return tuple(chains)


def find_chain(
    engines: Iterable[Endpoint],
    profile: EngineProfile,
    costs: SearchCosts | None = None,
) -> Chain | None:
    """Find the cheapest chain that covers all layers, if there is one.

    Slow accelerators cost more per layer.  A hop from one failure domain to
    another costs far more than that.  If the cheapest chain has more hops than
    engines accept, the chain with the fewest hops is returned instead.
    """
    engines_with_layers = [
        engine
        for engine in engines
        if engine.layers is not None and engine.layers.end <= profile.layers
    ]
    engine_costs = costs or SearchCosts()
    for hop_cost in (HOP_COST, DOMINANT_HOP_COST):
        search = _Search(engines_with_layers, profile, engine_costs, hop_cost)
        chain = search.run()
        if chain is None or len(chain.hops) <= profile.max_hops:
            return chain
    return None


def explain_missing_chain(
    engines: Iterable[Endpoint],
    profile: EngineProfile,
) -> str:
    """Return why :func:`find_chain` finds no chain over these engines.

    Either no engine holds some of the layers, or every chain has too many
    hops.
    """
    covered = 0
    for layers in sorted(
        engine.layers for engine in engines if engine.layers is not None
    ):
        if layers.first > covered:
            break
        covered = max(covered, layers.end)
    if covered < profile.layers:
        return f'no engine holds layer {covered}'
    return f'more than {profile.max_hops} hops'


class _Search:
    """Dijkstra's algorithm over the number of covered layers and the domain."""

    __slots__ = (
        'best_costs',
        'costs',
        'engines_with_layers',
        'heap',
        'hop_cost',
        'predecessors',
        'profile',
    )

    def __init__(
        self,
        engines_with_layers: list[Endpoint],
        profile: EngineProfile,
        costs: SearchCosts,
        hop_cost: float,
    ) -> None:
        self.engines_with_layers = engines_with_layers
        self.profile = profile
        self.costs = costs
        self.hop_cost = hop_cost
        self.heap: list[_SearchState] = [_SearchState(0, 0, '', -1)]
        self.best_costs: dict[tuple[int, str], float] = {}
        self.predecessors: dict[tuple[int, str], tuple[int, str, int]] = {}

    def run(self) -> Chain | None:
        """Return the cheapest chain that covers all layers, if any."""
        while self.heap:
            state = heapq.heappop(self.heap)
            if state.covered >= self.profile.layers:
                return self._build_chain(state)
            if state.cost > self.best_costs.get(_vertex(state), state.cost):
                continue
            for index, engine in enumerate(self.engines_with_layers):
                self._relax(state, index, engine)
        return None

    def _relax(self, state: _SearchState, index: int, engine: Endpoint) -> None:
        layers = engine.layers
        if not layers.first <= state.covered < layers.end:
            return
        if not state.covered and engine.endpoint_id in self.costs.heads:
            return
        cost = state.cost + self._cost(state, engine)
        next_state = _SearchState(
            cost, layers.end, engine.failure_domain, index
        )
        vertex = _vertex(next_state)
        if cost < self.best_costs.get(vertex, float('inf')):
            self.best_costs[vertex] = cost
            self.predecessors[vertex] = (state.covered, state.domain, index)
            heapq.heappush(self.heap, next_state)

    def _cost(self, state: _SearchState, engine: Endpoint) -> float:
        accelerator = self.profile.accelerator(engine.accelerator)
        slowdown = accelerator.step_time_factor if accelerator else 1.0
        layer_share = (engine.layers.end - state.covered) / self.profile.layers
        wasted_layers = state.covered - engine.layers.first
        crosses_domain = state.domain not in {'', engine.failure_domain}
        return (
            self.hop_cost
            + self.costs.engine_cost(engine)
            + slowdown * layer_share
            + WASTED_LAYER_COST * wasted_layers
            + DOMAIN_CROSSING_COST * crosses_domain
        )

    def _build_chain(self, final_state: _SearchState) -> Chain:
        hops: list[Hop] = []
        vertex = _vertex(final_state)
        while vertex in self.predecessors:
            covered, domain, index = self.predecessors[vertex]
            layers = LayerRange(covered, vertex[0])
            hops.append(Hop(self.engines_with_layers[index], layers))
            vertex = (covered, domain)
        return Chain(tuple(reversed(hops)))


def _vertex(state: _SearchState) -> tuple[int, str]:
    return (state.covered, state.domain)
