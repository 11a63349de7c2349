"""The state that a node keeps for each endpoint."""

from wigeonspoke.core.deployment import (
    Configuration,
    Engine,
    LayerRange,
    ServiceReplica,
)
from wigeonspoke.core.health import EndpointHealth

FULL_SECONDS = 0.1


class EndpointState:
    """An engine or service replica, as this node sees it.

    ``streams`` counts what this node has open there.
    """

    __slots__ = (
        'address',
        'engine',
        'failure_domain',
        'full_until',
        'health',
        'name',
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
        self.streams = 0
        self.full_until = 0

    def note_busy(self, now: float) -> None:
        """Leave the endpoint alone for a moment after it was full."""
        self.full_until = now + FULL_SECONDS


class EndpointGroup:
    """The engines of one model with one layer range in one domain."""

    __slots__ = ('failure_domain', 'layers', 'members')

    def __init__(self, layers: LayerRange, failure_domain: str) -> None:
        self.layers = layers
        self.failure_domain = failure_domain
        self.members: list[EndpointState] = []


class EndpointRegistry:
    """All endpoints of the configuration in force, indexed for choices.

    ``groups`` maps a model's name to its groups in order of first layer,
    ``replicas`` a service's name to its endpoints.  Adopting a
    configuration keeps the state of the endpoints that stay.
    """

    __slots__ = ('endpoints', 'groups', 'links', 'replicas')

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointState] = {}
        self.groups: dict[str, list[EndpointGroup]] = {}
        self.replicas: dict[str, list[EndpointState]] = {}
        self.links: dict[tuple[str, str], float] = {}

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
            state = self._keep(known, replica)
            self.replicas.setdefault(replica.service, []).append(state)
        for name, leftover in known.items():
            if leftover.streams:
                self.endpoints.setdefault(name, leftover)
        for link in configuration.links:
            self.links[link.one, link.other] = link.seconds
            self.links[link.other, link.one] = link.seconds
        self._group(configuration)

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
