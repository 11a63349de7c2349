"""Findings that apply to chains and replicas alike."""

import math
from collections.abc import Iterator

from wigeonspoke.core.availability import EndpointAvailability
from wigeonspoke.core.explanation.records import Finding, FindingReason
from wigeonspoke.core.fleet import Endpoint

DIGITS = 3


def find_obstacles(
    availability: EndpointAvailability | None, endpoint: Endpoint, now: float
) -> Iterator[Finding]:
    """Yield why nothing may be sent to a run of an endpoint, if so."""
    if availability is None:
        return
    obstacle = availability.find_obstacle(endpoint, now)
    if obstacle is not None:
        yield Finding(
            FindingReason(obstacle.reason),
            rules_out=True,
            ends_in=seconds_until(obstacle.until, now),
        )


def find_distance(endpoint: Endpoint, own_domain: str) -> Iterator[Finding]:
    """Yield that an endpoint is in another failure domain, if so."""
    if endpoint.failure_domain != own_domain:
        yield Finding(
            FindingReason.OTHER_DOMAIN,
            rules_out=False,
            detail=endpoint.failure_domain,
        )


def seconds_until(at: float, now: float) -> float | None:
    """Return the seconds until a time, None if it is not known."""
    return round(max(0, at - now), DIGITS) if at < math.inf else None
