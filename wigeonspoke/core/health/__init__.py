"""Suspicion, ejection and slow start of endpoints."""

from wigeonspoke.core.health.endpoint import EndpointHealth, HealthState

__all__ = ('EndpointHealth', 'HealthState')
