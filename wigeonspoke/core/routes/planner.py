"""Selection of the route with the lowest expected time per token.

Engines that serve the same layer range of a model in the same failure domain
form a group.  The planner samples a few members of each group, keeps the
cheapest, and combines groups by dynamic programming over layer boundaries,
starting at layer 0.  The cost of a selection therefore grows with the number
of groups and not with the number of engines.

Streams that share a batch on one stage reach the next stage at the same
time.  The planner keeps them together by preferring engines of equal rank in
consecutive groups, so that batches stay full with few streams in flight.
"""

import random
from collections.abc import Container

from returns.result import Success

from wigeonspoke.core.deployment import Engine, LayerRange, Model
from wigeonspoke.core.membership import MarkRegistry, MarkState, PeerRegistry
from wigeonspoke.core.routes.registry import (
    EndpointGroup,
    EndpointRegistry,
    EndpointState,
    Ownership,
)
from wigeonspoke.core.routes.route import Route, build_route

# Members of a group that are sampled, besides the one of preferred rank.
SAMPLE_SIZE = 2
# Link crossings for each step: the request and its reply.
HOPS_PER_STAGE = 2
# Share of a stream limit up to which nodes use engines beyond their own part.
BORROWABLE_SHARE = 0.6
# Factor on the expected time at an engine that another node owns.
BORROWED_COST_FACTOR = 1.5
# Cost, in steps of the engine, of leaving the rank of the previous stage.
MISALIGNMENT_STEPS = 1
NO_ENDPOINTS: frozenset[str] = frozenset()


class _PartialRoute:
    """The cheapest stages found so far from layer 0 to some layer.

    ``rank`` is the rank of the last stage's engine in its group.
    """

    __slots__ = ('cost', 'rank', 'stages')

    def __init__(
        self,
        cost: float,
        stages: tuple[Engine, ...],
        rank: int | None = None,
    ) -> None:
        self.cost = cost
        self.stages = stages
        self.rank = rank

    def extended_with(
        self, state: EndpointState, cost: float
    ) -> '_PartialRoute':
        """Return a copy with one more stage and the given total cost."""
        if state.engine is None:
            return self
        return _PartialRoute(cost, (*self.stages, state.engine), state.rank)

    def is_misaligned_with(self, state: EndpointState) -> bool:
        """Return whether an engine's rank differs from the last stage's."""
        return self.rank not in {None, state.rank}


