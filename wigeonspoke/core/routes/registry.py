"""The state that a node keeps for each endpoint."""

import enum
import itertools
import math
from operator import attrgetter

from wigeonspoke.core.deployment import (
    Configuration,
    Engine,
    LayerRange,
    Model,
    ServiceReplica,
)
from wigeonspoke.core.health import EndpointHealth

FULL_SECONDS = 0.1
MAX_FULL_SECONDS = 0.8
RETIRED = -1
LATENCY_SHARE = 0.75
STAGE_BATCHES = 2


@enum.unique
class Ownership(enum.StrEnum):
    """Whose streams an engine's room is for.

    ``OWN``: this node's; ``OTHER``: another's, to be borrowed from;
    ``SHARED``: that of all nodes alike.
    """

    OWN = 'own'
    OTHER = 'other'
    SHARED = 'shared'


class EndpointState:
    """An engine or service replica, as this node sees it.

    ``streams`` counts what this node has open there, ``stream_limit`` is
    how many all nodes together should.  Up to ``free_streams`` do not
    wait for each other, since each is at another stage or in one batch.
    ``place`` is its position in its group, ``index`` in the configuration.
    """

    __slots__ = (
        'address',
        'engine',
        'failure_domain',
        'free_streams',
        'full_seconds',
        'full_until',
        'health',
        'index',
        'leaving',
        'name',
        'ownership',
        'place',
        'stream_limit',
        'streams',
    )

    def __init__(
        self,
        name: str,
        address: str,
        failure_domain: str,
        engine: Engine | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.engine = engine
        self.health = EndpointHealth(engine.step_seconds if engine else 0)
        self.leaving = False
        self.index = 0
        self.streams = 0
        self.stream_limit = 0
        self.free_streams = 1
        self.ownership = Ownership.SHARED
        self.place = 0
        self.full_until: float = 0
        self.full_seconds = FULL_SECONDS

    def note_busy(self, now: float) -> None:
        """Leave the endpoint alone after it was full, longer each time."""
        if now >= self.full_until:
            again = now < self.full_until + 2 * self.full_seconds
            grown = 2 * self.full_seconds if again else FULL_SECONDS
            self.full_seconds = min(MAX_FULL_SECONDS, grown)
            self.full_until = now + self.full_seconds


class EndpointGroup:
    """The engines of one model with one layer range in one domain."""

    __slots__ = ('failure_domain', 'layers', 'members')

    def __init__(self, layers: LayerRange, failure_domain: str) -> None:
        self.layers = layers
        self.failure_domain = failure_domain
        self.members: list[EndpointState] = []

    def number_places(self) -> None:
        """Give each member its place, engines of one kind together.

        Engines at the same place of groups that follow each other are meant
        to serve the same streams.
        """
        self.members.sort(key=attrgetter('engine.accelerator', 'name'))
        for place, state in enumerate(self.members):
            state.place = place

    def assign(self, node: str, nodes: list[str]) -> list[EndpointState]:
        """Split the members over nodes, and give those of one of them."""
        if not nodes or len(self.members) < len(nodes):
            for shared in self.members:
                shared.ownership = Ownership.SHARED
            return []
        own: list[EndpointState] = []
        for number, state in enumerate(self.members):
            state.ownership = Ownership.OTHER
            if nodes[number % len(nodes)] == node:
                state.ownership = Ownership.OWN
                own.append(state)
        return own


class EndpointRegistry:
    """All endpoints of the configuration in force, indexed for choices.

    ``groups`` maps a model's name to its groups in order of first layer,
    ``replicas`` a service's name to its endpoints.  Adopting a
    configuration keeps the state of the endpoints that stay.
    """

    __slots__ = ('endpoints', 'groups', 'links', 'own', 'replicas')

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointState] = {}
        self.groups: dict[str, list[EndpointGroup]] = {}
        self.replicas: dict[str, list[EndpointState]] = {}
        self.links: dict[tuple[str, str], float] = {}
        self.own: list[EndpointState] = []

    def adopt(self, configuration: Configuration) -> None:
        """Take over a configuration's endpoints and links.

        An endpoint that is no longer named but still has streams keeps its
        state, out of reach of new choices.
        """
        known = self.endpoints
        self.endpoints = {}
        self.replicas = {}
        self.links = {}
        for engine in configuration.engines:
            self._keep(known, engine, engine)
        for replica in configuration.replicas:
            kept = self._keep(known, replica)
            self.replicas.setdefault(replica.service, []).append(kept)
        for index, state in enumerate(self.endpoints.values()):
            state.index = index
        for name, leftover in known.items():
            if leftover.streams and name not in self.endpoints:
                leftover.index = RETIRED
                self.endpoints[name] = leftover
        for link in configuration.links:
            self.links[link.one, link.other] = link.seconds
            self.links[link.other, link.one] = link.seconds
        self._limit(configuration)
        self._group(configuration)

    def assign_owners(
        self,
        node: str,
        nodes_by_domain: dict[str, list[str]],
    ) -> None:
        """Split each group's engines over the nodes of its failure domain.

        All nodes that know of the same nodes come to the same split.  A
        group with fewer engines than nodes is shared by all.
        """
        self.own = []
        for group in itertools.chain.from_iterable(self.groups.values()):
            nodes = sorted(nodes_by_domain.get(group.failure_domain, ()))
            self.own.extend(group.assign(node, nodes))

    def link_seconds(self, one: str, other: str) -> float:
        """Give the one-way latency between two failure domains."""
        return self.links.get((one, other), 0)

    def _keep(
        self,
        known: dict[str, EndpointState],
        record: Engine | ServiceReplica,
        engine: Engine | None = None,
    ) -> EndpointState:
        state = known.get(record.name)
        if state is None or state.engine != engine:
            streams = state.streams if state else 0
            state = EndpointState(
                record.name,
                record.address,
                record.failure_domain,
                engine,
            )
            state.streams = streams
        self.endpoints[record.name] = state
        return state

    def _limit(self, configuration: Configuration) -> None:
        models = {model.name: model for model in configuration.models}
        for engine in configuration.engines:
            model = models[engine.model]
            state = self.endpoints[engine.name]
            state.free_streams = free_streams(engine, model)
            state.stream_limit = stream_limit(engine, model)

    def _group(self, configuration: Configuration) -> None:
        found: dict[tuple[str, LayerRange, str], EndpointGroup] = {}
        self.groups = {model.name: [] for model in configuration.models}
        for engine in configuration.engines:
            place = (engine.model, engine.layers, engine.failure_domain)
            group = found.get(place)
            if group is None:
                group = EndpointGroup(engine.layers, engine.failure_domain)
                found[place] = group
                self.groups[engine.model].append(group)
            group.members.append(self.endpoints[engine.name])
        for groups in self.groups.values():
            groups.sort(key=lambda member: member.layers)
            for aligned in groups:
                aligned.number_places()


def stream_limit(engine: Engine, model: Model) -> int:
    """Give how many streams an engine should hold at once.

    With more streams than its rate serves within the target between two
    tokens, each waits longer and none is served faster.  Fewer than a batch
    waiting and a batch running on every stage leave stages idle.
    """
    rate = engine.max_batch / engine.step_seconds
    timely = LATENCY_SHARE * model.between_tokens_seconds * rate
    filling = STAGE_BATCHES * free_streams(engine, model)
    return min(engine.max_streams, int(max(filling, timely)))


def free_streams(engine: Engine, model: Model) -> int:
    """Give a batch for each stage of a route of such layer ranges."""
    width = engine.layers.end - engine.layers.first
    return math.ceil(model.layers / width) * engine.max_batch
