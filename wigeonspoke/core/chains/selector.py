"""Selection of a chain for a request.

Each failure domain normally holds one or more copies of the model and has its
own clients, so a request goes to a chain of its own domain.  If these are
broken, deprioritized or full, the whole request goes to the least loaded chain
of another domain.  Requests are not split across domains, because the
activations of a prompt would saturate the link between domains, while the
text of a response does not.

Where the configuration names the speeds of engines, the chain is chosen by the
expected times of the request instead of by the number of requests there, and
other domains are used as soon as the own one would be late.
"""

import random
from collections import Counter
from collections.abc import Callable, Collection

from wigeonspoke.core.availability import EndpointAvailability
from wigeonspoke.core.chains.concurrency_limits import ChainConcurrencyLimits
from wigeonspoke.core.chains.demand import RequestDemand
from wigeonspoke.core.chains.known_chains import (
    CachedChains,
    KnownChain,
    describe_chains,
)
from wigeonspoke.core.chains.paths import (
    Chain,
    explain_missing_chain,
    find_chain,
    find_chains,
)
from wigeonspoke.core.chains.peer_load import PeerLoad
from wigeonspoke.core.chains.suspicion import SuspectRegistry
from wigeonspoke.core.chains.times import ChainTimes, ChainUse
from wigeonspoke.core.fleet import Endpoint, EngineProfile, Fleet


class ChainSelector:
    """Caches the chains of each service and selects one per request.

    ``in_flight`` counts this node's requests and ``peer_load`` those of the
    other nodes, both by the endpoint id of the chain's head.
    ``times`` estimates when a request would have its events.
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
        'times',
    )

    def __init__(
        self,
        fleet: Fleet,
        suspects: SuspectRegistry,
        failure_domain: str,
        availability: EndpointAvailability | None = None,
        rng: random.Random | None = None,
        count_nodes: Callable[[], int] | None = None,
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
        self.times = ChainTimes(
            self.in_flight,
            self.peer_load,
            rng or random.Random(0),
            count_nodes or _count_one,
        )

    def chains(
        self,
        service: str,
        profile: EngineProfile,
    ) -> tuple[Chain, ...]:
        """Return the chains of all failure domains that have complete ones.

        If no domain has one, return a chain across domains, if there is one.
        """
        return self._cached(service, profile).chains

    def known_chains(
        self, service: str, profile: EngineProfile
    ) -> tuple[KnownChain, ...]:
        """Return the chains with what is computed of them."""
        return self._cached(service, profile).known

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
        usable = [
            known
            for known in self._cached(service, profile).known
            if known.endpoint_ids.isdisjoint(excluded_ids)
            and self.has_capacity(known.chain, now)
            and self._is_admitted(known, admits)
        ]
        if not usable:
            return None
        if demand is None or profile.speeds is None:
            return min(usable, key=lambda known: self._rank(known, now)).chain
        return self._select_by_time(usable, demand, now)

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

    def begin(
        self,
        chain: Chain,
        demand: RequestDemand | None = None,
        now: float = 0,
    ) -> ChainUse:
        """Count a request as in flight on a chain."""
        cached = self.cached_chains.get(chain.head.service)
        known = cached.find(chain) if cached else None
        use = self.times.begin(chain, known, demand, now)
        self.in_flight[chain.head.endpoint_id] += 1
        return use

    def end(
        self, chain: Chain, use: ChainUse | None = None, now: float = 0
    ) -> None:
        """Stop counting a request as in flight on a chain."""
        head_id = chain.head.endpoint_id
        self.in_flight[head_id] -= 1
        if not self.in_flight[head_id]:
            self.in_flight.pop(head_id)
        if use is not None:
            self.times.end(use, now)

    def _cached(self, service: str, profile: EngineProfile) -> CachedChains:
        cached = self.cached_chains.get(service)
        fleet_revision = self.fleet.revision
        suspects_revision = self.suspects.revision
        if (
            cached is None
            or cached.fleet_revision != fleet_revision
            or cached.suspects_revision != suspects_revision
            or cached.profile is not profile
        ):
            cached = self._build_cache(service, profile)
            self._replace_cache(service, cached)
        return cached

    def _build_cache(
        self, service: str, profile: EngineProfile
    ) -> CachedChains:
        found = self._find_chains(service, profile)
        return CachedChains(
            self.fleet.revision,
            self.suspects.revision,
            profile,
            found,
            describe_chains(found, profile, self.suspects, self.failure_domain),
            len({chain.head.failure_domain for chain in found}),
        )

    def _replace_cache(self, service: str, cached: CachedChains) -> None:
        """Forget what was learned of chains that have other engines now."""
        old = self.cached_chains.get(service)
        for known in old.known if old else ():
            if cached.find(known.chain) is None:
                self.times.forget(known)
        self.cached_chains[service] = cached

    def _is_admitted(
        self,
        known: KnownChain,
        admits: Callable[[Chain, int, float], bool] | None,
    ) -> bool:
        if admits is None:
            return True
        streams = self.streams_at(known.head_id)
        return admits(known.chain, streams, self.times.capacity(known))

    def _select_by_time(
        self, usable: list[KnownChain], demand: RequestDemand, now: float
    ) -> Chain | None:
        """Select among the chains whose faults rank them alike."""
        tiers: dict[int, list[KnownChain]] = {}
        for known in usable:
            tiers.setdefault(self._fault_rank(known, now), []).append(known)
        domains = self.cached_chains[usable[0].chain.head.service].domains
        for _, tier in sorted(tiers.items()):
            chain = self.times.choose(tier, domains, demand, now)
            if chain is not None:
                return chain
        return None

    def _fault_rank(self, known: KnownChain, now: float) -> int:
        is_deprioritized = self.suspects.is_deprioritized(known.head_id, now)
        return is_deprioritized + known.has_slow_engine

    def _rank(
        self, known: KnownChain, now: float
    ) -> tuple[int, bool, bool, float]:
        """Return the sort key of a chain; the least is selected."""
        streams = self.streams_at(known.head_id)
        return (
            self._fault_rank(known, now),
            streams >= known.capacity,
            not known.is_own_domain,
            streams / max(1.0, known.capacity),
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


def _count_one() -> int:
    return 1


def _engines_in_domain(engines: list[Endpoint], domain: str) -> list[Endpoint]:
    return [engine for engine in engines if engine.failure_domain == domain]
