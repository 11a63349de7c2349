"""Ejection, probing and slow start of endpoints."""

from wigeonspoke.core.health.endpoint import (
    MIN_TIMEOUT_SECONDS,
    EndpointHealth,
    HealthState,
)

__all__ = ('MIN_TIMEOUT_SECONDS', 'EndpointHealth', 'HealthState')