class RoutePlanner:
    """Selects endpoints by their health, marks, load and distance.

    ``failure_domain`` is the failure domain of this node.
    """

    __slots__ = ('failure_domain', 'marks', 'peers', 'registry', 'rng')

    def __init__(
        self,
        failure_domain: str,
        registry: EndpointRegistry,
        marks: MarkRegistry,
        peers: PeerRegistry,
        rng: random.Random,
    ) -> None:
        self.failure_domain = failure_domain
        self.registry = registry
        self.marks = marks
        self.peers = peers
        self.rng = rng

    def choose_route(
        self,
        model: Model,
        now: float,
        excluded: Container[str] = NO_ENDPOINTS,
    ) -> Route | None:
        """Return the cheapest sampled route with capacity, if there is one."""
        partial_routes = {0: _PartialRoute(0, ())}
        for group in self.registry.groups.get(model.name, ()):
            prefix = partial_routes.get(group.layers.first)
            if prefix:
                self._extend(partial_routes, prefix, group, now, excluded)
        complete = partial_routes.get(model.layers)
        if complete is None:
            return None
        route = build_route(complete.stages, model.layers)
        return route.unwrap() if isinstance(route, Success) else None

    def choose_stage(
        self,
        model: Model,
        layers: LayerRange,
        now: float,
        excluded: Container[str] = NO_ENDPOINTS,
    ) -> Engine | None:
        """Return the cheapest engine with capacity for one layer range."""
        best: dict[int, _PartialRoute] = {}
        prefix = _PartialRoute(0, ())
        for group in self.registry.groups.get(model.name, ()):
            if group.layers == layers:
                self._extend(best, prefix, group, now, excluded)
        found = best.get(layers.end)
        return found.stages[0] if found else None

    def choose_replica(
        self,
        service: str,
        now: float,
        excluded: Container[str] = NO_ENDPOINTS,
    ) -> EndpointState | None:
        """Return the usable replica with the fewest streams of this node.

        Ties are broken by link latency, then at random.
        """
        usable = [
            state
            for state in self.registry.replicas.get(service, ())
            if state.name not in excluded and self.accepts_work(state, now)
        ]
        if not usable:
            return None
        self.rng.shuffle(usable)
        return min(usable, key=self._replica_cost)

    def accepts_work(self, state: EndpointState, now: float) -> bool:
        """Return whether an endpoint may get new work, whatever its load."""
        marked = self.marks.state(state.name) is not MarkState.ACTIVE
        if marked or state.is_leaving:
            return False
        return state.health.is_usable(now) and state.busy_until <= now

    def expected_seconds(self, state: EndpointState, engine: Engine) -> float:
        """Return the expected time of one step, queueing and links included.

        Time at an engine of another node is weighted, so that a node
        prefers its own and shared engines.
        """
        load = self.known_streams(state) + 1
        queueing = max(1, load / state.pipeline_streams)
        latency = self.registry.link_seconds(
            self.failure_domain, state.failure_domain
        )
        compute = engine.step_seconds * queueing * state.health.slowdown
        seconds = compute + HOPS_PER_STAGE * latency
        if state.ownership is Ownership.OTHER:
            return BORROWED_COST_FACTOR * seconds
        return seconds

    def has_capacity(
        self,
        state: EndpointState,
        now: float,
        excluded: Container[str] = NO_ENDPOINTS,
    ) -> bool:
        """Return whether this node may open one more stream at an engine.

        A node uses its own engines up to their stream limit, shared engines
        up to an equal share, and both shared and other nodes' engines while
        the total stays below ``BORROWABLE_SHARE`` of the limit.  Other nodes'
        engines also need a recent load report of their owner.  Reports lag
        behind, so an engine may still refuse the stream as busy.
        """
        if state.engine is None or state.name in excluded:
            return False
        if not self.accepts_work(state, now):
            return False
        limit = state.health.allowed_streams(state.stream_limit, now)
        open_streams = self.known_streams(state)
        if state.ownership is Ownership.OWN:
            return open_streams < limit
        if state.ownership is Ownership.OTHER:
            has_owner_report = self.peers.has_owner_load(state.index, now)
            return has_owner_report and open_streams < BORROWABLE_SHARE * limit
        equal_share = limit / self.peers.live_nodes
        return (
            state.streams < equal_share
            or open_streams < BORROWABLE_SHARE * limit
        )

    def known_streams(self, state: EndpointState) -> int:
        """Return the number of streams of all nodes at an engine, as known.

        An owner's count already includes the streams that this node had
        open when the count was taken, so the two are not added.
        """
        if state.ownership is Ownership.OTHER:
            reported = self.peers.owner_streams(state.index)
            return max(reported, state.streams)
        return state.streams + self.peers.streams_at(state.index)

    def _extend(
        self,
        partial_routes: dict[int, _PartialRoute],
        prefix: _PartialRoute,
        group: EndpointGroup,
        now: float,
        excluded: Container[str],
    ) -> None:
        best = partial_routes.get(group.layers.end)
        for state in self._sample(group, prefix.rank):
            if not self.has_capacity(state, now, excluded):
                continue
            cost = prefix.cost + self._stage_cost(prefix, state)
            if best is None or cost < best.cost:
                best = prefix.extended_with(state, cost)
        if best:
            partial_routes[group.layers.end] = best

    def _stage_cost(self, prefix: _PartialRoute, state: EndpointState) -> float:
        engine = state.engine
        if engine is None:
            return 0
        seconds = self.expected_seconds(state, engine)
        if prefix.is_misaligned_with(state):
            return seconds + MISALIGNMENT_STEPS * engine.step_seconds
        return seconds

    def _sample(
        self,
        group: EndpointGroup,
        rank: int | None,
    ) -> list[EndpointState]:
        members = group.members
        if len(members) <= SAMPLE_SIZE:
            return members
        sampled = self.rng.sample(members, SAMPLE_SIZE)
        if rank is not None and rank < len(members):
            sampled.append(members[rank])
        return sampled

    def _replica_cost(self, state: EndpointState) -> tuple[int, float]:
        latency = self.registry.link_seconds(
            self.failure_domain, state.failure_domain
        )
        return (state.streams, latency)
