"""Explanation of the choice of a replica."""

from collections.abc import Iterator

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
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.forwarding import ReplicaSelector
from wigeonspoke.core.forwarding.replicas import FAILING_THRESHOLD


class ReplicaExplainer:
    """Explains what a selector would choose.

    It is given a copy of the selector: a choice refills token buckets, and
    drops what has expired.
    """

    __slots__ = ('selector',)

    def __init__(self, selector: ReplicaSelector) -> None:
        self.selector = selector

    def explain(
        self, service: str, share: float, now: float
    ) -> ServiceExplanation:
        """Return the replicas of a service and the one that is chosen."""
        candidates = tuple(
            self._describe(replica, now)
            for replica in self.selector.fleet.endpoints.values()
            if replica.service == service
        )
        chosen = self.selector.select(service, (), now)
        return ServiceExplanation(
            service=service,
            share=share,
            chosen='' if chosen is None else chosen.endpoint_id,
            reserved=0,
            candidates=candidates,
        )

    def _describe(self, replica: Endpoint, now: float) -> Candidate:
        health = self.selector.health.get(replica.endpoint_id)
        latency = None
        if health is not None:
            latency = round(health.latency_seconds, DIGITS)
        return Candidate(
            endpoint_id=replica.endpoint_id,
            address=replica.address,
            failure_domain=replica.failure_domain,
            engines=(),
            capacity=replica.slots,
            own=self.selector.in_flight[replica.endpoint_id],
            peers=0,
            expected_first_event_seconds=latency,
            expected_gap_seconds=None,
            news_age=None,
            findings=tuple(self._find(replica, now)),
        )

    def _find(self, replica: Endpoint, now: float) -> Iterator[Finding]:
        selector = self.selector
        yield from find_obstacles(selector.availability, replica, now)
        health = selector.health.get(replica.endpoint_id)
        if health is not None and not health.is_usable(now):
            yield Finding(
                FindingReason.EJECTED,
                rules_out=False,
                detail=health.reason,
                ends_in=seconds_until(health.next_probe_at, now),
            )
        rate = selector.failure_rates.get(replica.endpoint_id, 0)
        if rate > FAILING_THRESHOLD:
            yield Finding(
                FindingReason.FAILING,
                rules_out=False,
                detail=f'failure rate {rate:.2f}',
            )
        in_flight = selector.in_flight[replica.endpoint_id]
        if in_flight >= replica.slots:
            yield Finding(
                FindingReason.FULL,
                rules_out=False,
                detail=f'{in_flight} of {replica.slots} slots',
            )
        yield from find_distance(replica, selector.failure_domain)
