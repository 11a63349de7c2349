"""Selection of a chain for a request.

Each failure domain normally holds one or more copies of the model and has its
own clients, so a request goes to a chain of its own domain.  If these are
broken, deprioritized or full, the whole request goes to the least loaded chain
of another domain.  Requests are not split across domains, because the
activations of a prompt would saturate the link between domains, while the
text of a response does not.
"""

from collections import Counter
from collections.abc import Callable, Collection

import msgspec

from wigeonspoke.core.availability import EndpointAvailability
from wigeonspoke.core.chains.capacity import estimate_capacities
from wigeonspoke.core.chains.concurrency_limits import ChainConcurrencyLimits
from wigeonspoke.core.chains.demand import RequestDemand
from wigeonspoke.core.chains.paths import (
    Chain,
    explain_missing_chain,
    find_chain,
    find_chains,
)
from wigeonspoke.core.chains.peer_load import PeerLoad
from wigeonspoke.core.chains.suspicion import SuspectRegistry
from wigeonspoke.core.fleet import Endpoint, EngineProfile, Fleet


class CachedChains(msgspec.Struct):
    """The chains of a service and the input versions they depend on.

    ``capacities`` holds the requests that a chain has slots and memory for, by
    the endpoint id of its head.
    """

    fleet_revision: int
    suspects_revision: int
    chains: tuple[Chain, ...]
    capacities: dict[str, float]


