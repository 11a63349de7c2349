"""The choice among replicas of a plain service.

The load pattern it answers: short calls on a few replicas with few slots,
one of which may fail, hang or refuse while its health check is good.  The
own domain's replica comes first while it is well and not full.
"""

from collections import Counter
from collections.abc import Collection

from wigeonspoke.core.fleet import Endpoint, Fleet
from wigeonspoke.core.health import EndpointHealth

INITIAL_LATENCY_SECONDS = 0.05
OTHER_DOMAIN_COST = 0.35
EJECTED_COST = 100.0
FAILURE_SMOOTHING = 0.25
# Above this share of failures lately an endpoint is worth less than one
# that is full.
FAILING_THRESHOLD = 0.6


class ReplicaSelector:
    """Keeps what is in flight at each replica, and how its calls ended."""

    __slots__ = (
        'failure_domain',
        'failure_rates',
        'fleet',
        'health',
        'in_flight',
    )

    def __init__(self, fleet: Fleet, failure_domain: str) -> None:
        self.fleet = fleet
        self.failure_domain = failure_domain
        self.in_flight: Counter[str] = Counter()
        self.health: dict[str, EndpointHealth] = {}
        self.failure_rates: dict[str, float] = {}

    def select(
        self,
        service: str,
        avoided_ids: Collection[str],
        now: float,
    ) -> Endpoint | None:
        """Choose a replica that is none of the avoided ones."""
        usable = [
            replica
            for replica in self.fleet.of_service(service)
            if replica.endpoint_id not in avoided_ids
        ]
        if not usable:
            return None
        return min(usable, key=lambda replica: self._cost(replica, now))

    def begin(self, replica: Endpoint) -> None:
        """Count a call into its replica."""
        self.in_flight[replica.endpoint_id] += 1

    def end(self, replica: Endpoint) -> None:
        """Count a call out of its replica."""
        self.in_flight[replica.endpoint_id] -= 1

    def note_success(
        self,
        replica: Endpoint,
        seconds: float,
        now: float,
    ) -> None:
        """Take in a call that was answered."""
        self._update_failure_rate(replica, 0)
        health = self._health(replica)
        if not health.is_usable(now):
            health.note_probe(healthy=True, now=now)
        health.note_success(seconds, now)

    def note_error_response(self, replica: Endpoint) -> None:
        """Take in an answer that tells of an error of the application."""
        self._update_failure_rate(replica, 1)

    def note_timeout(self, replica: Endpoint) -> None:
        """Take in a call that was given up before its answer came.

        A long call on a sound replica ends so as well: only many of them
        tell against it.
        """
        self._update_failure_rate(replica, 1)

    def note_failure(self, replica: Endpoint, reason: str, now: float) -> bool:
        """Take in a call without an answer; tell whether it ejected."""
        self._update_failure_rate(replica, 1)
        health = self._health(replica)
        health.probing = False
        if not health.is_usable(now):
            health.note_probe(healthy=False, now=now)
            return False
        return health.note_failure(reason, now)

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
        """Tell whether a replica is out, and not even due for one trial."""
        return not health.is_usable(now) and now < health.probe_at

    def _health(self, replica: Endpoint) -> EndpointHealth:
        return self.health.setdefault(
            replica.endpoint_id,
            EndpointHealth(INITIAL_LATENCY_SECONDS),
        )

    def _update_failure_rate(self, replica: Endpoint, failed: float) -> None:
        previous = self.failure_rates.get(replica.endpoint_id, 0)
        updated = previous + FAILURE_SMOOTHING * (failed - previous)
        self.failure_rates[replica.endpoint_id] = updated
