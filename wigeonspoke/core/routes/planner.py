"""Choice of the route with the least expected time for a token.

Engines of one model with one range of layers in one failure domain form a
group.  In each group the planner looks at a few members and keeps the best;
over the groups it finds the cheapest tiling, from the first layer on.  The
cost of a choice therefore grows with the number of groups, not of engines.

Streams that share a batch on one stage come to the next one together.  The
planner keeps them together by preferring engines at the same place of their
groups, so that batches stay full with few streams in flight.
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

SAMPLE_SIZE = 2
HOPS_PER_STAGE = 2
LENT_SHARE = 0.6
BORROWING_FACTOR = 1.5
CROSSING_COST = 1
NOBODY: frozenset[str] = frozenset()


class _Chain:
    """The cheapest chain found so far from layer 0 to some layer."""

    __slots__ = ('cost', 'place', 'stages')

    def __init__(
        self,
        cost: float,
        stages: tuple[Engine, ...],
        place: int | None = None,
    ) -> None:
        self.cost = cost
        self.stages = stages
        self.place = place

    def followed_by(self, state: EndpointState, cost: float) -> '_Chain':
        """Give the chain with one more engine, of a total cost."""
        if state.engine is None:
            return self
        return _Chain(cost, (*self.stages, state.engine), state.place)

    def crosses_to(self, state: EndpointState) -> bool:
        """Tell whether an engine is not the one meant to follow."""
        return self.place not in {None, state.place}


class RoutePlanner:
    """Chooses endpoints from what the node knows of them and its peers."""

    __slots__ = ('home', 'marks', 'peers', 'random', 'registry')

    def __init__(
        self,
        home: str,
        registry: EndpointRegistry,
        marks: MarkRegistry,
        peers: PeerRegistry,
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

    def choose_stage(
        self,
        model: Model,
        layers: LayerRange,
        now: float,
        avoid: Container[str] = NOBODY,
    ) -> Engine | None:
        """Give the best engine with room for one range of layers."""
        best: dict[int, _Chain] = {}
        start = _Chain(0, ())
        for group in self.registry.groups.get(model.name, ()):
            if group.layers == layers:
                self._extend(best, start, group, now, avoid)
        found = best.get(layers.end)
        return found.stages[0] if found else None

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
        marked = self.marks.state(state.name) is not MarkState.ACTIVE
        if marked or state.leaving:
            return False
        return state.health.is_usable(now) and state.full_until <= now

    def expected_seconds(self, state: EndpointState, engine: Engine) -> float:
        """Give the expected time of one token's step at an engine."""
        load = self.streams_at(state) + 1
        queueing = max(1, load / state.free_streams)
        link = self.registry.link_seconds(self.home, state.failure_domain)
        busy = engine.step_seconds * queueing * state.health.slowness
        seconds = busy + HOPS_PER_STAGE * link
        if state.ownership is Ownership.OTHER:
            return BORROWING_FACTOR * seconds
        return seconds

    def has_room(
        self,
        state: EndpointState,
        now: float,
        avoid: Container[str] = NOBODY,
    ) -> bool:
        """Tell whether this node may open one more stream at an engine.

        A node fills its own engines, uses its part of shared ones, and
        borrows what others leave unused.  What it knows of its peers is a
        little old; an engine's own refusal is the truth.
        """
        if state.engine is None or state.name in avoid:
            return False
        if not self.accepts_work(state, now):
            return False
        limit = state.health.allowed_streams(state.stream_limit, now)
        taken = self.streams_at(state)
        if state.ownership is Ownership.OWN:
            return taken < limit
        if state.ownership is Ownership.OTHER:
            known = self.peers.has_owner_load(state.index, now)
            return known and taken < LENT_SHARE * limit
        part = limit / self.peers.live_nodes
        return state.streams < part or taken < LENT_SHARE * limit

    def streams_at(self, state: EndpointState) -> int:
        """Give the streams of all nodes at an engine, as far as known.

        An owner's count of its engine has in it what this node had there
        when it was taken.
        """
        if state.ownership is Ownership.OTHER:
            told = self.peers.owner_streams(state.index)
            return max(told, state.streams)
        return state.streams + self.peers.streams_at(state.index)

    def _extend(
        self,
        chains: dict[int, _Chain],
        start: _Chain,
        group: EndpointGroup,
        now: float,
        avoid: Container[str],
    ) -> None:
        best = chains.get(group.layers.end)
        for state in self._sample(group, start.place):
            if not self.has_room(state, now, avoid):
                continue
            cost = start.cost + self._stage_cost(start, state)
            if best is None or cost < best.cost:
                best = start.followed_by(state, cost)
        if best:
            chains[group.layers.end] = best

    def _stage_cost(self, start: _Chain, state: EndpointState) -> float:
        engine = state.engine
        if engine is None:
            return 0
        seconds = self.expected_seconds(state, engine)
        if start.crosses_to(state):
            return seconds + CROSSING_COST * engine.step_seconds
        return seconds

    def _sample(
        self,
        group: EndpointGroup,
        place: int | None,
    ) -> list[EndpointState]:
        members = group.members
        if len(members) <= SAMPLE_SIZE:
            return members
        sampled = self.random.sample(members, SAMPLE_SIZE)
        if place is not None and place < len(members):
            sampled.append(members[place])
        return sampled

    def _replica_cost(self, state: EndpointState) -> tuple[int, float]:
        link = self.registry.link_seconds(self.home, state.failure_domain)
        return (state.streams, link)