class ChainSelector:
    """Caches the chains of each service and selects one per request.

    ``in_flight`` counts this node's requests and ``peer_load`` those of the
    other nodes, both by the endpoint id of the chain's head.
    """

    __slots__ = (
        'cached_chains',
        'concurrency_limits',
        'failure_domain',
        'fleet',
        'availability',
        'in_flight',
        'peer_load',
        'suspects',
    )

    def __init__(
        self,
        fleet: Fleet,
        suspects: SuspectRegistry,
        failure_domain: str,
        availability: EndpointAvailability | None = None,
    ) -> None:
        self.fleet = fleet
        self.suspects = suspects
        # What the heads of chains said of themselves, if that counts.
        self.availability = availability
        self.failure_domain = failure_domain
        self.in_flight: Counter[str] = Counter()
        self.peer_load = PeerLoad()
        self.concurrency_limits = ChainConcurrencyLimits()
        self.cached_chains: dict[str, CachedChains] = {}

    def chains(
        self,
        service: str,
        profile: EngineProfile,
    ) -> tuple[Chain, ...]:
        """Return the chains of all failure domains that have complete ones.

        If no domain has one, return a chain across domains, if there is one.
        """
        return self._cached(service, profile).chains

    def capacities(
        self, service: str, profile: EngineProfile
    ) -> dict[str, float]:
        """Return the capacity of each chain by the endpoint id of its head."""
        return self._cached(service, profile).capacities

    def describe_domains(
        self,
        service: str,
        profile: EngineProfile,
    ) -> dict[str, str]:
        """Return the chains of each failure domain as text for the log.

        A domain without a chain is described by the reason.
        """
        engines = self._usable_engines(service)
        chains = self.chains(service, profile)
        described: dict[str, str] = {}
        for domain in sorted({engine.failure_domain for engine in engines}):
            heads = [
                f'{chain.head.endpoint_id} with {len(chain.hops)} hops'
                for chain in chains
                if chain.head.failure_domain == domain
            ]
            described[domain] = ', '.join(heads) or explain_missing_chain(
                _engines_in_domain(engines, domain), profile
            )
        return described

    def select(
        self,
        service: str,
        profile: EngineProfile,
        excluded_ids: Collection[str],
        now: float,
        demand: RequestDemand | None = None,
        admits: Callable[[Chain, int, float], bool] | None = None,
    ) -> Chain | None:
        """Select the best chain with capacity and no excluded engine.

        ``admits`` gets a chain, the streams of all nodes there and its
        capacity in requests, and returns whether the request may start there.
        """
        cached = self._cached(service, profile)
        usable = [
            chain
            for chain in cached.chains
            if chain.endpoint_ids.isdisjoint(excluded_ids)
            and self.has_capacity(chain, now)
            and self._is_admitted(chain, cached, admits)
        ]
        if not usable:
            return None
        return min(
            usable,
            key=lambda chain: self._rank(
                chain, cached.capacities[chain.head.endpoint_id], now
            ),
        )

    def has_capacity(self, chain: Chain, now: float) -> bool:
        """Return whether a chain is expected to accept one more request.

        The head may also have said that this node must not send to it now.
        """
        if self.availability is not None and not self.availability.may_send(
            chain.head, now
        ):
            return False
        head_id = chain.head.endpoint_id
        return self.concurrency_limits.has_capacity(
            head_id, self.streams_at(head_id), now
        )

    def streams_at(self, head_id: str) -> int:
        """Return the number of requests of all nodes on a chain."""
        return self.in_flight[head_id] + self.peer_load.streams_by_head[head_id]

    def record_refusal(self, chain: Chain, now: float) -> None:
        """Lower the limit of a chain that refused a request.

        Chains refuse requests when the slots of their head are taken or when
        an engine runs out of memory.
        """
        head_id = chain.head.endpoint_id
        others = self.streams_at(head_id) - 1
        self.concurrency_limits.record_refusal(head_id, others, now)

    def begin(self, chain: Chain) -> None:
        """Count a request as in flight on a chain."""
        self.in_flight[chain.head.endpoint_id] += 1

    def end(self, chain: Chain) -> None:
        """Stop counting a request as in flight on a chain."""
        head_id = chain.head.endpoint_id
        self.in_flight[head_id] -= 1
        if not self.in_flight[head_id]:
            self.in_flight.pop(head_id)

    def _cached(self, service: str, profile: EngineProfile) -> CachedChains:
        cached = self.cached_chains.get(service)
        fleet_revision = self.fleet.revision
        suspects_revision = self.suspects.revision
        if (
            cached is None
            or cached.fleet_revision != fleet_revision
            or cached.suspects_revision != suspects_revision
        ):
            found = self._find_chains(service, profile)
            cached = CachedChains(
                fleet_revision,
                suspects_revision,
                found,
                estimate_capacities(found, profile),
            )
            self.cached_chains[service] = cached
        return cached

    def _is_admitted(
        self,
        chain: Chain,
        cached: CachedChains,
        admits: Callable[[Chain, int, float], bool] | None,
    ) -> bool:
        if admits is None:
            return True
        head_id = chain.head.endpoint_id
        streams = self.streams_at(head_id)
        return admits(chain, streams, cached.capacities[head_id])

    def _has_slow_engine(self, chain: Chain) -> bool:
        return any(self.suspects.is_slow(hop.endpoint) for hop in chain.hops)

    def _rank(
        self, chain: Chain, capacity: float, now: float
    ) -> tuple[int, bool, bool, float]:
        """Return the sort key of a chain; the least is selected."""
        head = chain.head
        streams = self.streams_at(head.endpoint_id)
        is_deprioritized = self.suspects.is_deprioritized(head.endpoint_id, now)
        return (
            is_deprioritized + self._has_slow_engine(chain),
            streams >= capacity,
            head.failure_domain != self.failure_domain,
            streams / max(1.0, capacity),
        )

    def _usable_engines(self, service: str) -> list[Endpoint]:
        return [
            engine
            for engine in self.fleet.of_service(service)
            if not self.suspects.is_suspect(engine)
        ]

    def _find_chains(
        self,
        service: str,
        profile: EngineProfile,
    ) -> tuple[Chain, ...]:
        """Compute the chains of a service from all engines not suspect."""
        engines = self._usable_engines(service)
        slow_ids = {
            engine.endpoint_id
            for engine in engines
            if self.suspects.is_slow(engine)
        }
        domain_chains = [
            chain
            for domain in sorted({engine.failure_domain for engine in engines})
            for chain in find_chains(
                _engines_in_domain(engines, domain), profile, slow_ids
            )
        ]
        if domain_chains:
            return tuple(domain_chains)
        cross_domain_chain = find_chain(engines, profile)
        return () if cross_domain_chain is None else (cross_domain_chain,)


def _engines_in_domain(engines: list[Endpoint], domain: str) -> list[Endpoint]:
    return [engine for engine in engines if engine.failure_domain == domain]
