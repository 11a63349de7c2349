"""A node's view of the cluster: configuration, endpoints and peers."""

import random

import msgspec

from wigeonspoke.core.actions import Note
from wigeonspoke.core.admission import AccountLimits
from wigeonspoke.core.deployment import Configuration, Model, Service
from wigeonspoke.core.membership import (
    Departure,
    MarkRegistry,
    PeerRegistry,
    PeerReport,
)
from wigeonspoke.core.outcomes import Reason
from wigeonspoke.core.routes import (
    EndpointRegistry,
    EndpointState,
    RoutePlanner,
)

EJECTING_REASONS = frozenset(
    (
        Reason.CONNECT,
        Reason.CONTRACT,
        Reason.RESET,
        Reason.TIMEOUT,
    )
)


class ClusterView:
    """The cluster state shared by generation and service calls.

    ``failure_domain`` is the domain that this node runs in.  ``counters``
    holds event counts for the metrics, by name and reason.  ``ejected`` holds
    the names of the endpoints that are excluded after a failure.
    """

    __slots__ = (
        'configuration',
        'counters',
        'ejected',
        'failure_domain',
        'is_stopping',
        'limits',
        'marks',
        'models',
        'node',
        'notes',
        'peers',
        'planner',
        'registry',
        'services',
    )

    def __init__(
        self, node: str, failure_domain: str, rng: random.Random
    ) -> None:
        self.node = node
        self.failure_domain = failure_domain
        self.configuration: Configuration | None = None
        self.models: dict[str, Model] = {}
        self.services: dict[str, Service] = {}
        self.registry = EndpointRegistry()
        self.marks = MarkRegistry()
        self.peers = PeerRegistry()
        self.limits = AccountLimits()
        self.is_stopping = False
        self.ejected: set[str] = set()
        self.notes: list[Note] = []
        self.counters: dict[tuple[str, str], int] = {}
        self.planner = RoutePlanner(
            failure_domain,
            self.registry,
            self.marks,
            self.peers,
            rng,
        )

    @property
    def generation(self) -> int:
        """The generation of the current configuration, or 0 without one."""
        return self.configuration.generation if self.configuration else 0

    def endpoint(self, name: str) -> EndpointState | None:
        """Return the state of an endpoint, or ``None`` if it is unknown."""
        return self.registry.endpoints.get(name)

    def adopt(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if configuration.generation <= self.generation:
            self.count('configuration_ignored', 'not-newer')
            return False
        self.configuration = configuration
        self.models = {model.name: model for model in configuration.models}
        self.services = {
            service.name: service for service in configuration.services
        }
        self.registry.adopt(configuration)
        self.peers.clear_loads()
        self._assign_owners()
        self.limits.adopt(configuration.accounts)
        self.count('configuration_adopted', 'newer')
        self.note('configuration-adopted', detail=str(self.generation))
        return True

    def count(self, name: str, reason: str) -> None:
        """Increment the counter for a name and a reason."""
        known = self.counters.get((name, reason), 0)
        self.counters[name, reason] = known + 1

    def update_leaving_hosts(self, leaving: tuple[str, ...]) -> None:
        """Replace the set of hosts that are leaving."""
        hosts = frozenset(leaving)
        for state in self.registry.endpoints.values():
            was_leaving = state.is_leaving
            address, _, _ = state.address.rpartition(':')
            state.is_leaving = bool(hosts & {address, state.address})
            if state.is_leaving and not was_leaving:
                self.count('host_leaving', 'platform')
                self.note('host-leaving', state.name)

    def update_peer(self, report: PeerReport, now: float) -> None:
        """Apply a peer's report; ignore loads of another generation."""
        joined = report.node not in self.peers.peers
        if report.generation != self.generation:
            report = msgspec.structs.replace(report, loads=(), own_loads=())
        self.peers.update(report, now)
        if joined:
            self.note('peer-joined', report.node)
            self._assign_owners()

    def remove_stale_peers(self, now: float) -> None:
        """Remove the peers without a recent report."""
        self._record_lost_peers(self.peers.remove_stale(now), 'silent')

    def remove_departed_peers(self, departures: tuple[Departure, ...]) -> None:
        """Remove peers that did not answer this node or another one."""
        self._record_lost_peers(
            self.peers.apply_departures(departures), 'no-answer'
        )

    def eject(self, state: EndpointState, reason: Reason, now: float) -> None:
        """Exclude a failed endpoint from new work until a probe succeeds."""
        if state.health.record_failure(reason.value, now):
            self.ejected.add(state.name)
            self.planner.held_prompts.index.end_run(state.name)
            self.count('endpoint_ejected', reason.value)
            self.note('endpoint-ejected', state.name, detail=reason.value)

    def handle_probe_result(self, name: str, healthy: bool, now: float) -> bool:
        """Apply a probe result; return whether it ended the ejection."""
        state = self.endpoint(name)
        if state is None:
            self.ejected.discard(name)
            return False
        if not state.health.record_probe(healthy, now):
            return False
        self.ejected.discard(name)
        self.count('endpoint_returned', 'probe')
        self.note('endpoint-returned', name)
        return True

    def endpoints_to_probe(self, now: float) -> list[str]:
        """Return the names of the ejected endpoints that are due a probe."""
        known = [self.endpoint(name) for name in sorted(self.ejected)]
        return [
            state.name
            for state in known
            if state and state.health.start_probe_if_due(now)
        ]

    def note(
        self,
        kind: str,
        peer: str = '',
        request_id: str = '',
        detail: str = '',
    ) -> None:
        """Queue a change of state for the timeline."""
        self.notes.append(Note(kind, peer, request_id, detail))

    def drain_notes(self) -> list[Note]:
        """Return and clear the queued notes."""
        notes = self.notes
        self.notes = []
        return notes

    def _assign_owners(self) -> None:
        nodes = self.peers.nodes_by_domain()
        nodes.setdefault(self.failure_domain, []).append(self.node)
        self.registry.assign_owners(self.node, nodes)

    def _record_lost_peers(self, lost: tuple[str, ...], reason: str) -> None:
        for peer in lost:
            self.count('peer_forgotten', reason)
            self.note('peer-lost', peer, detail=reason)
        if lost:
            self._assign_owners()
