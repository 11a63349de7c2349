"""Selection among the replicas of a service without engines.

Calls are short and replicas are few, each with few slots.  A replica may
fail, hang or refuse calls while its health check still succeeds, so the
outcomes of calls are tracked here.  The replica of the node's own failure
domain is preferred while it is healthy and has free slots.
"""

from collections import Counter
from collections.abc import Collection

from wigeonspoke.core.availability import EndpointAvailability
from wigeonspoke.core.fleet import Endpoint, Fleet
from wigeonspoke.core.health import EndpointHealth

INITIAL_LATENCY_SECONDS = 0.05
# The cost of a replica is the used fraction of its slots, plus these where
# they apply.
OTHER_DOMAIN_COST = 0.35
EJECTED_COST = 100.0
# Weight of a new outcome in the moving average of failures.
FAILURE_SMOOTHING = 0.25
# Above this failure rate, the cost of a replica is raised by that of a full
# set of slots, so that even an idle one ranks no better than a full one.
FAILING_THRESHOLD = 0.6


class ReplicaSelector:
    """Selects replicas by load, failure rate, health and failure domain."""

    __slots__ = (
        'failure_domain',
        'failure_rates',
        'fleet',
        'availability',
        'health',
        'in_flight',
    )

    def __init__(
        self,
        fleet: Fleet,
        failure_domain: str,
        availability: EndpointAvailability | None = None,
    ) -> None:
        self.fleet = fleet
        # What replicas said of themselves, if that counts.
        self.availability = availability
        self.failure_domain = failure_domain
        self.in_flight: Counter[str] = Counter()
        self.health: dict[str, EndpointHealth] = {}
        self.failure_rates: dict[str, float] = {}

    def select(
        self,
        service: str,
        excluded_ids: Collection[str],
        now: float,
    ) -> Endpoint | None:
        """Select the replica of least cost that is not excluded."""
        usable = [
            replica
            for replica in self.fleet.of_service(service)
            if replica.endpoint_id not in excluded_ids
            and self._may_send(replica, now)
        ]
        if not usable:
            return None
        return min(usable, key=lambda replica: self._cost(replica, now))

    def begin(self, replica: Endpoint) -> None:
        """Count a call as in flight at a replica."""
        self.in_flight[replica.endpoint_id] += 1

    def end(self, replica: Endpoint) -> None:
        """Stop counting a call as in flight at a replica."""
        self.in_flight[replica.endpoint_id] -= 1

    def record_success(
        self,
        replica: Endpoint,
        seconds: float,
        now: float,
    ) -> None:
        """Record a successful call; an ejected replica returns to service."""
        self._update_failure_rate(replica, 0)
        health = self._health(replica)
        if not health.is_usable(now):
            health.record_probe(healthy=True, now=now)
        health.record_success(seconds, now)

    def record_error_response(self, replica: Endpoint) -> None:
        """Record a response with a server error of the application."""
        self._update_failure_rate(replica, 1)

    def record_timeout(self, replica: Endpoint) -> None:
        """Record a call that timed out before its response.

        A long call on a healthy replica may time out as well, so a timeout
        raises the failure rate, but does not eject the replica.
        """
        self._update_failure_rate(replica, 1)

    def record_failure(
        self, replica: Endpoint, reason: str, now: float
    ) -> bool:
        """Record a call without a response; return whether this ejected it."""
        self._update_failure_rate(replica, 1)
        health = self._health(replica)
        health.probing = False
        if not health.is_usable(now):
            health.record_probe(healthy=False, now=now)
            return False
        return health.record_failure(reason, now)

    def restore(self, replica: Endpoint, since: float) -> None:
        """Undo an ejection that began at ``since`` or later."""
        health = self.health.get(replica.endpoint_id)
        if health is not None and health.ejected_at >= since:
            self.health.pop(replica.endpoint_id)
            self.failure_rates.pop(replica.endpoint_id, None)

    def _may_send(self, replica: Endpoint, now: float) -> bool:
        return self.availability is None or self.availability.may_send(
            replica, now
        )

    def _cost(self, replica: Endpoint, now: float) -> float:
        cost = self.in_flight[replica.endpoint_id] / max(1, replica.slots)
        if replica.failure_domain != self.failure_domain:
            cost += OTHER_DOMAIN_COST
        if self.failure_rates.get(replica.endpoint_id, 0) > FAILING_THRESHOLD:
            cost += 1
        health = self.health.get(replica.endpoint_id)
        if health is not None and self._awaits_probe(health, now):
            cost += EJECTED_COST
        return cost

    def _awaits_probe(self, health: EndpointHealth, now: float) -> bool:
        """Return whether a replica is ejected and its next trial is not due."""
        return not health.is_usable(now) and now < health.next_probe_at

    def _health(self, replica: Endpoint) -> EndpointHealth:
        return self.health.setdefault(
            replica.endpoint_id,
            EndpointHealth(INITIAL_LATENCY_SECONDS),
        )

    def _update_failure_rate(self, replica: Endpoint, failed: float) -> None:
        previous = self.failure_rates.get(replica.endpoint_id, 0)
        updated = previous + FAILURE_SMOOTHING * (failed - previous)
        self.failure_rates[replica.endpoint_id] = updated
