"""Choice of the route with the least expected time for a token.

Engines of one model with one range of layers in one failure domain form a
group.  In each group the planner looks at a few members and keeps the best;
over the groups it finds the cheapest tiling, from the first layer on.  The
cost of a choice therefore grows with the number of groups, not of engines.
"""

import random
from collections.abc import Container

from returns.result import Success

from wigeonspoke.core.deployment import Engine, Model
from wigeonspoke.core.membership import MarkBook, MarkState, PeerBook
from wigeonspoke.core.routes.registry import (
    EndpointGroup,
    EndpointRegistry,
    EndpointState,
)
from wigeonspoke.core.routes.route import Route, build_route

SAMPLE_SIZE = 2
HOPS_PER_STAGE = 2
NOBODY: frozenset[str] = frozenset()


class _Chain:
    """The cheapest chain found so far from layer 0 to some layer."""

    __slots__ = ('cost', 'stages')

    def __init__(self, cost: float, stages: tuple[Engine, ...]) -> None:
        self.cost = cost
        self.stages = stages


class RoutePlanner:
    """Chooses endpoints from what the node knows of them and its peers."""

    __slots__ = ('home', 'marks', 'peers', 'random', 'registry')

    def __init__(
        self,
        home: str,
        registry: EndpointRegistry,
        marks: MarkBook,
        peers: PeerBook,
        chance: random.Random,
    ) -> None:
        self.home = home
        self.registry = registry
        self.marks = marks
        self.peers = peers
        self.random = chance

    def choose(
        self,
        model: Model,
        now: float,
        avoid: Container[str] = NOBODY,
    ) -> Route | None:
        """Give the cheapest route with room on every stage, if any."""
        chains = {0: _Chain(0, ())}
        for group in self.registry.groups.get(model.name, ()):
            start = chains.get(group.layers.first)
            if start:
                self._extend(chains, start, group, now, avoid)
        whole = chains.get(model.layers)
        if whole is None:
            return None
        route = build_route(whole.stages, model.layers)
        return route.unwrap() if isinstance(route, Success) else None

    def choose_replica(
        self,
        service: str,
        now: float,
        avoid: Container[str] = NOBODY,
    ) -> EndpointState | None:
        """Give the least busy usable replica, the nearest among equals."""
        usable = [
            state
            for state in self.registry.replicas.get(service, ())
            if state.name not in avoid and self.accepts_work(state, now)
        ]
        if not usable:
            return None
        self.random.shuffle(usable)
        return min(usable, key=self._replica_cost)

    def accepts_work(self, state: EndpointState, now: float) -> bool:
        """Tell whether new work may go to an endpoint at all."""
        if self.marks.state(state.name) is not MarkState.ACTIVE:
            return False
        return state.health.is_usable(now) and state.full_until <= now

    def expected_seconds(self, state: EndpointState, engine: Engine) -> float:
        """Give the expected time of one token's step at an engine."""
        load = state.streams + self.peers.streams_at(state.name) + 1
        queueing = max(1, load / engine.max_batch)
        link = self.registry.link_seconds(self.home, state.failure_domain)
        busy = engine.step_seconds * queueing * state.health.slowness
        return busy + HOPS_PER_STAGE * link

    def _extend(
        self,
        chains: dict[int, _Chain],
        start: _Chain,
        group: EndpointGroup,
        now: float,
        avoid: Container[str],
    ) -> None:
        best = chains.get(group.layers.end)
        for state in self._sample(group):
            engine = state.engine
            if engine is None or not self._has_room(state, now, avoid):
                continue
            cost = start.cost + self.expected_seconds(state, engine)
            if best is None or cost < best.cost:
                best = _Chain(cost, (*start.stages, engine))
        if best:
            chains[group.layers.end] = best

    def _sample(self, group: EndpointGroup) -> list[EndpointState]:
        if len(group.members) <= SAMPLE_SIZE:
            return group.members
        return self.random.sample(group.members, SAMPLE_SIZE)

    def _has_room(
        self,
        state: EndpointState,
        now: float,
        avoid: Container[str],
    ) -> bool:
        engine = state.engine
        if engine is None or state.name in avoid:
            return False
        if not self.accepts_work(state, now):
            return False
        taken = state.streams + self.peers.streams_at(state.name)
        return taken < state.health.allowed_streams(engine.max_streams, now)

    def _replica_cost(self, state: EndpointState) -> tuple[int, float]:
        link = self.registry.link_seconds(self.home, state.failure_domain)
        return (state.streams, link)
