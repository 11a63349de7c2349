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

MIN_BUSY_BACKOFF_SECONDS = 0.1
MAX_BUSY_BACKOFF_SECONDS = 0.8
RETIRED_INDEX = -1
LATENCY_TARGET_SHARE = 0.75
BATCHES_PER_STAGE = 2


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
    how many all nodes together should.  Up to ``pipeline_streams`` do not
    wait for each other, since each is at another stage or in one batch.
    ``rank`` is its position in its group, ``index`` in the configuration.
    """

    __slots__ = (
        'address',
        'busy_backoff_seconds',
        'busy_until',
        'engine',
        'failure_domain',
        'health',
        'index',
        'leaving',
        'name',
        'ownership',
        'pipeline_streams',
        'rank',
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
        self.pipeline_streams = 1
        self.ownership = Ownership.SHARED
        self.rank = 0
        self.busy_until: float = 0
        self.busy_backoff_seconds = MIN_BUSY_BACKOFF_SECONDS

    def back_off(self, now: float) -> None:
        """Leave the endpoint alone after it was full, longer each time."""
        if now >= self.busy_until:
            recently_busy = (
                now < self.busy_until + 2 * self.busy_backoff_seconds
            )
            backoff = (
                2 * self.busy_backoff_seconds
                if recently_busy
                else MIN_BUSY_BACKOFF_SECONDS
            )
            self.busy_backoff_seconds = min(MAX_BUSY_BACKOFF_SECONDS, backoff)
            self.busy_until = now + self.busy_backoff_seconds


class EndpointGroup:
    """The engines of one model with one layer range in one domain."""

    __slots__ = ('failure_domain', 'layers', 'members')

    def __init__(self, layers: LayerRange, failure_domain: str) -> None:
        self.layers = layers
        self.failure_domain = failure_domain
        self.members: list[EndpointState] = []

    def assign_ranks(self) -> None:
        """Give each member its place, engines of one kind together.

        Engines at the same place of groups that follow each other are meant
        to serve the same streams.
        """
        self.members.sort(key=attrgetter('engine.accelerator', 'name'))
        for rank, state in enumerate(self.members):
            state.rank = rank

    def assign_owners(self, node: str, nodes: list[str]) -> list[EndpointState]:
        """Split the members over nodes, and give those of one of them."""
        if not nodes or len(self.members) < len(nodes):
            for shared in self.members:
                shared.ownership = Ownership.SHARED
            return []
        own: list[EndpointState] = []
        for position, state in enumerate(self.members):
            state.ownership = Ownership.OTHER
            if nodes[position % len(nodes)] == node:
                state.ownership = Ownership.OWN
                own.append(state)
        return own


class EndpointRegistry:
    """All endpoints of the configuration in force, indexed for choices.

    ``groups`` maps a model's name to its groups in order of first layer,
    ``replicas`` a service's name to its endpoints.  Adopting a
    configuration keeps the state of the endpoints that stay.
    """

    __slots__ = ('endpoints', 'groups', 'links', 'owned', 'replicas')

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointState] = {}
        self.groups: dict[str, list[EndpointGroup]] = {}
        self.replicas: dict[str, list[EndpointState]] = {}
        self.links: dict[tuple[str, str], float] = {}
        self.owned: list[EndpointState] = []

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
            self._get_or_create_state(known, engine, engine)
        for replica in configuration.replicas:
            state = self._get_or_create_state(known, replica)
            self.replicas.setdefault(replica.service, []).append(state)
        for index, state in enumerate(self.endpoints.values()):
            state.index = index
        for name, retired in known.items():
            if retired.streams and name not in self.endpoints:
                retired.index = RETIRED_INDEX
                self.endpoints[name] = retired
        for link in configuration.links:
            self.links[link.one, link.other] = link.seconds
            self.links[link.other, link.one] = link.seconds
        self._set_stream_limits(configuration)
        self._build_groups(configuration)

    def assign_owners(
        self,
        node: str,
        nodes_by_domain: dict[str, list[str]],
    ) -> None:
        """Split each group's engines over the nodes of its failure domain.

        All nodes that know of the same nodes come to the same split.  A
        group with fewer engines than nodes is shared by all.
        """
        self.owned = []
        for group in itertools.chain.from_iterable(self.groups.values()):
            nodes = sorted(nodes_by_domain.get(group.failure_domain, ()))
            self.owned.extend(group.assign_owners(node, nodes))

    def link_seconds(self, one: str, other: str) -> float:
        """Give the one-way latency between two failure domains."""
        return self.links.get((one, other), 0)

    def _get_or_create_state(
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

    def _set_stream_limits(self, configuration: Configuration) -> None:
        models = {model.name: model for model in configuration.models}
        for engine in configuration.engines:
            model = models[engine.model]
            state = self.endpoints[engine.name]
            state.pipeline_streams = pipeline_streams(engine, model)
            state.stream_limit = stream_limit(engine, model)

    def _build_groups(self, configuration: Configuration) -> None:
        groups_by_key: dict[tuple[str, LayerRange, str], EndpointGroup] = {}
        self.groups = {model.name: [] for model in configuration.models}
        for engine in configuration.engines:
            group_key = (engine.model, engine.layers, engine.failure_domain)
            group = groups_by_key.get(group_key)
            if group is None:
                group = EndpointGroup(engine.layers, engine.failure_domain)
                groups_by_key[group_key] = group
                self.groups[engine.model].append(group)
            group.members.append(self.endpoints[engine.name])
        for groups in self.groups.values():
            groups.sort(key=lambda member: member.layers)
            for group in groups:
                group.assign_ranks()


def stream_limit(engine: Engine, model: Model) -> int:
    """Give how many streams an engine should hold at once.

    With more streams than its rate serves within the target between two
    tokens, each waits longer and none is served faster.  Fewer than a batch
    waiting and a batch running on every stage leave stages idle.
    """
    rate = engine.max_batch / engine.step_seconds
    within_target = LATENCY_TARGET_SHARE * model.between_tokens_seconds * rate
    pipeline_fill = BATCHES_PER_STAGE * pipeline_streams(engine, model)
    return min(engine.max_streams, int(max(pipeline_fill, within_target)))


def pipeline_streams(engine: Engine, model: Model) -> int:
    """Give a batch for each stage of a route of such layer ranges."""
    width = engine.layers.end - engine.layers.first
    return math.ceil(model.layers / width) * engine.max_batch
