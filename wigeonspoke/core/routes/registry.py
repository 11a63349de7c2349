"""The state that a node keeps for each endpoint, and its index."""

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

# How long an endpoint that replied busy gets no new work.
MIN_BUSY_BACKOFF_SECONDS = 0.1
MAX_BUSY_BACKOFF_SECONDS = 0.8
# Index of an endpoint that the configuration no longer contains.
RETIRED_INDEX = -1
# Share of the target between two tokens that stream limits plan for.
LATENCY_TARGET_SHARE = 0.75
# Batches for each stage, one running and one waiting, that a limit allows.
BATCHES_PER_STAGE = 2


@enum.unique
class Ownership(enum.StrEnum):
    """Which node has priority on an engine's capacity.

    ``OWN``: this node; ``OTHER``: another node, which lends spare capacity;
    ``SHARED``: no node, all have equal shares.
    """

    OWN = 'own'
    OTHER = 'other'
    SHARED = 'shared'


class EndpointState:
    """An engine or service replica, as known to this node.

    ``streams`` is the number of streams that this node has open, and
    ``stream_limit`` the target maximum for all nodes together.  Up to
    ``pipeline_streams`` streams do not queue for each other, since they are
    at different stages or in the same batch.  ``rank`` is the position in
    the endpoint's group, ``index`` the position in the configuration, and
    ``leaving`` means that the platform has announced its host's departure.
    """

    __slots__ = (
        'address',
        'busy_backoff_seconds',
        'busy_until',
        'engine',
        'failure_domain',
        'health',
        'index',
        'is_leaving',
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
        self.is_leaving = False
        self.index = 0
        self.streams = 0
        self.stream_limit = 0
        self.pipeline_streams = 1
        self.ownership = Ownership.SHARED
        self.rank = 0
        self.busy_until: float = 0
        self.busy_backoff_seconds = MIN_BUSY_BACKOFF_SECONDS

    def back_off(self, now: float) -> None:
        """Send no new work for a while after the endpoint replied busy.

        The delay doubles when the endpoint is busy again soon after the
        previous delay; otherwise it starts from its minimum.
        """
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
    """The engines of a model with the same layers and failure domain."""

    __slots__ = ('failure_domain', 'layers', 'members')

    def __init__(self, layers: LayerRange, failure_domain: str) -> None:
        self.layers = layers
        self.failure_domain = failure_domain
        self.members: list[EndpointState] = []

    def assign_ranks(self) -> None:
        """Rank the members by accelerator and name.

        Engines of equal rank in consecutive groups are preferred for the
        same streams.
        """
        self.members.sort(key=attrgetter('engine.accelerator', 'name'))
        for rank, state in enumerate(self.members):
            state.rank = rank

    def assign_owners(self, node: str, nodes: list[str]) -> list[EndpointState]:
        """Divide the members among ``nodes`` and return those of ``node``.

        With fewer members than nodes, all members are shared.
        """
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
    """All endpoints of the active configuration, indexed for the planner.

    ``groups`` maps a model's name to its groups in order of layer range,
    ``replicas`` a service's name to its endpoints.  ``owned`` lists the
    engines that this node owns.
    """

    __slots__ = ('endpoints', 'groups', 'links', 'owned', 'replicas')

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointState] = {}
        self.groups: dict[str, list[EndpointGroup]] = {}
        self.replicas: dict[str, list[EndpointState]] = {}
        self.links: dict[tuple[str, str], float] = {}
        self.owned: list[EndpointState] = []

    def adopt(self, configuration: Configuration) -> None:
        """Replace the endpoints and links by those of a configuration.

        Endpoints that are in both configurations keep their state; if the
        engine's record changed, only the stream count is kept.  A removed
        endpoint with open streams stays known, so that these can finish, but
        gets no new work.
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
        """Assign each group's engines to the nodes of its failure domain.

        The assignment depends only on the sets of engines and nodes, so
        nodes with the same membership view compute the same one.  A group
        with fewer engines than nodes is shared by all.
        """
        self.owned = []
        for group in itertools.chain.from_iterable(self.groups.values()):
            nodes = sorted(nodes_by_domain.get(group.failure_domain, ()))
            self.owned.extend(group.assign_owners(node, nodes))

    def link_seconds(self, one: str, other: str) -> float:
        """Return the one-way latency between two failure domains.

        Domains without a configured link have latency 0.
        """
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
    """Return the target maximum of concurrent streams at an engine.

    More streams than the engine serves within the target time between two
    tokens add latency but no throughput.  Fewer streams than two batches for
    each stage, one running and one waiting, leave stages idle.  The limit is
    the larger of the two, at most the engine's ``max_streams``.
    """
    rate = engine.max_batch / engine.step_seconds
    within_target = LATENCY_TARGET_SHARE * model.between_tokens_seconds * rate
    pipeline_fill = BATCHES_PER_STAGE * pipeline_streams(engine, model)
    return min(engine.max_streams, int(max(pipeline_fill, within_target)))


def pipeline_streams(engine: Engine, model: Model) -> int:
    """Return the streams that fill one batch on every stage of a route.

    All stages are assumed to have the engine's layer count and batch size.
    """
    width = engine.layers.end - engine.layers.first
    return math.ceil(model.layers / width) * engine.max_batch
