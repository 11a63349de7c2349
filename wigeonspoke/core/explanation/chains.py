"""Explanation of the choice of a chain."""

from collections.abc import Iterator, Mapping
from functools import partial

import msgspec

from wigeonspoke.core.admission import ChainLoad, RankReservation
from wigeonspoke.core.chains import (
    Chain,
    ChainSelector,
    RequestDemand,
    Suspicion,
)
from wigeonspoke.core.chains.concurrency_limits import LIMIT_EXPIRY_SECONDS
from wigeonspoke.core.chains.estimate import ChainEstimate
from wigeonspoke.core.chains.known_chains import KnownChain
from wigeonspoke.core.explanation.endpoints import (
    DIGITS,
    find_distance,
    find_obstacles,
    seconds_until,
)
from wigeonspoke.core.explanation.records import (
    Candidate,
    Finding,
    FindingReason,
    ServiceExplanation,
)
from wigeonspoke.core.fleet import Endpoint, EngineProfile


class RankAdmission(msgspec.Struct, frozen=True):
    """What decides whether a request of a rank is admitted to chains.

    ``reservation`` is None where ranks don't differ.  ``nodes`` is the number
    of nodes that may be running.
    """

    reservation: RankReservation | None
    rank: int
    nodes: int


class ChainExplainer:
    """Explains what a selector would choose for a request that arrives now.

    It is given copies of the selector and of the reservation: a choice refills
    token buckets, and drops what has expired.  ``peer_ages`` are the seconds
    since the last report of each peer.
    """

    __slots__ = ('admission', 'demand', 'peer_ages', 'reserved', 'selector')

    def __init__(
        self,
        selector: ChainSelector,
        peer_ages: Mapping[str, float],
        admission: RankAdmission,
        demand: RequestDemand | None,
    ) -> None:
        self.selector = selector
        self.peer_ages = peer_ages
        self.admission = admission
        self.demand = demand
        self.reserved: float = 0

    def explain(
        self,
        service: str,
        profile: EngineProfile,
        share: float,
        now: float,
    ) -> ServiceExplanation:
        """Return the chains of a service and the one that is chosen."""
        chains = self.selector.known_chains(service, profile)
        self.reserved = self._find_reserved(len(chains), now)
        used = {
            endpoint_id
            for known in chains
            for endpoint_id in known.endpoint_ids
        }
        admits = None
        if self.admission.reservation is not None:
            admits = partial(self._is_admitted, now)
        chosen = self.selector.select(
            service, profile, (), now, self.demand, admits
        )
        return ServiceExplanation(
            service=service,
            share=share,
            chosen='' if chosen is None else chosen.head.endpoint_id,
            reserved=round(self.reserved, DIGITS),
            candidates=tuple(self._describe(known, now) for known in chains),
            left_out=tuple(
                self._describe_unused(engine, now)
                for engine in self.selector.fleet.endpoints.values()
                if engine.service == service and engine.endpoint_id not in used
            ),
        )

    def _find_reserved(self, chains: int, now: float) -> float:
        admission = self.admission
        if admission.reservation is None:
            return 0
        return admission.reservation.reserved(
            admission.rank, admission.nodes, chains, now
        )

    def _is_admitted(
        self, now: float, chain: Chain, streams: int, capacity: float
    ) -> bool:
        """Return whether a request that begins to wait now may start."""
        head_id = chain.head.endpoint_id
        limit = self.selector.concurrency_limits.limit(head_id, now)
        load = ChainLoad(head_id, streams, min(capacity, limit))
        return self.admission.reservation.is_admitted(
            load, self.reserved, now, now
        )

    def _estimate(self, known: KnownChain, now: float) -> ChainEstimate | None:
        if self.demand is None or known.speed is None:
            return None
        return self.selector.times.estimate(known, self.demand, now)

    def _describe(self, known: KnownChain, now: float) -> Candidate:
        chain = known.chain
        head = chain.head
        head_id = head.endpoint_id
        load = self.selector.peer_load
        capacity = self.selector.times.capacity(known)
        estimate = self._estimate(known, now)
        first_event, gap = None, None
        if estimate is not None:
            first_event = round(estimate.first_event_seconds(), DIGITS)
            gap = round(estimate.gap_seconds(), DIGITS)
        return Candidate(
            endpoint_id=head_id,
            address=head.address,
            failure_domain=head.failure_domain,
            engines=tuple(hop.endpoint.endpoint_id for hop in chain.hops),
            capacity=round(capacity, DIGITS),
            own=self.selector.in_flight[head_id],
            peers=load.streams_by_head[head_id],
            expected_first_event_seconds=first_event,
            expected_gap_seconds=gap,
            news_age=self._news_age(head_id),
            findings=(
                *self._find(chain, capacity, now),
                *self._find_times(known, estimate, now),
            ),
        )

    def _describe_unused(self, engine: Endpoint, now: float) -> Candidate:
        return Candidate(
            endpoint_id=engine.endpoint_id,
            address=engine.address,
            failure_domain=engine.failure_domain,
            engines=(),
            capacity=engine.slots,
            own=self.selector.in_flight[engine.endpoint_id],
            peers=self.selector.peer_load.streams_by_head[engine.endpoint_id],
            expected_first_event_seconds=None,
            expected_gap_seconds=None,
            news_age=self._news_age(engine.endpoint_id),
            findings=tuple(self._find_unused(engine, now)),
        )

    def _news_age(self, head_id: str) -> float | None:
        """Return the age of the oldest report of streams on a chain."""
        ages = [
            self.peer_ages[node]
            for node, streams in self.selector.peer_load.streams_by_node.items()
            if head_id in streams and node in self.peer_ages
        ]
        return max(ages, default=None)

    def _find(
        self, chain: Chain, capacity: float, now: float
    ) -> Iterator[Finding]:
        selector = self.selector
        head = chain.head
        head_id = head.endpoint_id
        yield from find_obstacles(selector.availability, head, now)
        yield from self._find_concurrency_limit(head_id, now)
        for hop in chain.hops:
            if selector.suspects.is_slow(hop.endpoint):
                slow = selector.suspects.slow[hop.endpoint.endpoint_id]
                yield _of_suspicion(FindingReason.SLOW, slow, now)
        if selector.suspects.is_deprioritized(head_id, now):
            until = selector.suspects.deprioritized_until[head_id]
            yield Finding(
                FindingReason.DEPRIORITIZED,
                rules_out=False,
                ends_in=seconds_until(until, now),
            )
        streams = selector.streams_at(head_id)
        if streams >= capacity:
            yield Finding(
                FindingReason.FULL,
                # Where ranks differ, no chain admits more than its capacity.
                rules_out=self.admission.reservation is not None,
                detail=f'{streams} streams on capacity for {capacity:.1f}',
            )
        elif streams >= capacity - self.reserved:
            yield Finding(
                FindingReason.RESERVED,
                rules_out=True,
                detail=f'{self.reserved:.1f} for more urgent ranks',
            )
        yield from find_distance(head, selector.failure_domain)

    def _find_times(
        self, known: KnownChain, estimate: ChainEstimate | None, now: float
    ) -> Iterator[Finding]:
        """Yield what the expected times and the memory say."""
        if estimate is None:
            return
        demand = estimate.demand
        # A choice with this chain as the only candidate shows whether it is
        # ruled out.
        chosen = self.selector.times.choose((known,), 1, demand, now)
        if not estimate.has_memory():
            yield Finding(
                FindingReason.MEMORY,
                rules_out=True,
                detail=f'{estimate.load.tokens:.0f} tokens there, '
                f'{estimate.needed_tokens:.0f} needed',
            )
        elif chosen is None:
            yield Finding(FindingReason.GAP, rules_out=True)
        if estimate.first_event_seconds() > demand.target_latency_seconds:
            yield Finding(FindingReason.LATE, rules_out=False)

    def _find_concurrency_limit(
        self, head_id: str, now: float
    ) -> Iterator[Finding]:
        """Yield the limit learned from refusals, if it is reached."""
        limits = self.selector.concurrency_limits
        limit = limits.limits.get(head_id)
        streams = self.selector.streams_at(head_id)
        if limits.has_capacity(head_id, streams, now):
            return
        yield Finding(
            FindingReason.CONCURRENCY_LIMIT,
            rules_out=True,
            detail=f'{streams} streams',
            ends_in=seconds_until(limit.set_at + LIMIT_EXPIRY_SECONDS, now),
            age=round(now - limit.set_at, DIGITS),
        )

    def _find_unused(self, engine: Endpoint, now: float) -> Iterator[Finding]:
        selector = self.selector
        yield from find_obstacles(selector.availability, engine, now)
        if selector.suspects.is_suspect(engine):
            suspicion = selector.suspects.suspicions[engine.endpoint_id]
            yield _of_suspicion(
                FindingReason.SUSPECT, suspicion, now, rules_out=True
            )
        layers = engine.layers
        holds = 'no layers'
        if layers is not None:
            holds = f'layers {layers.first} to {layers.end}'
        yield Finding(FindingReason.NO_CHAIN, rules_out=True, detail=holds)


def _of_suspicion(
    reason: FindingReason,
    suspicion: Suspicion,
    now: float,
    *,
    rules_out: bool = False,
) -> Finding:
    engine_id = suspicion.endpoint.endpoint_id
    return Finding(
        reason,
        rules_out=rules_out,
        detail=f'{engine_id}: {suspicion.reason}',
        ends_in=seconds_until(suspicion.probe_at, now),
        age=round(now - suspicion.since, DIGITS),
    )
