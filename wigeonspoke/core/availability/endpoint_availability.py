"""The one answer to whether a request may be sent to a run of an endpoint.

Load: many requests at once for a service whose endpoints leave, refuse for a
time or name a limit.  Calls and streams ask here before each send, also of a
second attempt, and the probes and trials of a node do so too.  Whether a
request may be sent to any endpoint at all is up to the quarantine.
"""

import math
from collections.abc import Iterable

from wigeonspoke.core.availability.backoffs import Backoffs
from wigeonspoke.core.availability.records import Obstacle, ObstacleReason
from wigeonspoke.core.fleet import Endpoint, Fleet
from wigeonspoke.core.limits import NamedLimits


class EndpointAvailability:
    """What endpoints reported of themselves: leaving, backoffs, limits."""

    __slots__ = ('backoffs', 'fleet', 'limits')

    def __init__(self, fleet: Fleet, limits: NamedLimits) -> None:
        self.fleet = fleet
        self.limits = limits
        self.backoffs = Backoffs()

    def find_obstacle(self, endpoint: Endpoint, now: float) -> Obstacle | None:
        """Return why nothing may be sent to this run now, None if it may."""
        if self.fleet.is_leaving(endpoint):
            return Obstacle(ObstacleReason.LEAVING, math.inf)
        until = self.backoffs.find_until(endpoint.start_id, now)
        if until is not None:
            return Obstacle(ObstacleReason.BACKOFF, until)
        if self.limits.may_send(endpoint, now):
            return None
        until = self.limits.next_send_at(endpoint, now)
        return Obstacle(ObstacleReason.LIMIT, until)

    def may_send(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a request may be sent to this run now."""
        return self.find_obstacle(endpoint, now) is None

    def is_backing_off(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a run wants nothing now, not even a probe."""
        return self.backoffs.find_until(endpoint.start_id, now) is not None

    def blocked_reasons(self, service: str, now: float) -> set[ObstacleReason]:
        """Return what keeps requests of a service from some endpoint now."""
        reasons: set[ObstacleReason] = set()
        if self.fleet.has_leaving(service):
            reasons.add(ObstacleReason.LEAVING)
        if self.backoffs.backoffs and any(
            self.is_backing_off(endpoint, now)
            for endpoint in self.fleet.of_service(service)
        ):
            reasons.add(ObstacleReason.BACKOFF)
        return reasons

    def record_sent(self, endpoint: Endpoint, now: float) -> None:
        """Count a request that is sent to a run."""
        self.limits.record_sent(endpoint, now)
        self.backoffs.record_sent(endpoint.start_id, now)

    def next_send_at(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> float | None:
        """Return when one of some endpoints may be sent to, if none may now.

        It is None if one may be now, infinite if nothing tells when, or if
        there are no endpoints.
        """
        earliest = math.inf
        for endpoint in endpoints:
            obstacle = self.find_obstacle(endpoint, now)
            if obstacle is None:
                return None
            earliest = min(earliest, obstacle.until)
        return earliest
