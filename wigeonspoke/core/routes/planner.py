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

import math
import random
from collections.abc import Container

from returns.result import Success

from wigeonspoke.core.deployment import Engine, LayerRange, Model
from wigeonspoke.core.membership import MarkRegistry, MarkState, PeerRegistry
from wigeonspoke.core.routes.held_prompts import (
    NO_PROMPT,
    HeldPrompts,
    PromptDemand,
    saved_steps,
)
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

    ``rank`` is the rank of the last stage's engine in its group.  ``held`` is
    the beginning of the prompt that all stages hold, in tokens, and ``saved``
    the time per generated token that this saves.
    """

    __slots__ = ('cost', 'held', 'rank', 'saved', 'stages')

    def __init__(
        self,
        cost: float,
        stages: tuple[Engine, ...],
        rank: int | None = None,
        held: float = math.inf,
        saved: float = 0,
    ) -> None:
        self.cost = cost
        self.held = held
        self.saved = saved
        self.stages = stages
        self.rank = rank

    @property
    def total_cost(self) -> float:
        """Return the cost less what is saved."""
        return self.cost - self.saved

    def extended_with(
        self, state: EndpointState, cost: float, held: int, token_share: float
    ) -> '_PartialRoute':
        """Return a copy with one more stage and the given total cost.

        A stage that holds less of the prompt needs the activations of the
        rest, so that the stages before it save nothing by them.
        ``token_share`` is the part of the saved time that counts for each
        generated token.
        """
        if state.engine is None:
            return self
        common = min(self.held, held)
        saved = self.saved * common / self.held if self.saved else 0
        if common:
            step = state.engine.step_seconds * state.health.slowdown
            saved += step * saved_steps(common) * token_share
        return _PartialRoute(
            cost, (*self.stages, state.engine), state.rank, common, saved
        )

    def is_misaligned_with(self, state: EndpointState) -> bool:
        """Return whether an engine's rank differs from the last stage's."""
        return self.rank not in {None, state.rank}


class RoutePlanner:
    """Selects endpoints by their health, marks, load and distance.

    ``failure_domain`` is the failure domain of this node.
    """

    __slots__ = (
        'failure_domain',
        'held_prompts',
        'marks',
        'peers',
        'registry',
        'rng',
    )

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
        self.held_prompts = HeldPrompts()

    def choose_route(
        self,
        model: Model,
        now: float,
        excluded: Container[str] = NO_ENDPOINTS,
        prompt: PromptDemand = NO_PROMPT,
    ) -> Route | None:
        """Return the cheapest sampled route with capacity, if there is one."""
        if not self._is_held_by_a_route(model, prompt):
            prompt = NO_PROMPT
        partial_routes = {0: _PartialRoute(0, ())}
        for group in self.registry.groups.get(model.name, ()):
            prefix = partial_routes.get(group.layers.first)
            if prefix:
                self._extend(
                    partial_routes, prefix, group, now, excluded, prompt
                )
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
        prompt: PromptDemand = NO_PROMPT,
    ) -> None:
        best = partial_routes.get(group.layers.end)
        for state in self._sample(group, prefix.rank, prompt):
            if not self.has_capacity(state, now, excluded):
                continue
            extended = prefix.extended_with(
                state,
                prefix.cost + self._stage_cost(prefix, state),
                self._held_tokens(state, prompt, now),
                1 / prompt.answer_tokens,
            )
            if best is None or extended.total_cost < best.total_cost:
                best = extended
        if best:
            partial_routes[group.layers.end] = best

    def _is_held_by_a_route(self, model: Model, prompt: PromptDemand) -> bool:
        """Return whether engines of all layers may hold a beginning.

        Otherwise nothing can be saved by what some of them hold.
        """
        if not prompt.prefixes:
            return False
        reached = {0}
        ranges: list[LayerRange] = []
        for name in self.held_prompts.index.holders(prompt.prefixes):
            state = self.registry.endpoints.get(name)
            if state is not None and state.engine is not None:
                ranges.append(state.engine.layers)
        for layers in sorted(ranges):
            if layers.first in reached:
                reached.add(layers.end)
        return model.layers in reached

    def _held_tokens(
        self, state: EndpointState, prompt: PromptDemand, now: float
    ) -> int:
        """Return the beginning of a prompt that an engine holds, in tokens.

        It is no reason to choose an engine whose streams queue for each other
        already: the saved time comes once, the wait with each token.
        """
        if not prompt.prefixes:
            return 0
        if self.known_streams(state) >= state.pipeline_streams:
            return 0
        index = self.held_prompts.index
        return index.held_tokens(state.name, prompt.prefixes, now)

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
        prompt: PromptDemand,
    ) -> list[EndpointState]:
        members = group.members
        if len(members) <= SAMPLE_SIZE:
            return members
        sampled = self.rng.sample(members, SAMPLE_SIZE)
        if rank is not None and rank < len(members):
            sampled.append(members[rank])
        if prompt.prefixes:
            holders = self.held_prompts.index.holders(prompt.prefixes)
            held_by = [each for each in members if each.name in holders]
            sampled.extend(held_by[:SAMPLE_SIZE])
        return sampled

    def _replica_cost(self, state: EndpointState) -> tuple[int, float]:
        latency = self.registry.link_seconds(
            self.failure_domain, state.failure_domain
        )
        return (state.streams, latency)
