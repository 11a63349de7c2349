"""The choice among replicas of a plain service.

The load pattern it answers: short calls on a few replicas with few slots,
one of which may fail, hang or refuse while its health check is good.  The
own domain's replica comes first while it is well and not full.
"""

from collections import Counter
from collections.abc import Collection

from wigeonspoke.core.fleet import Endpoint, Fleet
from wigeonspoke.core.health import EndpointHealth

USUAL_SECONDS = 0.05
FOREIGN_LOAD = 0.35
BAD_LOAD = 100.0
FAILURE_GAIN = 0.25
# Above this share of failures lately an endpoint is worth less than one
# that is full.
FAILING_SHARE = 0.6


class ReplicaChooser:
    """Keeps what is in flight at each replica, and how its calls ended."""

    __slots__ = ('failing', 'failure_domain', 'fleet', 'health', 'in_flight')

    def __init__(self, fleet: Fleet, failure_domain: str) -> None:
        self.fleet = fleet
        self.failure_domain = failure_domain
        self.in_flight: Counter[str] = Counter()
        self.health: dict[str, EndpointHealth] = {}
        self.failing: dict[str, float] = {}

    def choose(
        self,
        service: str,
        avoided: Collection[str],
        now: float,
    ) -> Endpoint | None:
        """Choose a replica that is none of the avoided ones."""
        usable = [
            replica
            for replica in self.fleet.of_service(service)
            if replica.endpoint_id not in avoided
        ]
        if not usable:
            return None
        return min(usable, key=lambda replica: self._load(replica, now))

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
        self._blend(replica, 0)
        health = self._health(replica)
        if not health.is_usable(now):
            health.record_probe(healthy=True, now=now)
        health.record_success(seconds, now)

    def note_error_answer(self, replica: Endpoint) -> None:
        """Take in an answer that tells of an error of the application."""
        self._blend(replica, 1)

    def note_slow(self, replica: Endpoint) -> None:
        """Take in a call that was given up before its answer came.

        A long call on a sound replica ends so as well: only many of them
        tell against it.
        """
        self._blend(replica, 1)

    def note_failure(self, replica: Endpoint, reason: str, now: float) -> bool:
        """Take in a call without an answer; tell whether it ejected."""
        self._blend(replica, 1)
        health = self._health(replica)
        health.probing = False
        if not health.is_usable(now):
            health.record_probe(healthy=False, now=now)
            return False
        return health.record_failure(reason, now)

    def _load(self, replica: Endpoint, now: float) -> float:
        load = self.in_flight[replica.endpoint_id] / max(1, replica.slots)
        if replica.failure_domain != self.failure_domain:
            load += FOREIGN_LOAD
        if self.failing.get(replica.endpoint_id, 0) > FAILING_SHARE:
            load += 1
        health = self.health.get(replica.endpoint_id)
        if health is not None and self._is_shunned(health, now):
            load += BAD_LOAD
        return load

    def _is_shunned(self, health: EndpointHealth, now: float) -> bool:
        """Tell whether a replica is out, and not even due for one trial."""
        return not health.is_usable(now) and now < health.next_probe_at

    def _health(self, replica: Endpoint) -> EndpointHealth:
        return self.health.setdefault(
            replica.endpoint_id,
            EndpointHealth(USUAL_SECONDS),
        )

    def _blend(self, replica: Endpoint, failed: float) -> None:
        known = self.failing.get(replica.endpoint_id, 0)
        blended = known + FAILURE_GAIN * (failed - known)
        self.failing[replica.endpoint_id] = blended
